//! Makes a batch durable: checks it, encodes it as a record, creates a new segment if the active
//! one is full, appends the record, and removes the files that the record makes obsolete.

use std::collections::BTreeSet;

use sablehaven_consensus::{EntryPayload, SnapshotMetadata};

use crate::{
    error::StorageError,
    format::{FRAME_HEADER_BYTES, MAX_PAYLOAD_BYTES, append_frame, checksum_seed},
    group_state::GroupState,
    manifest::Manifest,
    names,
    record::{Record, RecordEntry, RecordSnapshot, RecordWrite, SegmentHeader},
    scan::SegmentSummary,
    segment, snapshot_file,
    snapshot_writer::PreparedSnapshot,
    storage::{ActiveSegment, Storage},
    synced_position::SyncedPosition,
    write::GroupWrite,
};

/// The largest command: a record's maximum payload minus 1 MiB, which is ample for the other fields
/// of the record.
const MAX_COMMAND_BYTES: usize = MAX_PAYLOAD_BYTES - 1024 * 1024;

impl Storage {
    /// Checks a batch against the stored state and converts it to a record.
    pub(crate) fn record_of_batch<'a>(
        &self,
        batch: &'a [GroupWrite],
    ) -> Result<Record<'a>, StorageError> {
        let mut writes = Vec::with_capacity(batch.len());
        let mut groups = BTreeSet::new();
        for write in batch {
            if !groups.insert(write.group) {
                let reason = "the batch contains the group twice";
                return Err(invalid_write(write.group, reason));
            }
            check_entry_sizes(write)?;
            writes.push(self.record_write(write)?);
        }
        Ok(Record { writes })
    }

    /// Encodes a record as a frame.
    pub(crate) fn encode(&self, record: &Record<'_>) -> Result<Vec<u8>, StorageError> {
        let mut frame = Vec::with_capacity(FRAME_HEADER_BYTES);
        let seed = checksum_seed(self.identity.replica);
        let name = names::segment(self.manifest.last_segment);
        append_frame(&mut frame, seed, self.next_sequence, record)
            .map_err(|error| self.folder.encode_error(&name, error))?;
        Ok(frame)
    }

    /// Makes a checked record durable and applies it to the state in memory.
    pub(crate) fn commit(
        &mut self,
        batch: &[GroupWrite],
        record: &Record<'_>,
        frame: Vec<u8>,
    ) -> Result<(), StorageError> {
        // Snapshot files must be durable before the record that refers to them. Otherwise a crash
        // could leave a record that refers to a missing file.
        self.write_snapshots(batch, record)?;
        if self.is_full(&frame) {
            self.rotate_segment()?;
        }
        self.append(frame)?;
        let replaced = self.replaced_snapshot_files(record);
        self.apply_record(record);
        // Files may be removed only after the record that replaces them is durable.
        for name in replaced {
            self.folder.remove(&name)?;
        }
        self.remove_covered_segments()
    }

    /// Returns the index of the last entry that a group's snapshot covers, or 0 without a snapshot.
    pub(crate) fn snapshot_index(&self, group: u32) -> u64 {
        let state = self.groups.get(&group);
        state.map_or(0, GroupState::snapshot_index)
    }

    /// Checks that a snapshot of this replica's own state ends at a stored entry of the same term.
    pub(crate) fn check_snapshot_position(
        &self,
        group: u32,
        metadata: &SnapshotMetadata,
    ) -> Result<(), StorageError> {
        if self.stored_term(group, metadata.index) == Some(metadata.term) {
            return Ok(());
        }
        let (index, term) = (metadata.index, metadata.term);
        let reason =
            format!("the snapshot ends at entry {index} of term {term}, which is not stored");
        Err(invalid_write(group, reason))
    }

    /// Removes the file of a prepared snapshot that is not newer than the stored one, unless both
    /// are the same file.
    pub(crate) fn remove_unless_current(
        &mut self,
        prepared: &PreparedSnapshot,
    ) -> Result<(), StorageError> {
        let state = self.groups.get(&prepared.group);
        let current = state.and_then(|state| state.snapshot.as_ref());
        let name = names::snapshot(prepared.group, &prepared.reference);
        if current.is_some_and(|current| names::snapshot(prepared.group, current) == name) {
            return Ok(());
        }
        self.folder.remove(&name)
    }

    fn record_write<'a>(&self, write: &'a GroupWrite) -> Result<RecordWrite<'a>, StorageError> {
        let snapshot = write.snapshot.as_ref().map(|snapshot| {
            let metadata = &snapshot.metadata;
            let stored_term = self.stored_term(write.group, metadata.index);
            RecordSnapshot {
                reference: snapshot_file::reference_of(snapshot),
                keeps_later_entries: stored_term == Some(metadata.term),
            }
        });
        let record_write = RecordWrite {
            group: write.group,
            hard_state: write.hard_state,
            snapshot,
            entries: write.entries.iter().map(RecordEntry::from).collect(),
        };
        let new_group = GroupState::default();
        let state = self.groups.get(&write.group).unwrap_or(&new_group);
        match state.check(&record_write) {
            Ok(()) => Ok(record_write),
            Err(reason) => Err(invalid_write(write.group, reason)),
        }
    }

    fn stored_term(&self, group: u32, index: u64) -> Option<u64> {
        self.groups.get(&group)?.term_of(index)
    }

    fn write_snapshots(
        &self,
        batch: &[GroupWrite],
        record: &Record<'_>,
    ) -> Result<(), StorageError> {
        for (write, record_write) in batch.iter().zip(&record.writes) {
            if let (Some(snapshot), Some(recorded)) = (&write.snapshot, &record_write.snapshot) {
                let (reference, replica) = (&recorded.reference, self.identity.replica);
                let data = &snapshot.data;
                snapshot_file::write(&self.folder, replica, write.group, reference, data)?;
            }
        }
        Ok(())
    }

    fn is_full(&self, frame: &[u8]) -> bool {
        let active = &self.active.summary;
        let length = active.records_end + frame.len() as u64;
        active.records > 0 && length > self.options.segment_bytes
    }

    /// Closes the active segment and creates the next one.
    fn rotate_segment(&mut self) -> Result<(), StorageError> {
        let number = self.manifest.last_segment + 1;
        let groups = self.groups.iter();
        let header = SegmentHeader {
            replica: self.identity.replica,
            number,
            first_sequence: self.next_sequence,
            groups: groups
                .map(|(group, state)| state.checkpoint(*group))
                .collect(),
        };
        // The segment must be durable before the manifest lists it, and the manifest must be
        // durable before a record in the segment is acknowledged. Otherwise a crash could leave a
        // manifest that lists a missing file, or acknowledged records in a segment that is not
        // listed.
        let records_end = segment::create(&self.folder, &header)?;
        let manifest = Manifest {
            last_segment: number,
            ..self.manifest
        };
        manifest.write(&self.folder)?;
        self.manifest = manifest;
        let summary = SegmentSummary {
            number,
            records_end,
            ..SegmentSummary::default()
        };
        let next = ActiveSegment {
            file: self.folder.open_file(&names::segment(number))?,
            summary,
            allocated_bytes: records_end,
        };
        let closed = std::mem::replace(&mut self.active, next);
        self.closed.push_back(closed.summary);
        self.counters.segments_created += 1;
        Ok(())
    }

    /// Appends a record to the active segment with one write and one sync.
    fn append(&mut self, mut frame: Vec<u8>) -> Result<(), StorageError> {
        let frame_bytes = frame.len() as u64;
        self.allocate(&mut frame);
        let active = &mut self.active;
        active.file.write_at(active.summary.records_end, &frame)?;
        active.file.sync()?;
        active.summary.records_end += frame_bytes;
        active.summary.records += 1;
        self.next_sequence += 1;
        self.counters.records += 1;
        self.counters.log_bytes += frame_bytes;
        self.counters.log_syncs += 1;
        self.synced_position.write(SyncedPosition {
            segment: active.summary.number,
            synced_bytes: active.summary.records_end,
        })
    }

    /// Pads a record that reaches past the end of the file with zeros, which allocates space for
    /// later records in the same write. The padding does not reach beyond the segment's maximum
    /// size.
    fn allocate(&mut self, frame: &mut Vec<u8>) {
        let active = &mut self.active;
        let end = active.summary.records_end + frame.len() as u64;
        if end <= active.allocated_bytes {
            return;
        }
        let padded_end = end + self.options.allocation_bytes;
        active.allocated_bytes = padded_end.min(self.options.segment_bytes).max(end);
        let added = active.allocated_bytes - end;
        frame.resize(frame.len() + added as usize, 0);
    }

    /// Returns the names of the snapshot files that a record replaces.
    fn replaced_snapshot_files(&self, record: &Record<'_>) -> Vec<String> {
        let with_snapshot = record
            .writes
            .iter()
            .filter(|write| write.snapshot.is_some());
        let replaced = with_snapshot.filter_map(|write| {
            let previous = self.groups.get(&write.group)?.snapshot.as_ref()?;
            Some(names::snapshot(write.group, previous))
        });
        replaced.collect()
    }

    fn apply_record(&mut self, record: &Record<'_>) {
        self.active.summary.add_record(record);
        for write in &record.writes {
            self.counters.snapshots += u64::from(write.snapshot.is_some());
            self.groups.entry(write.group).or_default().apply(write);
        }
    }

    /// Removes the oldest segments, as long as snapshots cover all entries of each removed one.
    fn remove_covered_segments(&mut self) -> Result<(), StorageError> {
        let covered = self
            .closed
            .iter()
            .take_while(|segment| self.is_covered(segment));
        let covered: Vec<u64> = covered.map(|segment| segment.number).collect();
        let Some(last_covered) = covered.last() else {
            return Ok(());
        };
        // The manifest must stop listing the segments before their files are removed: a listed
        // segment that is missing counts as damage.
        let manifest = Manifest {
            first_segment: last_covered + 1,
            ..self.manifest
        };
        manifest.write(&self.folder)?;
        self.manifest = manifest;
        for number in covered {
            self.folder.remove(&names::segment(number))?;
            self.closed.pop_front();
            self.counters.segments_removed += 1;
        }
        Ok(())
    }

    fn is_covered(&self, segment: &SegmentSummary) -> bool {
        let mut highest = segment.highest_indexes.iter();
        highest.all(|(group, highest)| *highest <= self.snapshot_index(*group))
    }
}

/// Checks that each command is small enough for a record of its own. A larger one could not be read
/// back.
fn check_entry_sizes(write: &GroupWrite) -> Result<(), StorageError> {
    for entry in &write.entries {
        let EntryPayload::Command(command) = &entry.payload else {
            continue;
        };
        if command.len() > MAX_COMMAND_BYTES {
            return Err(StorageError::EntryTooLarge {
                group: write.group,
                index: entry.index,
                bytes: command.len() as u64,
                allowed: MAX_COMMAND_BYTES as u64,
            });
        }
    }
    Ok(())
}

fn invalid_write(group: u32, reason: impl Into<String>) -> StorageError {
    StorageError::InvalidWrite {
        group,
        reason: reason.into(),
    }
}
