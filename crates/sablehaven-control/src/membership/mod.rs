//! Back ends as a deterministic state machine, from three signals: the platform's list, the back
//! end's own word, and agents' suspicions. The earliest sign of leaving wins.
//!
//! A suspicion is the absence of an answer, so it needs several agents and never removes more than
//! a share of a service; an answer is proof of life, so one `Reachable` heals.

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

/// Time after which a suspicion that is not renewed is dropped, in milliseconds.
pub const SUSPICION_LIFETIME_MS: u64 = 30_000;

/// The back ends of a deployment and how many agents watch each service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipState {
    backends: BTreeMap<BackendId, Backend>,
    watchers: BTreeMap<ServiceName, ServiceWatchers>,
    /// What agents are told; derived from the above at each [`Self::refresh`].
    records: BTreeMap<BackendId, BackendRecord>,
    /// Back ends that agents suspect but that the floor keeps in service.
    held_back: BTreeSet<BackendId>,
    /// The latest proposer's time seen; never goes back.
    clock_ms: u64,
}

impl MembershipState {
    /// Every known back end.
    pub fn records(&self) -> &BTreeMap<BackendId, BackendRecord> {
        &self.records
    }

    /// How many agents watch each service.
    pub fn watchers(&self) -> &BTreeMap<ServiceName, ServiceWatchers> {
        &self.watchers
    }

    /// Back ends that agents suspect but that the floor keeps in service.
    pub fn held_back(&self) -> &BTreeSet<BackendId> {
        &self.held_back
    }

    /// Whether a suspicion has outlived [`SUSPICION_LIFETIME_MS`] at `now_ms`, so that a command is
    /// due to drop it.
    pub fn has_expired_suspicion(&self, now_ms: u64) -> bool {
        let oldest_kept = now_ms.saturating_sub(SUSPICION_LIFETIME_MS);
        self.backends
            .values()
            .any(|backend| backend.has_suspicion_before(oldest_kept))
    }

    /// Applies what changed in the platform's list.
    pub fn apply_platform(&mut self, update: PlatformUpdate) {
        for machine in update.machines {
            match self.backends.get_mut(&machine.id) {
                Some(backend) => backend.list(machine),
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

    /// Applies what agents saw; an observation of an unknown back end or an earlier start is ignored.
    pub fn apply_observations(&mut self, batch: ObservationBatch) {
        self.clock_ms = self.clock_ms.max(batch.proposed_at_ms);
        for observed in batch.observations {
            let known = self.backends.get_mut(&observed.observation.backend);
            if let Some(backend) = known {
                backend.observe(observed, self.clock_ms);
            }
        }
        let oldest_kept = self.clock_ms.saturating_sub(SUSPICION_LIFETIME_MS);
        for backend in self.backends.values_mut() {
            backend.drop_suspicions_before(oldest_kept);
        }
    }

    /// Whether an observation would change anything; others need not enter the log.
    pub fn would_change(&self, observed: &AgentObservation, now_ms: u64) -> bool {
        let known = self.backends.get(&observed.observation.backend);
        known.is_some_and(|backend| backend.would_change(observed, now_ms))
    }

    /// Records how many agents watch each service; services that are not named have none.
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

    /// Derives the records again and returns the back ends whose record changed or went.
    pub fn refresh(&mut self, configuration: &Configuration) -> BTreeSet<BackendId> {
        let verdict = evaluation::evaluate(&self.backends, &self.watchers, configuration);
        let mut records = BTreeMap::new();
        for (id, backend) in &self.backends {
            let suspected = verdict.suspected.contains(id);
            records.insert(id.clone(), backend.record(suspected));
        }
        let before = std::mem::replace(&mut self.records, records);
        self.held_back = verdict.held_back;
        let ids: BTreeSet<&BackendId> = before.keys().chain(self.records.keys()).collect();
        let changed = ids
            .into_iter()
            .filter(|id| before.get(*id) != self.records.get(*id));
        changed.cloned().collect()
    }
}
