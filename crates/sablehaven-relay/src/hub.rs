//! What the connections of one relay share.

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
    Hello, LeaseProof, MonotonicClock, PROTOCOL_VERSION, Role, StateUpdate, UpdateFit,
};
use tokio::sync::{Notify, Semaphore, broadcast, mpsc, watch};

use crate::{
    AgentDirectory, Config, Distribution, Frame, HintBoard, Interest, ObservationQueue,
    RelayMetrics, SessionId,
    control::ledger::{AgentReply, LedgerRouter, LinkId},
};

/// Hints that wait for a slow agent, at most; it misses older ones and hears of them by an update.
const HINT_CAPACITY: usize = 1_024;

/// How long a hint is repeated to new agents.
const HINT_LIFETIME: Duration = Duration::from_secs(10);

/// A hint on its way to the agents.
#[derive(Clone)]
pub(crate) struct HintMessage {
    /// The connection that it came from.
    pub(crate) from: SessionId,
    pub(crate) observation: Observation,
}

/// A ledger reply on its way to an agent.
pub(crate) struct LedgerAnswer {
    pub(crate) call: u64,
    pub(crate) reply: LedgerReply,
}

/// State shared by the parts of one relay.
///
/// Locks are held for short computations only, never over an await, and never two at a time except
/// `hints` over `distribution`.
pub(crate) struct Hub {
    pub(crate) config: Config,
    pub(crate) relay: RelayId,
    pub(crate) clock: MonotonicClock,
    pub(crate) metrics: RelayMetrics,
    /// The newest revision.
    pub(crate) revision: watch::Sender<u64>,
    /// The newest proof that the leader is current.
    pub(crate) proof: watch::Sender<Option<LeaseProof>>,
    pub(crate) hint_messages: broadcast::Sender<HintMessage>,
    /// Whether the relay is stopping.
    pub(crate) stopping: watch::Sender<bool>,
    /// Full updates that may be on their way.
    pub(crate) snapshots: Semaphore,
    /// Something waits to be sent to control.
    pub(crate) outgoing: Notify,
    distribution: Mutex<Distribution>,
    directory: Mutex<AgentDirectory>,
    hints: Mutex<HintBoard>,
    observations: Mutex<ObservationQueue>,
    ledger: Mutex<LedgerRouter>,
    answers: Mutex<HashMap<SessionId, mpsc::UnboundedSender<LedgerAnswer>>>,
    last_session: AtomicU64,
    last_link: AtomicU64,
}

impl Hub {
    pub(crate) fn new(config: Config, relay: RelayId) -> Self {
        let status_interval = Duration::from_millis(config.status_interval_ms);
        let forget_after = Duration::from_millis(config.agent_forget_ms);
        let observation_interval = Duration::from_millis(config.observation_interval_ms);
        let ledger_limits = config.ledger_limits();
        let snapshots = Semaphore::new(config.concurrent_snapshots as usize);
        Self {
            config,
            relay,
            clock: MonotonicClock::start(),
            metrics: RelayMetrics::default(),
            revision: watch::Sender::new(0),
            proof: watch::Sender::new(None),
            hint_messages: broadcast::Sender::new(HINT_CAPACITY),
            stopping: watch::Sender::new(false),
            snapshots,
            outgoing: Notify::new(),
            distribution: Mutex::default(),
            directory: Mutex::new(AgentDirectory::new(status_interval, forget_after)),
            hints: Mutex::new(HintBoard::new(HINT_LIFETIME)),
            observations: Mutex::new(ObservationQueue::new(observation_interval)),
            ledger: Mutex::new(LedgerRouter::new(ledger_limits)),
            answers: Mutex::default(),
            last_session: AtomicU64::new(0),
            last_link: AtomicU64::new(0),
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

    pub(crate) fn new_link(&self) -> LinkId {
        self.last_link.fetch_add(1, Ordering::Relaxed) + 1
    }

    // State.

    /// Applies an update from control and wakes the agents' connections.
    pub(crate) fn apply(&self, update: StateUpdate) -> UpdateFit {
        let mut distribution = lock(&self.distribution);
        let fit = distribution.apply(update);
        if fit != UpdateFit::Applies {
            return fit;
        }
        let state = distribution.state();
        lock(&self.hints).prune(state, self.clock.now());
        let (revision, version) = (state.revision(), state.configuration_version());
        drop(distribution);
        self.metrics.control_updates.inc();
        self.metrics.revision.set(revision as i64);
        self.metrics.configuration_version.set(version as i64);
        self.revision.send_replace(revision);
        fit
    }

    pub(crate) fn frame(
        &self,
        from: u64,
        interest: &Interest,
    ) -> Result<Option<Frame>, rmp_serde::encode::Error> {
        let mut distribution = lock(&self.distribution);
        let encoded_before = distribution.encoded();
        let frame = distribution.frame(from, interest);
        let encoded = distribution.encoded() - encoded_before;
        self.metrics.encoded_updates.inc_by(encoded);
        frame
    }

    // Agents.

    pub(crate) fn open_session(&self) -> (SessionId, mpsc::UnboundedReceiver<LedgerAnswer>) {
        let session = self.last_session.fetch_add(1, Ordering::Relaxed) + 1;
        // Bounded by the ledger's limit of calls for each agent.
        let (sender, receiver) = mpsc::unbounded_channel();
        lock(&self.answers).insert(session, sender);
        self.metrics.agents.inc();
        (session, receiver)
    }

    pub(crate) fn close_session(&self, session: SessionId) {
        lock(&self.answers).remove(&session);
        lock(&self.ledger).session_ended(session);
        self.metrics.agents.dec();
    }

    pub(crate) fn open_sessions(&self) -> usize {
        lock(&self.answers).len()
    }

    /// Changes the directory of agents; control hears of it.
    pub(crate) fn update_directory(&self, change: impl FnOnce(&mut AgentDirectory)) {
        change(&mut lock(&self.directory));
        self.outgoing.notify_one();
    }

    /// Notes that an agent was sent a lease.
    pub(crate) fn update_lease(&self, agent: &AgentId, proof: LeaseProof) {
        let mut directory = lock(&self.directory);
        directory.leased(agent, proof);
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
            if self.offer_hint(&observation, now) {
                self.metrics.hints.inc();
                let observation = observation.clone();
                // Fails only while no agent is connected.
                let _ = self.hint_messages.send(HintMessage { from, observation });
            }
            lock(&self.observations).add(agent, observation, now);
        }
        self.outgoing.notify_one();
    }

    fn offer_hint(&self, observation: &Observation, now: Duration) -> bool {
        let distribution = lock(&self.distribution);
        lock(&self.hints).offer(observation, distribution.state(), now)
    }

    pub(crate) fn hints_for(&self, interest: &Interest) -> Vec<Observation> {
        lock(&self.hints).for_interest(interest)
    }

    pub(crate) fn observations(&self) -> MutexGuard<'_, ObservationQueue> {
        lock(&self.observations)
    }

    // Ledger.

    /// Takes a call; one too many is answered at once.
    pub(crate) fn call_ledger(&self, session: SessionId, call: u64, request: LedgerRequest) {
        self.metrics.ledger_calls.inc();
        let now = self.clock.now();
        let added = lock(&self.ledger).add(session, call, request, now);
        match added {
            Ok(()) => self.outgoing.notify_one(),
            Err(_) => self.answer(vec![AgentReply {
                session,
                call,
                reply: None,
            }]),
        }
    }

    pub(crate) fn ledger(&self) -> MutexGuard<'_, LedgerRouter> {
        lock(&self.ledger)
    }

    pub(crate) fn ledger_answered(&self, replies: Vec<(u64, LedgerReply)>) {
        let mut ledger = lock(&self.ledger);
        let replies = replies.into_iter();
        let replies = replies
            .filter_map(|(number, reply)| ledger.answered(number, reply))
            .collect();
        drop(ledger);
        self.answer(replies);
    }

    pub(crate) fn link_ended(&self, link: LinkId) {
        let replies = lock(&self.ledger).link_ended(link);
        self.answer(replies);
    }

    fn answer(&self, replies: Vec<AgentReply>) {
        let answers = lock(&self.answers);
        for AgentReply {
            session,
            call,
            reply,
        } in replies
        {
            let reply = reply.unwrap_or_else(|| self.unavailable());
            if let Some(answers) = answers.get(&session) {
                // Fails only if the agent's connection ends at this moment.
                let _ = answers.send(LedgerAnswer { call, reply });
            }
        }
    }

    fn unavailable(&self) -> LedgerReply {
        self.metrics.ledger_unavailable.inc();
        LedgerReply::Unavailable {
            retry_after_ms: self.config.ledger_retry_after_ms,
        }
    }

    // Time.

    /// When the next message to the leading control replica is due.
    pub(crate) fn outgoing_due_at(&self) -> Option<Duration> {
        let ledger = lock(&self.ledger).due_at();
        let directory = lock(&self.directory).due_at();
        let observations = lock(&self.observations).due_at();
        [ledger, directory, observations]
            .into_iter()
            .flatten()
            .min()
    }

    /// Acts on the time that has passed.
    pub(crate) fn tick(&self) {
        let now = self.clock.now();
        let expired = lock(&self.ledger).expire(now);
        self.answer(expired);
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

    /// Whether the relay has the state and proves it current.
    pub(crate) fn is_current(&self) -> bool {
        let proof = *self.proof.borrow();
        let now = self.clock.now();
        *self.revision.borrow() > 0 && proof.is_some_and(|proof| proof.is_valid(now))
    }
}

fn lock<State>(mutex: &Mutex<State>) -> MutexGuard<'_, State> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
