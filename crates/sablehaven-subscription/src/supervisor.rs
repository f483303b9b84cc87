//! Decides which relay the agent uses, and when it switches to another one.
//!
//! There are at most two sessions: the active one, and a candidate that may replace it. The active
//! session is kept until the candidate can take over. Thus a switch causes no interruption, and agents
//! do not switch from relay to relay while control as a whole cannot prove that it is current.

use std::time::Duration;

use crate::relay_selector::{RelaySelector, RetrySettings};

/// Maximum factor by which the wait for a lease is extended after failures of a relay.
const MAXIMUM_WAIT_FACTOR: u32 = 4;

/// Identifies a session within a subscription.
pub type SessionId = u64;

/// Settings of the supervisor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SupervisorSettings {
    /// How long a relay may take to grant a valid lease.
    pub lease_wait: Duration,
    /// Maximum random delay after the connection to a relay is lost.
    pub failover_jitter: Duration,
    /// Maximum time after which a nearer relay is tried.
    pub return_interval: Duration,
    /// Bounds of the delay before a failed relay is tried again.
    pub retry: RetrySettings,
}

/// The remaining and the total time of the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseHealth {
    /// Time until the lease expires.
    pub remaining: Duration,
    /// Total duration of the lease.
    pub duration: Duration,
}

/// An action that the caller has to perform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Connect to a relay, given by its index in the list of relays.
    Open {
        /// The identifier of the new session.
        session: SessionId,
        /// The index of the relay.
        relay: usize,
    },
    /// Send new ledger calls and observations on this session.
    Activate(SessionId),
    /// Send nothing new on this session, and end it once its ledger calls are answered.
    Drain(SessionId),
    /// End this session immediately.
    Close(SessionId),
}

#[derive(Clone, Copy, Debug)]
struct Session {
    id: SessionId,
    relay: usize,
    /// When the session was opened or, for the active session, became active.
    since: Duration,
    /// How long the session may stay a candidate.
    time_limit: Duration,
    connected: bool,
    /// Whether the relay has announced that it is stopping.
    going_away: bool,
    /// Why the session was opened.
    reason: SwitchReason,
}

/// Why the agent connects to a relay other than the active one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SwitchReason {
    /// There is no active relay, or the active relay is stopping.
    NoActiveRelay,
    /// The active relay has not renewed the lease in time.
    LeaseNotRenewed,
    /// A nearer relay may be available again.
    NearerRelay,
}

/// The state machine that decides which relay the agent uses.
#[derive(Debug)]
pub struct Supervisor {
    settings: SupervisorSettings,
    selector: RelaySelector,
    active: Option<Session>,
    candidate: Option<Session>,
    last_session_id: SessionId,
    /// Earliest time of connecting to another relay after the connection to a relay was lost.
    connect_not_before: Duration,
    /// When a nearer relay is tried next.
    try_nearer_at: Duration,
}

impl Supervisor {
    /// Creates a supervisor for `relays` relays, in order of preference. `seed` seeds the jitter.
    pub fn new(relays: usize, settings: SupervisorSettings, seed: u64) -> Self {
        Self {
            settings,
            selector: RelaySelector::new(relays, settings.retry, seed),
            active: None,
            candidate: None,
            last_session_id: 0,
            connect_not_before: Duration::ZERO,
            try_nearer_at: Duration::ZERO,
        }
    }

    /// Handles the completed handshake of a session.
    pub fn connected(&mut self, session: SessionId, now: Duration) -> Vec<Action> {
        let Some(candidate) = self.candidate_with_id(session) else {
            return Vec::new();
        };
        candidate.connected = true;
        let is_needed_now = self.active.is_none_or(|active| active.going_away);
        if is_needed_now {
            return self.promote(now);
        }
        Vec::new()
    }

    /// Handles the renewal of the lease by a session.
    pub fn lease_renewed(&mut self, session: SessionId, now: Duration) -> Vec<Action> {
        if let Some(active) = self.active.filter(|active| active.id == session) {
            self.selector.record_success(active.relay);
            return self.drop_unneeded_candidate();
        }
        let Some(candidate) = self.candidate_with_id(session) else {
            return Vec::new();
        };
        let relay = candidate.relay;
        self.selector.record_success(relay);
        self.promote(now)
    }

    /// Handles the announcement of a session's relay that it is stopping.
    pub fn go_away(&mut self, session: SessionId, now: Duration) -> Vec<Action> {
        if let Some(active) = self.active.as_mut().filter(|active| active.id == session) {
            active.going_away = true;
            let relay = active.relay;
            self.selector.record_failure(relay, now);
            if self.candidate.is_some_and(|candidate| candidate.connected) {
                return self.promote(now);
            }
            return Vec::new();
        }
        let Some(candidate) = self.candidate.take_if(|candidate| candidate.id == session) else {
            return Vec::new();
        };
        self.selector.record_failure(candidate.relay, now);
        vec![Action::Close(session)]
    }

    /// Handles the end of a session, or the failure to open it.
    pub fn ended(&mut self, session: SessionId, now: Duration) -> Vec<Action> {
        if let Some(active) = self.active.take_if(|active| active.id == session) {
            if !active.going_away {
                self.selector.record_failure(active.relay, now);
                self.connect_not_before = now + self.selector.jitter(self.settings.failover_jitter);
            }
            if self.candidate.is_some_and(|candidate| candidate.connected) {
                return self.promote(now);
            }
            return Vec::new();
        }
        if let Some(candidate) = self.candidate.take_if(|candidate| candidate.id == session) {
            self.selector.record_failure(candidate.relay, now);
        }
        Vec::new()
    }

    /// Handles the passage of time.
    pub fn tick(&mut self, now: Duration, lease: LeaseHealth) -> Vec<Action> {
        let mut actions = Vec::new();
        let is_overdue = |candidate: &mut Session| now >= candidate.since + candidate.time_limit;
        if let Some(candidate) = self.candidate.take_if(is_overdue) {
            self.selector.record_failure(candidate.relay, now);
            actions.push(Action::Close(candidate.id));
        }
        if self.candidate.is_none() {
            actions.extend(self.open_candidate_if_needed(now, lease));
        }
        actions
    }

    /// Returns the latest time of the next call of [`Self::tick`].
    pub fn wake_at(&self, now: Duration, lease: LeaseHealth) -> Option<Duration> {
        if let Some(candidate) = self.candidate {
            return Some(candidate.since + candidate.time_limit);
        }
        let Some(active) = self.active else {
            let retry_at = self.selector.next_retry_at(None)?;
            return Some(retry_at.max(self.connect_not_before));
        };
        let other_relay_at = self.selector.next_retry_at(Some(active.relay));
        if active.going_away {
            return other_relay_at;
        }
        let unhealthy_at = (now + lease.remaining)
            .saturating_sub(lease.duration / 2)
            .max(active.since + self.settings.lease_wait);
        if unhealthy_at <= now {
            return other_relay_at;
        }
        let try_nearer_at = (active.relay > 0).then_some(self.try_nearer_at);
        [Some(unhealthy_at), try_nearer_at]
            .into_iter()
            .flatten()
            .min()
    }

    fn switch_reason(&self, now: Duration, lease: LeaseHealth) -> Option<SwitchReason> {
        let Some(active) = self.active else {
            return (now >= self.connect_not_before).then_some(SwitchReason::NoActiveRelay);
        };
        if active.going_away {
            return Some(SwitchReason::NoActiveRelay);
        }
        let is_settled = now >= active.since + self.settings.lease_wait;
        if is_settled && lease.remaining <= lease.duration / 2 {
            return Some(SwitchReason::LeaseNotRenewed);
        }
        if active.relay > 0 && now >= self.try_nearer_at {
            return Some(SwitchReason::NearerRelay);
        }
        None
    }

    fn open_candidate_if_needed(&mut self, now: Duration, lease: LeaseHealth) -> Option<Action> {
        let reason = self.switch_reason(now, lease)?;
        let active_relay = self.active.map(|active| active.relay);
        let relay = match (reason, active_relay) {
            (SwitchReason::NearerRelay, Some(active)) => {
                self.schedule_nearer_attempt(now);
                self.selector.nearer_relay(now, active)
            }
            _ => self.selector.next_relay(now, active_relay),
        }?;
        self.last_session_id += 1;
        let session = self.last_session_id;
        self.candidate = Some(Session {
            id: session,
            relay,
            since: now,
            time_limit: self.candidate_time_limit(relay),
            connected: false,
            going_away: false,
            reason,
        });
        Some(Action::Open { session, relay })
    }

    /// Returns how long a session with the relay may stay a candidate. The limit grows with the
    /// relay's failures: the relay may be overloaded by many agents connecting at once, and with a
    /// limit that is too short these agents would keep reconnecting.
    fn candidate_time_limit(&self, relay: usize) -> Duration {
        let attempts = 1 + self.selector.failures(relay);
        self.settings.lease_wait * attempts.min(MAXIMUM_WAIT_FACTOR)
    }

    /// Makes the candidate the active session, and retires the previous one.
    fn promote(&mut self, now: Duration) -> Vec<Action> {
        let Some(mut candidate) = self.candidate.take() else {
            return Vec::new();
        };
        candidate.since = now;
        self.schedule_nearer_attempt(now);
        let mut actions = vec![Action::Activate(candidate.id)];
        if let Some(previous) = self.active.replace(candidate) {
            actions.push(self.retire_previous(previous, now));
        }
        actions
    }

    /// Ends the previously active session. It is drained if its relay is stopping or is replaced by a
    /// nearer one, since the relay still answers its ledger calls. Otherwise the relay did not renew
    /// the lease and may be partitioned from control. The session is then closed, so that its calls
    /// fail immediately and the agent can send them again on the new session.
    fn retire_previous(&mut self, previous: Session, now: Duration) -> Action {
        let is_replaced_by_nearer = self
            .active
            .is_some_and(|active| active.reason == SwitchReason::NearerRelay);
        if previous.going_away || is_replaced_by_nearer {
            return Action::Drain(previous.id);
        }
        self.selector.record_failure(previous.relay, now);
        Action::Close(previous.id)
    }

    /// Closes a candidate that was opened because the lease was not renewed, now that the active relay
    /// has renewed it.
    fn drop_unneeded_candidate(&mut self) -> Vec<Action> {
        let is_unneeded =
            |candidate: &mut Session| candidate.reason == SwitchReason::LeaseNotRenewed;
        let dropped = self.candidate.take_if(is_unneeded);
        dropped
            .map(|candidate| Action::Close(candidate.id))
            .into_iter()
            .collect()
    }

    /// Schedules the next attempt to connect to a nearer relay.
    fn schedule_nearer_attempt(&mut self, now: Duration) {
        let half = self.settings.return_interval / 2;
        self.try_nearer_at = now + half + self.selector.jitter(half);
    }

    fn candidate_with_id(&mut self, session: SessionId) -> Option<&mut Session> {
        self.candidate
            .as_mut()
            .filter(|candidate| candidate.id == session)
    }
}
