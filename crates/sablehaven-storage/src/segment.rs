//! Reading and beginning segments of the log.

use sablehaven_consensus::ReplicaId;

use crate::{
    error::StorageError,
    folder::Folder,
    format::{
        FRAME_HEADER_BYTES, FileKind, FormatError, Frame, FrameError, MAXIMUM_PAYLOAD_BYTES,
        checksum_seed, decode_document, encode_document, later_frame_exists, read_frame,
    },
    group_state::MAXIMUM_NUMBER,
    names,
    options::MAXIMUM_SEGMENT_BYTES,
    record::{Record, SegmentHeader},
};

/// The largest size of a segment's file, in bytes: a full one, its start and one record more.
pub(crate) const MAXIMUM_FILE_BYTES: u64 = MAXIMUM_SEGMENT_BYTES + 2 * MAXIMUM_RECORD_BYTES;
/// The largest size of a record, in bytes.
pub(crate) const MAXIMUM_RECORD_BYTES: u64 = (FRAME_HEADER_BYTES + MAXIMUM_PAYLOAD_BYTES) as u64;

/// Reads a segment record by record.
#[derive(Debug)]
pub(crate) struct SegmentReader<'a> {
    bytes: &'a [u8],
    seed: u32,
    position: usize,
    next_sequence: u64,
    records: u64,
    last_record: Option<usize>,
}

/// A record and where it stands.
#[derive(Debug)]
pub(crate) struct LocatedRecord<'a> {
    pub(crate) offset: u64,
    pub(crate) record: Record<'a>,
}

/// Why a segment's next record cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RecordError {
    pub(crate) offset: u64,
    pub(crate) reason: String,
    /// Whether a write that a crash interrupted can have left it, in the log's last segment.
    pub(crate) may_be_torn: bool,
}

impl<'a> SegmentReader<'a> {
    /// Reads the segment's start; the reader then stands at its first record.
    pub(crate) fn new(
        bytes: &'a [u8],
        replica: ReplicaId,
        number: u64,
    ) -> Result<(SegmentHeader, Self), FormatError> {
        let (header, position): (SegmentHeader, usize) = decode_document(FileKind::Segment, bytes)?;
        if header.replica != replica {
            let reason = format!("the segment is of replica {}", header.replica);
            return Err(FormatError::damaged(0, reason));
        }
        if header.number != number {
            let reason = format!("the segment has number {} inside", header.number);
            return Err(FormatError::damaged(0, reason));
        }
        let mut numbers = header.groups.iter().map(|group| group.last_index);
        if header.first_sequence > MAXIMUM_NUMBER || numbers.any(|last| last > MAXIMUM_NUMBER) {
            let reason = "the segment's start holds a number that is out of range";
            return Err(FormatError::damaged(0, reason));
        }
        let reader = Self {
            bytes,
            seed: checksum_seed(replica),
            position,
            next_sequence: header.first_sequence,
            records: 0,
            last_record: None,
        };
        Ok((header, reader))
    }

    /// Whether a segment of any disk is whole and holds no record.
    pub(crate) fn has_no_records(bytes: &[u8]) -> Result<bool, FormatError> {
        let (_, end): (SegmentHeader, usize) = decode_document(FileKind::Segment, bytes)?;
        Ok(end == bytes.len())
    }

    /// The next record; `None` where only allocated space follows, which is zeros.
    pub(crate) fn next(&mut self) -> Option<Result<LocatedRecord<'a>, RecordError>> {
        if is_zeros(&self.bytes[self.position..]) {
            return None;
        }
        Some(self.read_record())
    }

    /// The bytes from the next record on, without the zeros at the end of the file.
    pub(crate) fn unread_bytes(&self) -> &'a [u8] {
        let rest = &self.bytes[self.position..];
        let last = rest.iter().rposition(|byte| *byte != 0);
        &rest[..last.map_or(0, |last| last + 1)]
    }

    /// Where the next record begins, in bytes; after the last one, where the records end.
    pub(crate) fn position(&self) -> u64 {
        self.position as u64
    }

    /// The sequence number that the next record must have.
    pub(crate) fn next_sequence(&self) -> u64 {
        self.next_sequence
    }

    /// How many records were read.
    pub(crate) fn records(&self) -> u64 {
        self.records
    }

    /// The bytes of the last record that was read, and where they begin.
    pub(crate) fn last_record(&self) -> Option<(u64, &'a [u8])> {
        let begin = self.last_record?;
        Some((begin as u64, &self.bytes[begin..self.position]))
    }

    fn read_record(&mut self) -> Result<LocatedRecord<'a>, RecordError> {
        let begin = self.position;
        let frame =
            read_frame(self.bytes, begin, self.seed).map_err(|error| self.record_error(error))?;
        let record = self.decode(&frame).map_err(|reason| RecordError {
            offset: begin as u64,
            reason,
            may_be_torn: false,
        })?;
        self.position = frame.end;
        self.next_sequence += 1;
        self.records += 1;
        self.last_record = Some(begin);
        Ok(LocatedRecord {
            offset: begin as u64,
            record,
        })
    }

    fn decode(&self, frame: &Frame<'a>) -> Result<Record<'a>, String> {
        if frame.sequence != self.next_sequence {
            let (found, expected) = (frame.sequence, self.next_sequence);
            return Err(format!("record {found} in place of record {expected}"));
        }
        rmp_serde::from_slice(frame.payload).map_err(|error| format!("record: {error}"))
    }

    /// A record is written and synced before the next one is begun. So a torn write is the last
    /// thing in the file, and no longer than one record; anything else is damage.
    fn record_error(&self, error: FrameError) -> RecordError {
        let can_begin_torn_write = match error {
            FrameError::PayloadChecksum { end } => is_zeros(&self.bytes[end..]),
            FrameError::TooLong => false,
            FrameError::TruncatedHeader
            | FrameError::HeaderChecksum
            | FrameError::TruncatedPayload => true,
        };
        // Zeros at the end are searched too: a later record may end in some.
        let written = &self.bytes[self.position..];
        let may_be_torn = can_begin_torn_write
            && self.unread_bytes().len() as u64 <= MAXIMUM_RECORD_BYTES
            && !later_frame_exists(written, self.seed, self.next_sequence);
        RecordError {
            offset: self.position as u64,
            reason: error.to_string(),
            may_be_torn,
        }
    }
}

fn is_zeros(bytes: &[u8]) -> bool {
    bytes.iter().all(|byte| *byte == 0)
}

/// Writes a new segment's file durably, with no record in it; returns its length in bytes.
pub(crate) fn create(folder: &Folder, header: &SegmentHeader) -> Result<u64, StorageError> {
    let name = names::segment(header.number);
    let content = encode_document(FileKind::Segment, header)
        .map_err(|error| folder.encode_error(&name, error))?;
    folder.write_file(&name, &[&content])?;
    Ok(content.len() as u64)
}
