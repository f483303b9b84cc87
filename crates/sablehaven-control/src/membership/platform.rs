//! The platform's list of machines, and its comparison with the known back ends.

use std::collections::{BTreeMap, BTreeSet};

use sablehaven_types::{BackendId, BackendRecord, BackendState};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use super::{MembershipState, PlatformUpdate};
use crate::RejectedEntry;

/// Number of consecutive lists that must lack a machine before it is removed. The list lags and may be wrong, and a
/// machine that leaves in the normal way is first listed as leaving.
pub const ABSENCES_BEFORE_REMOVAL: u32 = 3;

/// The platform's response.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct PlatformList {
    /// Live and leaving machines.
    pub machines: Vec<BackendRecord>,
    /// The entries that name no machine to use.
    #[serde(skip)]
    pub rejected: Vec<RejectedEntry>,
}

#[derive(Deserialize)]
struct RawList {
    machines: Vec<Box<RawValue>>,
}

/// The part of an entry that tells which machine it is about.
#[derive(Deserialize)]
struct EntryId {
    id: String,
}

impl PlatformList {
    /// Parses a response. Each entry is parsed by itself, so that an invalid one does not affect the others.
    ///
    /// # Errors
    /// Returns an error if the response is not a list in JSON.
    pub fn parse(body: &[u8]) -> Result<Self, serde_json::Error> {
        let raw: RawList = serde_json::from_str(&String::from_utf8_lossy(body))?;
        let mut list = Self::default();
        for entry in raw.machines {
            match serde_json::from_str::<BackendRecord>(entry.get()) {
                Ok(machine) if !has_invalid_text(&machine) => list.machines.push(machine),
                Ok(machine) => list.rejected.push(RejectedEntry {
                    id: Some(machine.id.to_string()),
                    kind: "invalid_field",
                    reason: "a name is not valid UTF-8".to_owned(),
                }),
                Err(error) => list.rejected.push(RejectedEntry {
                    id: serde_json::from_str::<EntryId>(entry.get())
                        .ok()
                        .map(|entry| entry.id),
                    kind: "invalid_field",
                    reason: error.to_string(),
                }),
            }
        }
        Ok(list)
    }
}

/// Whether invalid UTF-8 was replaced in a name of the machine.
fn has_invalid_text(machine: &BackendRecord) -> bool {
    let names = [
        machine.id.as_str(),
        machine.service.as_str(),
        machine.placement.region.as_str(),
        machine.placement.zone.as_str(),
    ];
    names
        .iter()
        .any(|name| name.contains(char::REPLACEMENT_CHARACTER))
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
        let machines = list.machines.iter().map(|machine| machine.id.as_str());
        let rejected = list.rejected.iter().filter_map(|entry| entry.id.as_deref());
        // A machine whose entry was rejected has not left.
        let listed: BTreeSet<&str> = machines.chain(rejected).collect();
        let absent = state.backends.keys();
        let absent = absent.filter(|id| !listed.contains(id.as_str()));
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
