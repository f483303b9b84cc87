//! Reads a data folder without modifying it, as the first step of both opening and inspecting it.

use std::{collections::BTreeMap, path::PathBuf};

use crate::{
    error::StorageError,
    folder::Folder,
    identity::Identity,
    manifest::Manifest,
    names,
    record::{Record, SegmentHeader},
    replay::Replay,
    segment::{MAX_FILE_BYTES, RecordError, SegmentReader},
    synced_position::SyncedPosition,
};

/// The result of reading a data folder.
#[derive(Debug)]
pub(crate) struct FolderScan {
    pub(crate) identity: Identity,
    pub(crate) manifest: Manifest,
    /// The segments that were read completely, in order.
    pub(crate) segments: Vec<SegmentSummary>,
    /// The state of the groups after the last record that was read.
    pub(crate) replay: Replay,
    pub(crate) torn_tail: Option<TruncatedTail>,
    /// The log's last record, if the last segment has any.
    pub(crate) last_record: Option<LastRecord>,
    pub(crate) next_sequence: u64,
    /// The length of the last segment's file, including the space allocated after the records.
    pub(crate) file_bytes: u64,
    synced_position: Option<SyncedPosition>,
}

/// The extent and contents of one segment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct SegmentSummary {
    pub(crate) number: u64,
    /// The offset at which the complete records end, in bytes.
    pub(crate) records_end: u64,
    pub(crate) records: u64,
    /// The highest index among the segment's entries, by group.
    pub(crate) highest_indexes: BTreeMap<u32, u64>,
}

/// The log's last record, as the bytes in the file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LastRecord {
    pub(crate) offset: u64,
    pub(crate) bytes: Vec<u8>,
}

/// An unfinished write at the end of the log. It was never acknowledged, and recovery truncates it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TruncatedTail {
    /// The segment file.
    pub path: PathBuf,
    /// The offset in bytes at which the file is truncated.
    pub offset: u64,
    /// The number of truncated bytes, without zeros at the end.
    pub bytes: u64,
}

impl FolderScan {
    /// Creates a scan that has not read the log yet.
    pub(crate) fn new(folder: &Folder, identity: Identity, manifest: Manifest) -> Self {
        let synced_position = SyncedPosition::read(folder, identity.replica);
        Self {
            identity,
            manifest,
            segments: Vec::new(),
            replay: Replay::default(),
            torn_tail: None,
            last_record: None,
            next_sequence: 0,
            file_bytes: 0,
            synced_position,
        }
    }

    /// Reads the log in order, and stops with an error at the first damage.
    pub(crate) fn read_log(&mut self, folder: &Folder) -> Result<(), StorageError> {
        self.check_synced_segment(folder)?;
        for number in self.manifest.first_segment..=self.manifest.last_segment {
            self.read_segment(folder, number)?;
        }
        let complete = self.replay.check_complete();
        let first = names::segment(self.manifest.first_segment);
        complete.map_err(|reason| folder.damaged(&first, 0, reason))
    }

    /// Checks that a segment after the last one in the manifest was created but never written to.
    pub(crate) fn check_unused_segment(
        &self,
        folder: &Folder,
        number: u64,
    ) -> Result<(), StorageError> {
        let name = names::segment(number);
        let content = folder.read_existing(&name, MAX_FILE_BYTES)?;
        let opened = SegmentReader::new(&content, self.identity.replica, number);
        let (_, reader) = opened.map_err(|error| folder.format_error(&name, error))?;
        if reader.position() == content.len() as u64 {
            return Ok(());
        }
        let reason = "the segment contains records, but the manifest does not list it";
        Err(folder.damaged(&name, reader.position(), reason))
    }

    fn check_synced_segment(&self, folder: &Folder) -> Result<(), StorageError> {
        let last = self.manifest.last_segment;
        match self.synced_position {
            Some(synced) if synced.segment > last => {
                let segment = synced.segment;
                let reason =
                    format!("segment {segment} was in use, but the manifest ends at {last}");
                Err(folder.damaged(names::MANIFEST, 0, reason))
            }
            _ => Ok(()),
        }
    }

    fn read_segment(&mut self, folder: &Folder, number: u64) -> Result<(), StorageError> {
        let name = names::segment(number);
        let content = folder.read_existing(&name, MAX_FILE_BYTES)?;
        let opened = SegmentReader::new(&content, self.identity.replica, number);
        let (header, mut reader) = opened.map_err(|error| folder.format_error(&name, error))?;
        self.apply_segment_header(folder, &name, &header)?;
        let mut summary = SegmentSummary {
            number,
            ..SegmentSummary::default()
        };
        let record_error = self.read_records(folder, &name, &mut reader, &mut summary)?;
        summary.records_end = reader.position();
        summary.records = reader.records();
        self.next_sequence = reader.next_sequence();
        if number == self.manifest.last_segment {
            self.last_record = reader.last_record().map(LastRecord::from);
            self.file_bytes = content.len() as u64;
            self.check_log_end(folder, &name, &summary, record_error, reader.unread_bytes())?;
        } else if let Some(record_error) = record_error {
            return Err(folder.damaged(&name, record_error.offset, record_error.reason));
        }
        self.segments.push(summary);
        Ok(())
    }

    /// Checks that a segment continues where the previous one ends. The first segment initializes
    /// the replay instead.
    fn apply_segment_header(
        &mut self,
        folder: &Folder,
        name: &str,
        header: &SegmentHeader,
    ) -> Result<(), StorageError> {
        let Some(previous) = self.segments.last() else {
            self.replay = Replay::new(header);
            return Ok(());
        };
        let (found, expected) = (header.first_sequence, self.next_sequence);
        if found > expected {
            let previous_name = names::segment(previous.number);
            let reason = format!(
                "the records from {expected} on are missing: {name} begins with record {found}"
            );
            return Err(folder.damaged(&previous_name, previous.records_end, reason));
        }
        if found < expected {
            let reason = format!("the segment begins with record {found}, not with {expected}");
            return Err(folder.damaged(name, 0, reason));
        }
        let checked = self.replay.check_segment_header(header);
        checked.map_err(|reason| folder.damaged(name, 0, reason))
    }

    /// Applies a segment's records up to the end of the segment, or up to the first record that
    /// cannot be read. Returns the error for that record.
    fn read_records(
        &mut self,
        folder: &Folder,
        name: &str,
        reader: &mut SegmentReader<'_>,
        summary: &mut SegmentSummary,
    ) -> Result<Option<RecordError>, StorageError> {
        while let Some(next) = reader.next() {
            let found = match next {
                Ok(found) => found,
                Err(record_error) => return Ok(Some(record_error)),
            };
            let applied = self.replay.apply(&found.record);
            applied.map_err(|reason| folder.damaged(name, found.offset, reason))?;
            summary.add_record(&found.record);
        }
        Ok(None)
    }

    /// Determines whether an unreadable record in the last segment is a torn tail or damage.
    fn check_log_end(
        &mut self,
        folder: &Folder,
        name: &str,
        summary: &SegmentSummary,
        record_error: Option<RecordError>,
        unread_bytes: &[u8],
    ) -> Result<(), StorageError> {
        if let Some(record_error) = record_error {
            if !record_error.may_be_torn {
                return Err(folder.damaged(name, record_error.offset, record_error.reason));
            }
            self.torn_tail = Some(TruncatedTail {
                path: folder.path_of(name),
                offset: record_error.offset,
                bytes: unread_bytes.len() as u64,
            });
        }
        self.check_synced_length(folder, name, summary)
    }

    fn check_synced_length(
        &self,
        folder: &Folder,
        name: &str,
        summary: &SegmentSummary,
    ) -> Result<(), StorageError> {
        let Some(synced) = self
            .synced_position
            .filter(|synced| synced.segment == summary.number)
        else {
            return Ok(());
        };
        if synced.synced_bytes <= summary.records_end {
            return Ok(());
        }
        let reason = format!(
            "no complete record from here on, but the file was synced up to byte {}",
            synced.synced_bytes
        );
        Err(folder.damaged(name, summary.records_end, reason))
    }
}

impl From<(u64, &[u8])> for LastRecord {
    fn from((offset, bytes): (u64, &[u8])) -> Self {
        let bytes = bytes.to_vec();
        Self { offset, bytes }
    }
}

impl SegmentSummary {
    /// Updates the highest indexes with a record's entries.
    pub(crate) fn add_record(&mut self, record: &Record<'_>) {
        for write in &record.writes {
            if let Some(last) = write.entries.last() {
                let highest = self.highest_indexes.entry(write.group).or_default();
                *highest = last.index.max(*highest);
            }
        }
    }
}
