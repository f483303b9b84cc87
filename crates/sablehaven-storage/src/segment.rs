//! Reads and creates segments of the log.

use sablehaven_consensus::ReplicaId;

use crate::{
    error::StorageError,
    folder::Folder,
    format::{
        FRAME_HEADER_BYTES, FileKind, FormatError, Frame, FrameError, MAX_PAYLOAD_BYTES,
        checksum_seed, decode_document, encode_document, later_frame_exists, read_frame,
    },
    group_state::MAX_NUMBER,
    names,
    options::MAX_SEGMENT_BYTES,
    record::{Record, SegmentHeader},
};

/// The maximum size of a segment file: a full segment, its header and one more record.
pub(crate) const MAX_FILE_BYTES: u64 = MAX_SEGMENT_BYTES + 2 * MAX_RECORD_BYTES;
/// The maximum size of a record, including its frame header.
pub(crate) const MAX_RECORD_BYTES: u64 = (FRAME_HEADER_BYTES + MAX_PAYLOAD_BYTES) as u64;

/// Reads the records of a segment in order.
#[derive(Debug)]
pub(crate) struct SegmentReader<'a> {
    bytes: &'a [u8],
    seed: u32,
    position: usize,
    next_sequence: u64,
    records: u64,
    last_record_offset: Option<usize>,
}

/// A record with its offset in the segment.
#[derive(Debug)]
pub(crate) struct LocatedRecord<'a> {
    pub(crate) offset: u64,
    pub(crate) record: Record<'a>,
}

/// Why the next record of a segment cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RecordError {
    pub(crate) offset: u64,
    pub(crate) reason: String,
    /// Whether a write interrupted by a crash can be the cause, if this is the log's last segment.
    pub(crate) may_be_torn: bool,
}

impl<'a> SegmentReader<'a> {
    /// Decodes and checks the segment header, and returns it with a reader for the records.
    pub(crate) fn new(
        bytes: &'a [u8],
        replica: ReplicaId,
        number: u64,
    ) -> Result<(SegmentHeader, Self), FormatError> {
        let (header, position): (SegmentHeader, usize) = decode_document(FileKind::Segment, bytes)?;
        if header.replica != replica {
            let reason = format!("the segment belongs to replica {}", header.replica);
            return Err(FormatError::damaged(0, reason));
        }
        if header.number != number {
            let reason = format!("the segment header has segment number {}", header.number);
            return Err(FormatError::damaged(0, reason));
        }
        let mut numbers = header.groups.iter().map(|group| group.last_index);
        if header.first_sequence > MAX_NUMBER || numbers.any(|last| last > MAX_NUMBER) {
            let reason = "the segment header contains a number that is out of range";
            return Err(FormatError::damaged(0, reason));
        }
        let reader = Self {
            bytes,
            seed: checksum_seed(replica),
            position,
            next_sequence: header.first_sequence,
            records: 0,
            last_record_offset: None,
        };
        Ok((header, reader))
    }

    /// Returns whether a segment is intact and contains no records. Accepts a segment of any
    /// replica.
    pub(crate) fn has_no_records(bytes: &[u8]) -> Result<bool, FormatError> {
        let (_, end): (SegmentHeader, usize) = decode_document(FileKind::Segment, bytes)?;
        Ok(end == bytes.len())
    }

    /// Reads the next record. Returns `None` if only allocated space follows, which is all zeros.
    pub(crate) fn next(&mut self) -> Option<Result<LocatedRecord<'a>, RecordError>> {
        if is_zeros(&self.bytes[self.position..]) {
            return None;
        }
        Some(self.read_record())
    }

    /// Returns the bytes from the next record on, without the zeros at the end of the file.
    pub(crate) fn unread_bytes(&self) -> &'a [u8] {
        let rest = &self.bytes[self.position..];
        let last = rest.iter().rposition(|byte| *byte != 0);
        &rest[..last.map_or(0, |last| last + 1)]
    }

    /// Returns the offset of the next record or, after the last record, the offset at which the
    /// records end.
    pub(crate) fn position(&self) -> u64 {
        self.position as u64
    }

    /// Returns the sequence number that the next record must have.
    pub(crate) fn next_sequence(&self) -> u64 {
        self.next_sequence
    }

    /// Returns the number of records read so far.
    pub(crate) fn records(&self) -> u64 {
        self.records
    }

    /// Returns the offset and the bytes of the last record that was read.
    pub(crate) fn last_record(&self) -> Option<(u64, &'a [u8])> {
        let begin = self.last_record_offset?;
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
        self.last_record_offset = Some(begin);
        Ok(LocatedRecord {
            offset: begin as u64,
            record,
        })
    }

    fn decode(&self, frame: &Frame<'a>) -> Result<Record<'a>, String> {
        if frame.sequence != self.next_sequence {
            let (found, expected) = (frame.sequence, self.next_sequence);
            return Err(format!(
                "found record {found} where record {expected} was expected"
            ));
        }
        rmp_serde::from_slice(frame.payload)
            .map_err(|error| format!("the record cannot be decoded: {error}"))
    }

    /// Determines whether an unreadable record at the current position may be a torn write.
    ///
    /// Each record is written and synced before the next write begins. A torn write is therefore at
    /// the end of the file and no longer than one record; anything else is damage.
    fn record_error(&self, error: FrameError) -> RecordError {
        let can_begin_torn_write = match error {
            FrameError::PayloadChecksum { end } => is_zeros(&self.bytes[end..]),
            FrameError::TooLong => false,
            FrameError::TruncatedHeader
            | FrameError::HeaderChecksum
            | FrameError::TruncatedPayload => true,
        };
        // The search includes the zeros at the end, because a later record may itself end in zeros.
        let written = &self.bytes[self.position..];
        let may_be_torn = can_begin_torn_write
            && self.unread_bytes().len() as u64 <= MAX_RECORD_BYTES
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

/// Creates the file of a segment without records, durably. Returns the file's length in bytes.
pub(crate) fn create(folder: &Folder, header: &SegmentHeader) -> Result<u64, StorageError> {
    let name = names::segment(header.number);
    let content = encode_document(FileKind::Segment, header)
        .map_err(|error| folder.encode_error(&name, error))?;
    folder.write_file(&name, &[&content])?;
    Ok(content.len() as u64)
}
