//! Rebuilds the state of each group from the log's records.

use std::collections::BTreeMap;

use sablehaven_consensus::{Entry, PersistentState, SnapshotMetadata};

use crate::{
    group_state::GroupState,
    record::{Record, RecordWrite, SegmentHeader},
};

/// The state of all groups after the records read so far.
#[derive(Debug, Default)]
pub(crate) struct Replay {
    pub(crate) groups: BTreeMap<u32, ReplayedGroup>,
}

/// The state and entries of one group.
#[derive(Debug, Default)]
pub(crate) struct ReplayedGroup {
    pub(crate) state: GroupState,
    /// The stored entries, without gaps. Earlier entries may have been in segments that were
    /// removed; a snapshot later in the log must cover them.
    pub(crate) entries: Vec<Entry>,
}

impl Replay {
    /// Creates the state from the header of the log's first segment.
    pub(crate) fn new(header: &SegmentHeader) -> Self {
        let mut groups = BTreeMap::new();
        for checkpoint in &header.groups {
            let state = GroupState::from_checkpoint(checkpoint);
            let entries = Vec::new();
            groups.insert(checkpoint.group, ReplayedGroup { state, entries });
        }
        Self { groups }
    }

    /// Checks that the header of a later segment matches the state after the records before it.
    pub(crate) fn check_segment_header(&self, header: &SegmentHeader) -> Result<(), String> {
        let replayed = self.groups.iter();
        let expected: Vec<_> = replayed
            .map(|(group, replayed)| replayed.state.checkpoint(*group))
            .collect();
        if header.groups == expected {
            return Ok(());
        }
        Err("the segment header does not match the records before it".to_owned())
    }

    /// Checks a record and applies it.
    pub(crate) fn apply(&mut self, record: &Record<'_>) -> Result<(), String> {
        for write in &record.writes {
            let group = self.groups.entry(write.group).or_default();
            let checked = group.state.check(write);
            checked.map_err(|reason| format!("group {}: {reason}", write.group))?;
            group.apply(write);
        }
        Ok(())
    }

    /// Checks that no entry is missing. Call it after all records were applied.
    pub(crate) fn check_complete(&self) -> Result<(), String> {
        for (group, replayed) in &self.groups {
            let first_needed = replayed.state.snapshot_index() + 1;
            let last_index = replayed.state.last_index;
            let first_stored = match replayed.entries.first() {
                Some(entry) => entry.index,
                None => last_index + 1,
            };
            if first_stored != first_needed {
                return Err(format!(
                    "group {group}: the entries from {first_needed} to {} are neither in the log \
                     nor in a snapshot",
                    first_stored - 1
                ));
            }
        }
        Ok(())
    }
}

impl ReplayedGroup {
    /// Returns the state from which a replica starts, and moves the entries into it.
    pub(crate) fn take_restored_state(&mut self) -> PersistentState {
        PersistentState {
            hard_state: self.state.hard_state,
            snapshot: self.snapshot_metadata(),
            entries: std::mem::take(&mut self.entries),
        }
    }

    pub(crate) fn snapshot_metadata(&self) -> SnapshotMetadata {
        let snapshot = self.state.snapshot.as_ref();
        snapshot.map_or_else(SnapshotMetadata::default, |reference| {
            reference.metadata.clone()
        })
    }

    fn apply(&mut self, write: &RecordWrite<'_>) {
        if let Some(snapshot) = &write.snapshot {
            let index = snapshot.reference.metadata.index;
            if snapshot.keeps_later_entries {
                self.entries.retain(|entry| entry.index > index);
            } else {
                self.entries.clear();
            }
        }
        if let Some(first) = write.entries.first() {
            let kept = self
                .entries
                .partition_point(|entry| entry.index < first.index);
            self.entries.truncate(kept);
        }
        self.entries.extend(write.entries.iter().map(Entry::from));
        self.state.apply(write);
    }
}
