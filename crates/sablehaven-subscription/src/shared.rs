//! State shared by the sessions, the manager and the callers of a subscription.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use arc_swap::ArcSwap;
use sablehaven_types::{ConfigurationAge, Observation, ObservationKind};
use sablehaven_wire::{
    Hello, LeaseGrant, MonotonicClock, PROTOCOL_VERSION, Role, StateUpdate, UpdateCheck,
};
use tokio::sync::{Notify, mpsc, oneshot, watch};

use crate::{
    Config, LeaseHealth, LeaseState, ObservationBuffer, Renewal, SessionId, SubscriptionMetrics,
    View, ViewState, subscription::AgentIdentity,
};

/// A ledger call queued for a session. Dropping it makes the call fail as unavailable.
pub(crate) struct LedgerCall {
    pub(crate) request: sablehaven_types::LedgerRequest,
    pub(crate) reply_sender: oneshot::Sender<sablehaven_types::LedgerReply>,
}

/// The session that sends new ledger calls.
#[derive(Clone)]
pub(crate) struct ActiveSession {
    pub(crate) session: SessionId,
    pub(crate) calls: mpsc::Sender<LedgerCall>,
}

/// State shared by the parts of a subscription.
pub(crate) struct Shared {
    pub(crate) config: Config,
    pub(crate) identity: AgentIdentity,
    pub(crate) clock: MonotonicClock,
    pub(crate) metrics: SubscriptionMetrics,
    /// The session that sends new ledger calls and observations.
    pub(crate) active: watch::Sender<Option<ActiveSession>>,
    /// Notified when an observation is added.
    pub(crate) observation_added: Notify,
    core: Mutex<Core>,
    view: ArcSwap<View>,
    /// The number of views published so far.
    changed: watch::Sender<u64>,
}

/// The state that is changed under the lock.
struct Core {
    state: ViewState,
    lease: LeaseState,
    observations: ObservationBuffer,
}

/// The result of applying an update.
pub(crate) struct UpdateResult {
    pub(crate) check: UpdateCheck,
    pub(crate) lease_renewed: bool,
}

impl Shared {
    pub(crate) fn new(config: Config, identity: AgentIdentity) -> Self {
        let hint_lifetime = Duration::from_millis(config.hint_lifetime_ms);
        let observation_interval = Duration::from_millis(config.observation_interval_ms);
        let core = Core {
            state: ViewState::new(hint_lifetime),
            lease: LeaseState::default(),
            observations: ObservationBuffer::new(observation_interval),
        };
        Self {
            config,
            identity,
            clock: MonotonicClock::start(),
            metrics: SubscriptionMetrics::default(),
            active: watch::Sender::new(None),
            observation_added: Notify::new(),
            core: Mutex::new(core),
            view: ArcSwap::default(),
            changed: watch::Sender::new(0),
        }
    }

    pub(crate) fn hello(&self) -> Hello {
        Hello {
            protocol_version: PROTOCOL_VERSION,
            deployment: self.config.deployment.clone(),
            role: Role::Agent,
            sender: self.identity.agent.to_string(),
        }
    }

    pub(crate) fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    pub(crate) fn changed(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Returns the revision and the configuration version in force.
    pub(crate) fn applied_versions(&self) -> (u64, u64) {
        let core = self.lock_core();
        (core.state.revision(), core.state.configuration_version())
    }

    pub(crate) fn configuration_age(&self) -> ConfigurationAge {
        let core = self.lock_core();
        let version = core.state.configuration_version();
        // The clock is read under the lock, so that the time is not earlier than the last lease renewal.
        core.lease.configuration_age(version, self.clock.now())
    }

    pub(crate) fn lease_health(&self) -> LeaseHealth {
        let core = self.lock_core();
        LeaseHealth {
            remaining: core.lease.remaining(self.clock.now()),
            duration: core.lease.duration(),
        }
    }

    /// Records a lease request and returns its nonce. Must be called before the request is written; see
    /// [`LeaseState::record_request`].
    pub(crate) fn record_lease_request(&self) -> u64 {
        self.lock_core().lease.record_request(self.clock.now())
    }

    /// Processes a grant. Returns whether it proves that the state in force is current.
    pub(crate) fn accept_grant(&self, grant: &LeaseGrant) -> bool {
        let mut core = self.lock_core();
        let revision = core.state.revision();
        let renewal = core.lease.accept_grant(grant, revision, self.clock.now());
        if renewal == Renewal::Renewed {
            self.metrics.lease_renewals.inc();
        }
        matches!(renewal, Renewal::Renewed | Renewal::Confirmed)
    }

    pub(crate) fn apply(&self, update: StateUpdate) -> UpdateResult {
        let full = update.full;
        let mut core = self.lock_core();
        let check = core.state.apply(update);
        let mut lease_renewed = false;
        if check == UpdateCheck::Applies {
            let revision = core.state.revision();
            lease_renewed = core.lease.revision_applied(revision);
            self.publish(&core);
        }
        drop(core);
        self.count_update(check, full);
        UpdateResult {
            check,
            lease_renewed,
        }
    }

    pub(crate) fn apply_hints(&self, observations: &[Observation]) {
        let now = self.clock.now();
        let mut core = self.lock_core();
        let mut view_changed = false;
        for observation in observations {
            if core.state.apply_hint(observation, now) {
                self.metrics.hints.inc();
                view_changed = true;
            }
        }
        if view_changed {
            self.publish(&core);
        }
    }

    pub(crate) fn expire_hints(&self) {
        let mut core = self.lock_core();
        if core.state.expire_hints(self.clock.now()) {
            self.publish(&core);
        }
    }

    pub(crate) fn next_hint_expiry(&self) -> Option<Duration> {
        self.lock_core().state.next_hint_expiry()
    }

    pub(crate) fn observe(&self, observation: Observation) {
        if observation.kind == ObservationKind::Draining {
            self.apply_hints(std::slice::from_ref(&observation));
        }
        self.lock_core().observations.add(observation);
        self.observation_added.notify_one();
    }

    pub(crate) fn observations_due_at(&self) -> Option<Duration> {
        self.lock_core().observations.next_due_at()
    }

    pub(crate) fn take_observations(&self) -> Vec<Observation> {
        self.lock_core().observations.take(self.clock.now())
    }

    /// Makes the view visible to readers. Called under the lock, so that views are published in order.
    fn publish(&self, core: &Core) {
        self.view.store(Arc::new(core.state.view()));
        self.changed.send_modify(|count| *count += 1);
        self.metrics.revision.set(core.state.revision() as i64);
        let version = core.state.configuration_version();
        self.metrics.configuration_version.set(version as i64);
    }

    fn count_update(&self, check: UpdateCheck, full: bool) {
        match check {
            UpdateCheck::Applies => {
                self.metrics.updates.inc();
                self.metrics.full_updates.inc_by(u64::from(full));
            }
            UpdateCheck::Gap => {
                self.metrics.gaps.inc();
            }
            UpdateCheck::Reverted => {
                self.metrics.reverts_refused.inc();
            }
            UpdateCheck::Stale => {}
        }
    }

    fn lock_core(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
