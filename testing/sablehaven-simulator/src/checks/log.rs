//! One leader a term, committed entries that never change, and equal states.

use std::collections::BTreeMap;

use sablehaven_consensus::{Entry, ReplicaId};

use super::{Property, Verdict};

/// What is known of one group's log over all replicas and restarts.
#[derive(Debug, Default)]
struct GroupLog {
    leaders: BTreeMap<u64, ReplicaId>,
    committed: BTreeMap<u64, Entry>,
    outcomes: BTreeMap<u64, u64>,
    states: BTreeMap<u64, u64>,
}

#[derive(Debug, Default)]
pub(super) struct LogChecks {
    groups: BTreeMap<u32, GroupLog>,
}

impl LogChecks {
    fn group(&mut self, group: u32) -> &mut GroupLog {
        self.groups.entry(group).or_default()
    }

    pub(super) fn terms(&self) -> u64 {
        let terms = self.groups.values().map(|log| log.leaders.len() as u64);
        terms.sum()
    }

    pub(super) fn entries(&self) -> u64 {
        let entries = self.groups.values().map(|log| log.committed.len() as u64);
        entries.sum()
    }

    pub(super) fn leader(&mut self, group: u32, term: u64, replica: ReplicaId) -> Verdict {
        let known = self.group(group).leaders.entry(term).or_insert(replica);
        if *known == replica {
            return Ok(());
        }
        let detail = format!("group {group}: {known} and {replica} both lead term {term}");
        Err((Property::OneLeaderPerTerm, detail))
    }

    pub(super) fn committed(&mut self, group: u32, replica: ReplicaId, entry: &Entry) -> Verdict {
        let committed = &mut self.group(group).committed;
        let known = committed
            .entry(entry.index)
            .or_insert_with(|| entry.clone());
        if known == entry {
            return Ok(());
        }
        let detail = format!(
            "group {group}: {replica} has another entry {}, of term {} instead of {}",
            entry.index, entry.term, known.term
        );
        Err((Property::CommittedEntriesStay, detail))
    }

    pub(super) fn applied(&mut self, group: u32, index: u64, outcome: u64) -> Verdict {
        let known = self.group(group).outcomes.entry(index).or_insert(outcome);
        if *known == outcome {
            return Ok(());
        }
        let detail = format!("group {group}: entry {index} had two different outcomes");
        Err((Property::EqualStates, detail))
    }

    pub(super) fn state(&mut self, group: u32, index: u64, state: u64) -> Verdict {
        let known = self.group(group).states.entry(index).or_insert(state);
        if *known == state {
            return Ok(());
        }
        let detail = format!("group {group}: two different states after entry {index}");
        Err((Property::EqualStates, detail))
    }

    pub(super) fn snapshot_installed(&mut self, group: u32, index: u64, term: u64) -> Verdict {
        let known = self.group(group).committed.get(&index);
        match known {
            Some(entry) if entry.term == term => Ok(()),
            known => {
                let known = known.map(|entry| entry.term);
                let detail = format!(
                    "group {group}: snapshot at entry {index} of term {term}, committed is {known:?}"
                );
                Err((Property::CommittedEntriesStay, detail))
            }
        }
    }
}
