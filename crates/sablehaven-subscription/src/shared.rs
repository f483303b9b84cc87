//! What the sessions, the manager and the callers of one subscription share.

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

/// A call to the ledger on its way to a session.
pub(crate) struct LedgerCall {
    pub(crate) request: sablehaven_types::LedgerRequest,
    pub(crate) answer: oneshot::Sender<sablehaven_types::LedgerReply>,
}

/// The session that takes new ledger calls.
#[derive(Clone)]
pub(crate) struct ActiveSession {
    pub(crate) session: SessionId,
    pub(crate) calls: mpsc::Sender<LedgerCall>,
}

/// State shared by the parts of one subscription.
pub(crate) struct Shared {
    pub(crate) config: Config,
    pub(crate) identity: AgentIdentity,
    pub(crate) clock: MonotonicClock,
    pub(crate) metrics: SubscriptionMetrics,
    /// The session that takes new ledger calls and observations.
    pub(crate) active: watch::Sender<Option<ActiveSession>>,
    pub(crate) observed: Notify,
    core: Mutex<Core>,
    view: ArcSwap<View>,
    changed: watch::Sender<u64>,
}

struct Core {
    state: ViewState,
    lease: LeaseState,
    observations: ObservationBuffer,
}

/// What became of an update.
pub(crate) struct UpdateResult {
    pub(crate) fit: UpdateCheck,
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
            observed: Notify::new(),
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

    /// Revision and version in force.
    pub(crate) fn position(&self) -> (u64, u64) {
        let core = self.core();
        (core.state.revision(), core.state.configuration_version())
    }

    pub(crate) fn configuration_age(&self) -> ConfigurationAge {
        let core = self.core();
        let version = core.state.configuration_version();
        // The clock is read under the lock, so that the age is not older than the lease looked at.
        core.lease.configuration_age(version, self.clock.now())
    }

    pub(crate) fn lease_health(&self) -> LeaseHealth {
        let core = self.core();
        LeaseHealth {
            remaining: core.lease.remaining(self.clock.now()),
            duration: core.lease.duration(),
        }
    }

    /// Must be called before the request is written; see [`LeaseState::request`].
    pub(crate) fn request_lease(&self) -> u64 {
        self.core().lease.request(self.clock.now())
    }

    /// Takes a grant; returns whether it proves the state in force to be current.
    pub(crate) fn granted(&self, grant: &LeaseGrant) -> bool {
        let mut core = self.core();
        let revision = core.state.revision();
        let renewal = core.lease.granted(grant, revision, self.clock.now());
        if renewal == Renewal::Renewed {
            self.metrics.lease_renewals.inc();
        }
        matches!(renewal, Renewal::Renewed | Renewal::Confirmed)
    }

    pub(crate) fn apply(&self, update: StateUpdate) -> UpdateResult {
        let full = update.full;
        let mut core = self.core();
        let fit = core.state.apply(update);
        let mut lease_renewed = false;
        if fit == UpdateCheck::Applies {
            let revision = core.state.revision();
            lease_renewed = core.lease.applied(revision);
            self.publish(&core);
        }
        drop(core);
        self.count_update(fit, full);
        UpdateResult { fit, lease_renewed }
    }

    pub(crate) fn hint(&self, observations: &[Observation]) {
        let now = self.clock.now();
        let mut core = self.core();
        let mut changed = false;
        for observation in observations {
            if core.state.hint(observation, now) {
                self.metrics.hints.inc();
                changed = true;
            }
        }
        if changed {
            self.publish(&core);
        }
    }

    pub(crate) fn expire_hints(&self) {
        let mut core = self.core();
        if core.state.expire_hints(self.clock.now()) {
            self.publish(&core);
        }
    }

    pub(crate) fn next_hint_expiry(&self) -> Option<Duration> {
        self.core().state.next_hint_expiry()
    }

    pub(crate) fn observe(&self, observation: Observation) {
        if observation.kind == ObservationKind::Draining {
            self.hint(std::slice::from_ref(&observation));
        }
        self.core().observations.add(observation);
        self.observed.notify_one();
    }

    pub(crate) fn observations_due_at(&self) -> Option<Duration> {
        self.core().observations.due_at()
    }

    pub(crate) fn take_observations(&self) -> Vec<Observation> {
        self.core().observations.take(self.clock.now())
    }

    /// Shows the view to readers. Called under the lock, so that views appear in order.
    fn publish(&self, core: &Core) {
        self.view.store(Arc::new(core.state.view()));
        self.changed.send_modify(|count| *count += 1);
        self.metrics.revision.set(core.state.revision() as i64);
        let version = core.state.configuration_version();
        self.metrics.configuration_version.set(version as i64);
    }

    fn count_update(&self, fit: UpdateCheck, full: bool) {
        match fit {
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

    fn core(&self) -> MutexGuard<'_, Core> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
