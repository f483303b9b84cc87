//! The platform's list of machines, and its comparison with the known back ends.

use std::collections::{BTreeMap, BTreeSet};

use sablehaven_types::{BackendId, BackendRecord, BackendState};
use serde::{Deserialize, Serialize};

use super::{MembershipState, PlatformUpdate};

/// Number of consecutive lists that must lack a machine before it is removed. The list lags and may be wrong, and a
/// machine that leaves in the normal way is first listed as leaving.
pub const ABSENCES_BEFORE_REMOVAL: u32 = 3;

/// The platform's response.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformList {
    /// Live and leaving machines.
    pub machines: Vec<BackendRecord>,
}

/// The number of consecutive lists from which each known machine was missing. Kept by the polling leader, outside of
/// the replicated state.
#[derive(Clone, Debug, Default)]
pub struct PlatformAbsences {
    missing: BTreeMap<BackendId, u32>,
}

impl PlatformAbsences {
    /// Compares a list with the shared state, and returns the changes to propose.
    pub fn compare(&mut self, list: &PlatformList, state: &MembershipState) -> PlatformUpdate {
        let machines = state.changed_machines(list);
        let removed = self.removed(list, state);
        PlatformUpdate { machines, removed }
    }

    /// Counts the machines that are missing, and returns those missing for long enough to be removed.
    fn removed(&mut self, list: &PlatformList, state: &MembershipState) -> BTreeSet<BackendId> {
        let listed: BTreeSet<&BackendId> =
            list.machines.iter().map(|machine| &machine.id).collect();
        let absent = state.backends.keys().filter(|id| !listed.contains(id));
        let before = std::mem::take(&mut self.missing);
        for id in absent {
            let count = before.get(id).copied().unwrap_or_default() + 1;
            self.missing.insert(id.clone(), count);
        }
        let removed = self
            .missing
            .iter()
            .filter(|(_, count)| **count >= ABSENCES_BEFORE_REMOVAL);
        removed.map(|(id, _)| id.clone()).collect()
    }
}

impl MembershipState {
    /// Returns the listed machines that are new or differ from the state. Suspicions come from agents only: a machine
    /// that the platform lists as suspected counts as live.
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
