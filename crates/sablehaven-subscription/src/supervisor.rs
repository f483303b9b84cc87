//! Decides which relay the agent uses and when it moves to another one.
//!
//! At most two sessions count: the active one, and a candidate that may replace it. The active one
//! is kept until the candidate is of use, so that a move leaves no gap, and so that agents do not
//! run from relay to relay while control as a whole cannot prove that it is current.

use std::time::Duration;

use crate::relay_selector::{RelaySelector, RetrySettings};

/// Greatest multiple of the wait for a lease that a relay is given after failures.
const MAXIMUM_WAIT_FACTOR: u32 = 4;

/// Numbers the sessions of one subscription.
pub type SessionId = u64;

/// Timings of the supervisor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SupervisorSettings {
    /// How long a relay may take to give a usable lease.
    pub lease_wait: Duration,
    /// Greatest random wait after a relay was lost.
    pub failover_jitter: Duration,
    /// Time after which a nearer relay is tried.
    pub return_interval: Duration,
    /// How long a relay that failed is left alone.
    pub retry: RetrySettings,
}

/// The lease as the supervisor needs it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseHealth {
    /// Time until the lease ends.
    pub remaining: Duration,
    /// The lease's whole duration.
    pub duration: Duration,
}

/// What the caller has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Connect to a relay, given by its place in the list.
    Open {
        /// The new session.
        session: SessionId,
        /// The relay.
        relay: usize,
    },
    /// Send new ledger calls and observations by this session.
    Activate(SessionId),
    /// Send nothing new by this session; end it once its ledger calls are answered.
    Drain(SessionId),
    /// End this session now.
    Close(SessionId),
}

#[derive(Clone, Copy, Debug)]
struct Link {
    session: SessionId,
    relay: usize,
    since: Duration,
    /// How long it may stay a candidate.
    limit: Duration,
    connected: bool,
    going_away: bool,
    want: Want,
}

/// Why another relay is wanted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Want {
    AnyRelay,
    Lease,
    NearerRelay,
}

/// The state machine.
#[derive(Debug)]
pub struct Supervisor {
    settings: SupervisorSettings,
    choice: RelaySelector,
    active: Option<Link>,
    candidate: Option<Link>,
    last_session: SessionId,
    not_before: Duration,
    return_at: Duration,
}

impl Supervisor {
    /// A supervisor over `relays` relays, the most preferred first; the seed makes the jitter.
    pub fn new(relays: usize, settings: SupervisorSettings, seed: u64) -> Self {
        Self {
            settings,
            choice: RelaySelector::new(relays, settings.retry, seed),
            active: None,
            candidate: None,
            last_session: 0,
            not_before: Duration::ZERO,
            return_at: Duration::ZERO,
        }
    }

    /// The handshake of a session is done.
    pub fn connected(&mut self, session: SessionId, now: Duration) -> Vec<Action> {
        let Some(candidate) = self.candidate_of(session) else {
            return Vec::new();
        };
        candidate.connected = true;
        let needed_now = self.active.is_none_or(|active| active.going_away);
        if needed_now {
            return self.promote(now);
        }
        Vec::new()
    }

    /// A session renewed the lease.
    pub fn lease_renewed(&mut self, session: SessionId, now: Duration) -> Vec<Action> {
        if let Some(active) = self.active.filter(|active| active.session == session) {
            self.choice.succeeded(active.relay);
            return self.drop_needless_candidate();
        }
        let Some(candidate) = self.candidate_of(session) else {
            return Vec::new();
        };
        let relay = candidate.relay;
        self.choice.succeeded(relay);
        self.promote(now)
    }

    /// The relay of a session stops.
    pub fn go_away(&mut self, session: SessionId, now: Duration) -> Vec<Action> {
        if let Some(active) = self.active.as_mut().filter(|link| link.session == session) {
            active.going_away = true;
            let relay = active.relay;
            self.choice.failed(relay, now);
            if self.candidate.is_some_and(|candidate| candidate.connected) {
                return self.promote(now);
            }
            return Vec::new();
        }
        let Some(candidate) = self.candidate.take_if(|link| link.session == session) else {
            return Vec::new();
        };
        self.choice.failed(candidate.relay, now);
        vec![Action::Close(session)]
    }

    /// A session ended, or its connection could not be made.
    pub fn ended(&mut self, session: SessionId, now: Duration) -> Vec<Action> {
        if let Some(active) = self.active.take_if(|link| link.session == session) {
            if !active.going_away {
                self.choice.failed(active.relay, now);
                self.not_before = now + self.choice.jitter(self.settings.failover_jitter);
            }
            if self.candidate.is_some_and(|candidate| candidate.connected) {
                return self.promote(now);
            }
            return Vec::new();
        }
        if let Some(candidate) = self.candidate.take_if(|link| link.session == session) {
            self.choice.failed(candidate.relay, now);
        }
        Vec::new()
    }

    /// Acts on the time that has passed.
    pub fn tick(&mut self, now: Duration, lease: LeaseHealth) -> Vec<Action> {
        let mut actions = Vec::new();
        let overdue = |link: &mut Link| now >= link.since + link.limit;
        if let Some(candidate) = self.candidate.take_if(overdue) {
            self.choice.failed(candidate.relay, now);
            actions.push(Action::Close(candidate.session));
        }
        if self.candidate.is_none() {
            actions.extend(self.open_if_wanted(now, lease));
        }
        actions
    }

    /// When [`Self::tick`] must be called next at the latest.
    pub fn wake_at(&self, now: Duration, lease: LeaseHealth) -> Option<Duration> {
        if let Some(candidate) = self.candidate {
            return Some(candidate.since + candidate.limit);
        }
        let Some(active) = self.active else {
            let retry_at = self.choice.next_at(None)?;
            return Some(retry_at.max(self.not_before));
        };
        let other_at = self.choice.next_at(Some(active.relay));
        if active.going_away {
            return other_at;
        }
        let unhealthy_at = (now + lease.remaining)
            .saturating_sub(lease.duration / 2)
            .max(active.since + self.settings.lease_wait);
        if unhealthy_at <= now {
            return other_at;
        }
        let return_at = (active.relay > 0).then_some(self.return_at);
        [Some(unhealthy_at), return_at].into_iter().flatten().min()
    }

    fn want(&self, now: Duration, lease: LeaseHealth) -> Option<Want> {
        let Some(active) = self.active else {
            return (now >= self.not_before).then_some(Want::AnyRelay);
        };
        if active.going_away {
            return Some(Want::AnyRelay);
        }
        let had_time = now >= active.since + self.settings.lease_wait;
        if had_time && lease.remaining <= lease.duration / 2 {
            return Some(Want::Lease);
        }
        if active.relay > 0 && now >= self.return_at {
            return Some(Want::NearerRelay);
        }
        None
    }

    fn open_if_wanted(&mut self, now: Duration, lease: LeaseHealth) -> Option<Action> {
        let want = self.want(now, lease)?;
        let active_relay = self.active.map(|active| active.relay);
        let relay = match (want, active_relay) {
            (Want::NearerRelay, Some(active)) => {
                self.plan_return(now);
                self.choice.nearer(now, active)
            }
            _ => self.choice.next(now, active_relay),
        }?;
        self.last_session += 1;
        let session = self.last_session;
        self.candidate = Some(Link {
            session,
            relay,
            since: now,
            limit: self.candidate_limit(relay),
            connected: false,
            going_away: false,
            want,
        });
        Some(Action::Open { session, relay })
    }

    /// A relay that did not serve in time before gets more time, since it may be busy with a storm
    /// of agents that too short a limit would keep going.
    fn candidate_limit(&self, relay: usize) -> Duration {
        let attempts = 1 + self.choice.failures(relay);
        self.settings.lease_wait * attempts.min(MAXIMUM_WAIT_FACTOR)
    }

    /// Makes the candidate the active session.
    fn promote(&mut self, now: Duration) -> Vec<Action> {
        let Some(mut candidate) = self.candidate.take() else {
            return Vec::new();
        };
        candidate.since = now;
        self.plan_return(now);
        let mut actions = vec![Action::Activate(candidate.session)];
        if let Some(previous) = self.active.replace(candidate) {
            actions.push(self.end_previous(previous, now));
        }
        actions
    }

    /// A relay that said goodbye, or that a nearer one replaces, still answers its ledger calls.
    /// One that could not renew the lease may be cut off: its calls end without an answer, so that
    /// the agent can send them again by the new one.
    fn end_previous(&mut self, previous: Link, now: Duration) -> Action {
        let replaced_by_nearer = self
            .active
            .is_some_and(|active| active.want == Want::NearerRelay);
        if previous.going_away || replaced_by_nearer {
            return Action::Drain(previous.session);
        }
        self.choice.failed(previous.relay, now);
        Action::Close(previous.session)
    }

    /// The active relay renews the lease again.
    fn drop_needless_candidate(&mut self) -> Vec<Action> {
        let needless = |link: &mut Link| link.want == Want::Lease;
        let dropped = self.candidate.take_if(needless);
        dropped
            .map(|link| Action::Close(link.session))
            .into_iter()
            .collect()
    }

    fn plan_return(&mut self, now: Duration) {
        let half = self.settings.return_interval / 2;
        self.return_at = now + half + self.choice.jitter(half);
    }

    fn candidate_of(&mut self, session: SessionId) -> Option<&mut Link> {
        self.candidate
            .as_mut()
            .filter(|candidate| candidate.session == session)
    }
}
