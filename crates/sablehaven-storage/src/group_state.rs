//! The state of a group that storage keeps in memory, and the validation of writes against it.

use std::collections::VecDeque;

use sablehaven_consensus::HardState;

use crate::record::{GroupCheckpoint, RecordWrite, SnapshotReference};

/// The largest index, sequence number or segment number that is accepted. The limit prevents an
/// arithmetic overflow with a number that was decoded from damaged bytes.
pub(crate) const MAX_NUMBER: u64 = u64::MAX / 2;

/// The stored state of a group, without the entries' payloads.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct GroupState {
    pub(crate) hard_state: HardState,
    pub(crate) snapshot: Option<SnapshotReference>,
    pub(crate) last_index: u64,
    /// The terms of the stored entries, as one run per term in ascending order.
    term_runs: VecDeque<TermRun>,
}

/// A run of consecutive entries of the same term, up to the start of the next run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct TermRun {
    first_index: u64,
    term: u64,
}

impl GroupState {
    pub(crate) fn from_checkpoint(checkpoint: &GroupCheckpoint) -> Self {
        Self {
            hard_state: checkpoint.hard_state,
            snapshot: checkpoint.snapshot.clone(),
            last_index: checkpoint.last_index,
            term_runs: VecDeque::new(),
        }
    }

    pub(crate) fn checkpoint(&self, group: u32) -> GroupCheckpoint {
        GroupCheckpoint {
            group,
            hard_state: self.hard_state,
            snapshot: self.snapshot.clone(),
            last_index: self.last_index,
        }
    }

    /// Returns the index of the last entry that the snapshot covers, or 0 without a snapshot.
    pub(crate) fn snapshot_index(&self) -> u64 {
        let snapshot = self.snapshot.as_ref();
        snapshot.map_or(0, |reference| reference.metadata.index)
    }

    /// Returns the term of the stored entry at an index, or `None` if there is none.
    pub(crate) fn term_of(&self, index: u64) -> Option<u64> {
        if index > self.last_index {
            return None;
        }
        let mut runs = self.term_runs.iter().rev();
        let run = runs.find(|run| run.first_index <= index)?;
        Some(run.term)
    }

    /// Checks that a write is consistent with the stored state.
    pub(crate) fn check(&self, write: &RecordWrite<'_>) -> Result<(), String> {
        let mut snapshot_index = self.snapshot_index();
        let mut last_index = self.last_index;
        if let Some(snapshot) = &write.snapshot {
            let index = snapshot.reference.metadata.index;
            if index > MAX_NUMBER {
                return Err(format!("snapshot at {index} is out of range"));
            }
            if index <= snapshot_index {
                return Err(format!(
                    "snapshot at {index} is not newer than the stored one at {snapshot_index}"
                ));
            }
            if !snapshot.keeps_later_entries {
                last_index = index;
            } else if index > last_index {
                return Err(format!(
                    "snapshot at {index} cannot keep later entries: the last entry is {last_index}"
                ));
            }
            snapshot_index = index;
        }
        let Some(first) = write.entries.first() else {
            return Ok(());
        };
        if first.index > MAX_NUMBER {
            return Err(format!("entry {} is out of range", first.index));
        }
        if first.index <= snapshot_index {
            return Err(format!(
                "entry {} is covered by the snapshot at {snapshot_index}",
                first.index
            ));
        }
        if first.index > last_index + 1 {
            return Err(format!(
                "entry {} leaves a gap after the last entry, {last_index}",
                first.index
            ));
        }
        for (expected, entry) in (first.index..).zip(&write.entries) {
            if entry.index != expected {
                return Err(format!(
                    "found entry {} where entry {expected} was expected",
                    entry.index
                ));
            }
        }
        Ok(())
    }

    /// Applies a write that [`Self::check`] has accepted.
    pub(crate) fn apply(&mut self, write: &RecordWrite<'_>) {
        if let Some(hard_state) = write.hard_state {
            self.hard_state = hard_state;
        }
        if let Some(snapshot) = &write.snapshot {
            let index = snapshot.reference.metadata.index;
            if snapshot.keeps_later_entries {
                self.drop_terms_up_to(index);
            } else {
                self.term_runs.clear();
                self.last_index = index;
            }
            self.snapshot = Some(snapshot.reference.clone());
        }
        if let Some(first) = write.entries.first() {
            self.drop_terms_from(first.index);
        }
        for entry in &write.entries {
            self.push_term(entry.index, entry.term);
            self.last_index = entry.index;
        }
    }

    fn drop_terms_up_to(&mut self, index: u64) {
        while let Some(next) = self.term_runs.get(1) {
            if next.first_index > index + 1 {
                break;
            }
            self.term_runs.pop_front();
        }
        if let Some(first) = self.term_runs.front_mut() {
            first.first_index = first.first_index.max(index + 1);
        }
    }

    fn drop_terms_from(&mut self, index: u64) {
        while let Some(last) = self.term_runs.back() {
            if last.first_index < index {
                break;
            }
            self.term_runs.pop_back();
        }
    }

    fn push_term(&mut self, index: u64, term: u64) {
        let last = self.term_runs.back();
        if last.is_none_or(|run| run.term != term) {
            let first_index = index;
            self.term_runs.push_back(TermRun { first_index, term });
        }
    }
}
