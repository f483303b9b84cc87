//! Building each group's state from the log's records.

use std::collections::BTreeMap;

use sablehaven_consensus::{Entry, PersistentState, SnapshotMetadata};

use crate::{
    group_state::GroupState,
    record::{Record, RecordWrite, SegmentStart},
};

/// The groups as the records read so far leave them.
#[derive(Debug, Default)]
pub(crate) struct Replay {
    pub(crate) groups: BTreeMap<u32, ReplayedGroup>,
}

/// One group.
#[derive(Debug, Default)]
pub(crate) struct ReplayedGroup {
    pub(crate) state: GroupState,
    /// The stored entries, without gaps. Entries before the first of them may be in segments that
    /// were removed; a later snapshot must cover those.
    pub(crate) entries: Vec<Entry>,
}

impl Replay {
    /// The groups as the log's first segment finds them.
    pub(crate) fn new(start: &SegmentStart) -> Self {
        let mut groups = BTreeMap::new();
        for checkpoint in &start.groups {
            let state = GroupState::from_checkpoint(checkpoint);
            let entries = Vec::new();
            groups.insert(checkpoint.group, ReplayedGroup { state, entries });
        }
        Self { groups }
    }

    /// Checks that a later segment begins where the records before it end.
    pub(crate) fn check_start(&self, start: &SegmentStart) -> Result<(), String> {
        let replayed = self.groups.iter();
        let expected: Vec<_> = replayed
            .map(|(group, replayed)| replayed.state.checkpoint(*group))
            .collect();
        if start.groups == expected {
            return Ok(());
        }
        Err("the segment's start does not fit the records before it".to_owned())
    }

    /// Takes a record.
    pub(crate) fn apply(&mut self, record: &Record<'_>) -> Result<(), String> {
        for write in &record.writes {
            let group = self.groups.entry(write.group).or_default();
            let checked = group.state.check(write);
            checked.map_err(|reason| format!("group {}: {reason}", write.group))?;
            group.apply(write);
        }
        Ok(())
    }

    /// Checks that no entry is missing, now that all records were read.
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
    /// What a replica starts from; takes the entries out.
    pub(crate) fn take_restored(&mut self) -> PersistentState {
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
