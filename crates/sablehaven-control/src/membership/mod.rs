//! The back ends as a deterministic state machine with three inputs: the platform's list, the back ends' own draining
//! reports, and agents' suspicions. A back end is leaving as soon as the list or its own report says so.
//!
//! A suspicion is only the absence of an answer, so several agents must agree on it, and suspicions never remove more
//! than a share of a service. An answer proves that the back end is alive, so a single `Reachable` clears all
//! suspicions.

mod backend;
mod command;
mod evaluation;
mod platform;

use std::collections::{BTreeMap, BTreeSet};

use sablehaven_types::{BackendId, BackendRecord, Configuration, ServiceName};
use serde::{Deserialize, Serialize};

use self::backend::Backend;
pub use self::{
    command::{AgentObservation, ObservationBatch, PlatformUpdate, ServiceWatchers},
    platform::{ABSENCES_BEFORE_REMOVAL, PlatformAbsences, PlatformList},
};

/// Time after which a suspicion expires unless it is renewed, in milliseconds.
pub const SUSPICION_LIFETIME_MS: u64 = 30_000;

/// The back ends of a deployment, and how many agents watch each service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipState {
    backends: BTreeMap<BackendId, Backend>,
    watchers: BTreeMap<ServiceName, ServiceWatchers>,
    /// The records that agents are sent; derived from the fields above by [`Self::refresh`].
    records: BTreeMap<BackendId, BackendRecord>,
    /// Back ends that enough agents suspect but that the limits on removal keep in service.
    held_back: BTreeSet<BackendId>,
    /// The highest proposer's time applied so far; it never decreases.
    clock_ms: u64,
}

impl MembershipState {
    /// Returns the records of all known back ends.
    pub fn records(&self) -> &BTreeMap<BackendId, BackendRecord> {
        &self.records
    }

    /// Returns how many agents watch each service.
    pub fn watchers(&self) -> &BTreeMap<ServiceName, ServiceWatchers> {
        &self.watchers
    }

    /// Back ends that enough agents suspect but that the limits on removal keep in service.
    pub fn held_back(&self) -> &BTreeSet<BackendId> {
        &self.held_back
    }

    /// Whether a suspicion is older than [`SUSPICION_LIFETIME_MS`] at `now_ms`, so that a command must be proposed to
    /// drop it.
    pub fn has_expired_suspicion(&self, now_ms: u64) -> bool {
        let oldest_kept = now_ms.saturating_sub(SUSPICION_LIFETIME_MS);
        self.backends
            .values()
            .any(|backend| backend.has_suspicion_before(oldest_kept))
    }

    /// Applies changes in the platform's list.
    pub fn apply_platform(&mut self, update: PlatformUpdate) {
        for machine in update.machines {
            match self.backends.get_mut(&machine.id) {
                Some(backend) => backend.set_listed(machine),
                None => {
                    let id = machine.id.clone();
                    self.backends.insert(id, Backend::new(machine));
                }
            }
        }
        for id in &update.removed {
            self.backends.remove(id);
        }
    }

    /// Applies agents' observations. Those of an unknown back end or an earlier incarnation are ignored.
    pub fn apply_observations(&mut self, batch: ObservationBatch) {
        self.clock_ms = self.clock_ms.max(batch.proposed_at_ms);
        for observed in batch.observations {
            let known = self.backends.get_mut(&observed.observation.backend);
            if let Some(backend) = known {
                backend.apply(observed, self.clock_ms);
            }
        }
        let oldest_kept = self.clock_ms.saturating_sub(SUSPICION_LIFETIME_MS);
        for backend in self.backends.values_mut() {
            backend.drop_suspicions_before(oldest_kept);
        }
    }

    /// Whether an observation would change the state; others need not be proposed.
    pub fn would_change(&self, observed: &AgentObservation, now_ms: u64) -> bool {
        let known = self.backends.get(&observed.observation.backend);
        known.is_some_and(|backend| backend.would_change(observed, now_ms))
    }

    /// Sets how many agents watch each service; services that are not listed have none. Returns the services whose
    /// number of agents has changed.
    pub fn apply_watchers(
        &mut self,
        watchers: BTreeMap<ServiceName, ServiceWatchers>,
    ) -> BTreeSet<ServiceName> {
        let names: BTreeSet<ServiceName> = self
            .watchers
            .keys()
            .chain(watchers.keys())
            .cloned()
            .collect();
        let agents = |from: &BTreeMap<ServiceName, ServiceWatchers>, name: &ServiceName| {
            from.get(name).map_or(0, |watchers| watchers.agents)
        };
        let changed = names
            .into_iter()
            .filter(|name| agents(&self.watchers, name) != agents(&watchers, name))
            .collect();
        self.watchers = watchers;
        changed
    }

    /// Derives the records again, and returns the back ends whose record was added, changed or removed.
    pub fn refresh(&mut self, configuration: &Configuration) -> BTreeSet<BackendId> {
        let evaluation = evaluation::evaluate(&self.backends, &self.watchers, configuration);
        let mut records = BTreeMap::new();
        for (id, backend) in &self.backends {
            let suspected = evaluation.suspected.contains(id);
            records.insert(id.clone(), backend.record(suspected));
        }
        let before = std::mem::replace(&mut self.records, records);
        self.held_back = evaluation.held_back;
        let ids: BTreeSet<&BackendId> = before.keys().chain(self.records.keys()).collect();
        let changed = ids
            .into_iter()
            .filter(|id| before.get(*id) != self.records.get(*id));
        changed.cloned().collect()
    }
}
