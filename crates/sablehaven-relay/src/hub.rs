//! State shared by all connections of a relay.

use std::{
    collections::HashMap,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use sablehaven_types::{AgentId, LedgerReply, LedgerRequest, Observation, RelayId};
use sablehaven_wire::{
    Hello, LeaseProof, MonotonicClock, PROTOCOL_VERSION, Role, StateUpdate, UpdateCheck,
};
use tokio::sync::{Notify, Semaphore, broadcast, mpsc, watch};

use crate::{
    AgentDirectory, Config, Distribution, EncodedUpdate, HintCache, Interest, ObservationQueue,
    RelayMetrics, SessionId,
    control::ledger::{FinishedCall, LedgerBatcher, LinkId},
};

/// Maximum number of hints queued for a slow agent. Further hints replace the oldest ones, and the
/// agent learns of those changes from an update.
const HINT_CHANNEL_CAPACITY: usize = 1_024;

/// Time for which a hint is sent to newly connected agents.
const HINT_LIFETIME: Duration = Duration::from_secs(10);

/// A hint to be sent to the agents.
#[derive(Clone)]
pub(crate) struct HintMessage {
    /// The session whose agent made the observation.
    pub(crate) from: SessionId,
    pub(crate) observation: Observation,
}

/// A ledger reply to be sent to an agent.
pub(crate) struct CallReply {
    pub(crate) call: u64,
    pub(crate) reply: LedgerReply,
}

/// State shared by all connections of a relay.
///
/// Locks are held only for short computations and never across an await. No two locks are held at
/// the same time, except `hints`, which may be acquired while `distribution` is held.
pub(crate) struct Hub {
    pub(crate) config: Config,
    pub(crate) relay: RelayId,
    pub(crate) clock: MonotonicClock,
    pub(crate) metrics: RelayMetrics,
    /// The latest revision.
    pub(crate) revision: watch::Sender<u64>,
    /// The latest proof that the leader is current.
    pub(crate) proof: watch::Sender<Option<LeaseProof>>,
    pub(crate) hint_messages: broadcast::Sender<HintMessage>,
    /// Whether the relay is stopping.
    pub(crate) stopping: watch::Sender<bool>,
    /// Limits the number of full updates that are being sent at the same time.
    pub(crate) full_update_permits: Semaphore,
    /// Notified when something is queued for control.
    pub(crate) outgoing: Notify,
    distribution: Mutex<Distribution>,
    directory: Mutex<AgentDirectory>,
    hints: Mutex<HintCache>,
    observations: Mutex<ObservationQueue>,
    ledger: Mutex<LedgerBatcher>,
    reply_senders: Mutex<HashMap<SessionId, mpsc::UnboundedSender<CallReply>>>,
    last_session_id: AtomicU64,
    last_link_id: AtomicU64,
}

impl Hub {
    pub(crate) fn new(config: Config, relay: RelayId) -> Self {
        let status_interval = Duration::from_millis(config.status_interval_ms);
        let agent_retention = Duration::from_millis(config.agent_forget_ms);
        let observation_interval = Duration::from_millis(config.observation_interval_ms);
        let ledger_limits = config.ledger_limits();
        let full_update_permits = Semaphore::new(config.concurrent_snapshots as usize);
        Self {
            config,
            relay,
            clock: MonotonicClock::start(),
            metrics: RelayMetrics::default(),
            revision: watch::Sender::new(0),
            proof: watch::Sender::new(None),
            hint_messages: broadcast::Sender::new(HINT_CHANNEL_CAPACITY),
            stopping: watch::Sender::new(false),
            full_update_permits,
            outgoing: Notify::new(),
            distribution: Mutex::default(),
            directory: Mutex::new(AgentDirectory::new(status_interval, agent_retention)),
            hints: Mutex::new(HintCache::new(HINT_LIFETIME)),
            observations: Mutex::new(ObservationQueue::new(observation_interval)),
            ledger: Mutex::new(LedgerBatcher::new(ledger_limits)),
            reply_senders: Mutex::default(),
            last_session_id: AtomicU64::new(0),
            last_link_id: AtomicU64::new(0),
        }
    }

    pub(crate) fn hello(&self) -> Hello {
        Hello {
            protocol_version: PROTOCOL_VERSION,
            deployment: self.config.deployment.clone(),
            role: Role::Relay,
            sender: self.relay.to_string(),
        }
    }

    pub(crate) fn next_link_id(&self) -> LinkId {
        self.last_link_id.fetch_add(1, Ordering::Relaxed) + 1
    }

    // State updates.

    /// Applies an update from control and wakes the agents' connections.
    pub(crate) fn apply(&self, update: StateUpdate) -> UpdateCheck {
        let mut distribution = lock(&self.distribution);
        let check = distribution.apply(update);
        if check != UpdateCheck::Applies {
            return check;
        }
        let state = distribution.state();
        lock(&self.hints).prune(state, self.clock.now());
        let (revision, version) = (state.revision(), state.configuration_version());
        drop(distribution);
        self.metrics.control_updates.inc();
        self.metrics.revision.set(revision as i64);
        self.metrics.configuration_version.set(version as i64);
        self.revision.send_replace(revision);
        check
    }

    pub(crate) fn update_from(
        &self,
        from_revision: u64,
        interest: &Interest,
    ) -> Result<Option<EncodedUpdate>, rmp_serde::encode::Error> {
        let mut distribution = lock(&self.distribution);
        let encoded_before = distribution.encoded_count();
        let update = distribution.update_from(from_revision, interest);
        let encoded = distribution.encoded_count() - encoded_before;
        self.metrics.encoded_updates.inc_by(encoded);
        update
    }

    // Agent sessions.

    pub(crate) fn open_session(&self) -> (SessionId, mpsc::UnboundedReceiver<CallReply>) {
        let session = self.last_session_id.fetch_add(1, Ordering::Relaxed) + 1;
        // Unbounded, but the number of messages is bounded by the ledger call limit per agent.
        let (sender, receiver) = mpsc::unbounded_channel();
        lock(&self.reply_senders).insert(session, sender);
        self.metrics.agents.inc();
        (session, receiver)
    }

    pub(crate) fn close_session(&self, session: SessionId) {
        lock(&self.reply_senders).remove(&session);
        lock(&self.ledger).close_session(session);
        self.metrics.agents.dec();
    }

    pub(crate) fn session_count(&self) -> usize {
        lock(&self.reply_senders).len()
    }

    /// Changes the agent directory and wakes the connection to control to report the change.
    pub(crate) fn update_directory(&self, change: impl FnOnce(&mut AgentDirectory)) {
        change(&mut lock(&self.directory));
        self.outgoing.notify_one();
    }

    /// Records that an agent was granted a lease.
    pub(crate) fn record_lease(&self, agent: &AgentId, proof: LeaseProof) {
        let mut directory = lock(&self.directory);
        directory.record_lease(agent, proof);
        let must_report = directory.due_at().is_some();
        drop(directory);
        if must_report {
            self.outgoing.notify_one();
        }
    }

    pub(crate) fn directory(&self) -> MutexGuard<'_, AgentDirectory> {
        lock(&self.directory)
    }

    // Observations and hints.

    pub(crate) fn observe(&self, from: SessionId, agent: &AgentId, observations: Vec<Observation>) {
        let now = self.clock.now();
        for observation in observations {
            if self.insert_hint(&observation, now) {
                self.metrics.hints.inc();
                let observation = observation.clone();
                // Fails only if no agent is connected.
                let _ = self.hint_messages.send(HintMessage { from, observation });
            }
            lock(&self.observations).add(agent, observation, now);
        }
        self.outgoing.notify_one();
    }

    fn insert_hint(&self, observation: &Observation, now: Duration) -> bool {
        let distribution = lock(&self.distribution);
        lock(&self.hints).insert(observation, distribution.state(), now)
    }

    pub(crate) fn hints_for(&self, interest: &Interest) -> Vec<Observation> {
        lock(&self.hints).matching(interest)
    }

    pub(crate) fn observations(&self) -> MutexGuard<'_, ObservationQueue> {
        lock(&self.observations)
    }

    // Ledger calls.

    /// Queues a ledger call. A call that exceeds the limits is answered immediately as unavailable.
    pub(crate) fn submit_ledger_call(&self, session: SessionId, call: u64, request: LedgerRequest) {
        self.metrics.ledger_calls.inc();
        let now = self.clock.now();
        let added = lock(&self.ledger).add(session, call, request, now);
        match added {
            Ok(()) => self.outgoing.notify_one(),
            Err(_) => self.deliver_replies(vec![FinishedCall {
                session,
                call,
                reply: None,
            }]),
        }
    }

    pub(crate) fn ledger(&self) -> MutexGuard<'_, LedgerBatcher> {
        lock(&self.ledger)
    }

    pub(crate) fn complete_ledger_calls(&self, replies: Vec<(u64, LedgerReply)>) {
        let mut ledger = lock(&self.ledger);
        let replies = replies.into_iter();
        let replies = replies
            .filter_map(|(call_id, reply)| ledger.complete(call_id, reply))
            .collect();
        drop(ledger);
        self.deliver_replies(replies);
    }

    pub(crate) fn close_link(&self, link: LinkId) {
        let replies = lock(&self.ledger).close_link(link);
        self.deliver_replies(replies);
    }

    fn deliver_replies(&self, replies: Vec<FinishedCall>) {
        let senders = lock(&self.reply_senders);
        for FinishedCall {
            session,
            call,
            reply,
        } in replies
        {
            let reply = reply.unwrap_or_else(|| self.unavailable_reply());
            if let Some(sender) = senders.get(&session) {
                // Fails only if the agent's connection is closing.
                let _ = sender.send(CallReply { call, reply });
            }
        }
    }

    fn unavailable_reply(&self) -> LedgerReply {
        self.metrics.ledger_unavailable.inc();
        LedgerReply::Unavailable {
            retry_after_ms: self.config.ledger_retry_after_ms,
        }
    }

    // Timers and readiness.

    /// Time at which the next message to the leading control replica is due.
    pub(crate) fn outgoing_due_at(&self) -> Option<Duration> {
        let ledger = lock(&self.ledger).due_at();
        let directory = lock(&self.directory).due_at();
        let observations = lock(&self.observations).due_at();
        [ledger, directory, observations]
            .into_iter()
            .flatten()
            .min()
    }

    /// Fails timed-out ledger calls and removes expired directory entries and hints.
    pub(crate) fn tick(&self) {
        let now = self.clock.now();
        let expired = lock(&self.ledger).expire(now);
        self.deliver_replies(expired);
        let mut directory = lock(&self.directory);
        directory.tick(now);
        let must_report = directory.due_at().is_some();
        drop(directory);
        if must_report {
            self.outgoing.notify_one();
        }
        let distribution = lock(&self.distribution);
        lock(&self.hints).prune(distribution.state(), now);
    }

    /// Whether the relay has the state and a valid proof that it is current.
    pub(crate) fn is_current(&self) -> bool {
        let proof = *self.proof.borrow();
        let now = self.clock.now();
        *self.revision.borrow() > 0 && proof.is_some_and(|proof| proof.is_valid(now))
    }
}

fn lock<State>(mutex: &Mutex<State>) -> MutexGuard<'_, State> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
