//! The platform's list of machines, and what changed in it.

use std::collections::{BTreeMap, BTreeSet};

use sablehaven_types::{BackendId, BackendRecord, BackendState};
use serde::{Deserialize, Serialize};

use super::{MembershipState, PlatformUpdate};

/// Lists in a row that must miss a machine before it is removed: the list lags and misleads, and a
/// machine that leaves in order is listed as leaving first.
pub const ABSENCES_BEFORE_REMOVAL: u32 = 3;

/// The platform's answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformList {
    /// Live and leaving machines.
    pub machines: Vec<BackendRecord>,
}

/// How often each known machine was missing from the platform's latest lists. Kept by the leader
/// that polls, outside the replicated state.
#[derive(Clone, Debug, Default)]
pub struct PlatformAbsences {
    missing: BTreeMap<BackendId, u32>,
}

impl PlatformAbsences {
    /// Compares a list with the shared state and returns what is to be proposed.
    pub fn compare(&mut self, list: &PlatformList, state: &MembershipState) -> PlatformUpdate {
        let machines = state.changed_machines(list);
        let removed = self.removed(list, state);
        PlatformUpdate { machines, removed }
    }

    fn removed(&mut self, list: &PlatformList, state: &MembershipState) -> BTreeSet<BackendId> {
        let listed: BTreeSet<&BackendId> =
            list.machines.iter().map(|machine| &machine.id).collect();
        let absent = state.backends.keys().filter(|id| !listed.contains(id));
        let before = std::mem::take(&mut self.missing);
        for id in absent {
            let times = before.get(id).copied().unwrap_or_default() + 1;
            self.missing.insert(id.clone(), times);
        }
        let due = self
            .missing
            .iter()
            .filter(|(_, times)| **times >= ABSENCES_BEFORE_REMOVAL);
        due.map(|(id, _)| id.clone()).collect()
    }
}

impl MembershipState {
    /// The machines that a list gives otherwise than the state has them. Suspicion is not the
    /// platform's to say: a machine listed as suspected is taken as live.
    fn changed_machines(&self, list: &PlatformList) -> Vec<BackendRecord> {
        let mut changed = BTreeMap::new();
        for machine in &list.machines {
            let mut machine = machine.clone();
            if machine.state == BackendState::Suspected {
                machine.state = BackendState::Live;
            }
            let known = self.backends.get(&machine.id);
            if known.is_none_or(|known| known.listed() != &machine) {
                changed.insert(machine.id.clone(), machine);
            }
        }
        changed.into_values().collect()
    }
}
