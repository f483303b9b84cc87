//! File headers, checksummed frames and small files made of one frame.
//!
//! Every file begins with a header that no later version will change: 8 bytes that name its kind, its
//! version (u32) and the CRC-32C of both. So an unknown version can be told from a damaged header.
//!
//! A frame is its payload's length (u32), a sequence number (u64), the payload's CRC-32C (u32), the
//! CRC-32C of these 16 bytes (u32), and the payload. The header has a checksum of its own so that a
//! damaged length is never followed, and so that the search for frames after a damage costs no
//! checksum of a payload at wrong places. Numbers are little-endian. Both checksums begin from a seed
//! that is made of the disk's identity, so that a frame of another disk, or one that a caller packed
//! into a command, is no frame here.

use sablehaven_consensus::ReplicaId;
use serde::{Serialize, de::DeserializeOwned};

/// The version of every file format in the data folder.
pub const FORMAT_VERSION: u32 = 1;

/// The size of a file's header, in bytes.
pub(crate) const FILE_HEADER_BYTES: usize = 16;
/// The size of a frame's header, in bytes.
pub(crate) const FRAME_HEADER_BYTES: usize = 20;
/// The largest payload of a frame, in bytes.
pub(crate) const MAXIMUM_PAYLOAD_BYTES: usize = 64 * 1024 * 1024;
/// The largest size of a file that consists of one small frame, in bytes.
pub(crate) const MAXIMUM_DOCUMENT_BYTES: u64 = 1024 * 1024;
/// The seed of frames that are read before the disk's identity is known.
pub(crate) const NO_SEED: u32 = 0;

/// The kinds of files, by their first 8 bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FileKind {
    Identity,
    Manifest,
    Segment,
    Snapshot,
    SyncedPosition,
}

impl FileKind {
    fn magic(self) -> &'static [u8; 8] {
        match self {
            Self::Identity => b"SBLHIDN\n",
            Self::Manifest => b"SBLHMAN\n",
            Self::Segment => b"SBLHSEG\n",
            Self::Snapshot => b"SBLHSNP\n",
            Self::SyncedPosition => b"SBLHPOS\n",
        }
    }
}

/// Why a file or frame cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum FormatError {
    UnknownVersion(u32),
    Damaged { offset: u64, reason: String },
}

impl FormatError {
    pub(crate) fn damaged(offset: usize, reason: impl Into<String>) -> Self {
        Self::Damaged {
            offset: offset as u64,
            reason: reason.into(),
        }
    }
}

/// A frame that was read and whose checksums fit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Frame<'a> {
    pub(crate) sequence: u64,
    pub(crate) payload: &'a [u8],
    /// Where the next frame begins.
    pub(crate) end: usize,
}

/// Why no frame can be read at a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub(crate) enum FrameError {
    /// the file ends within a record's header
    TruncatedHeader,
    /// a record's header does not match its checksum
    HeaderChecksum,
    /// a record's length is over the limit
    TooLong,
    /// the file ends within a record
    TruncatedPayload,
    /// a record does not match its checksum
    PayloadChecksum {
        /// Where the record ends.
        end: usize,
    },
}

/// The seed of the checksums of a disk's frames.
pub(crate) fn checksum_seed(replica: ReplicaId) -> u32 {
    crc32c::crc32c(&replica.0.to_le_bytes())
}

/// The header of a file of this kind.
pub(crate) fn file_header(kind: FileKind) -> [u8; FILE_HEADER_BYTES] {
    let mut header = [0; FILE_HEADER_BYTES];
    header[..8].copy_from_slice(kind.magic());
    header[8..12].copy_from_slice(&FORMAT_VERSION.to_le_bytes());
    let checksum = crc32c::crc32c(&header[..12]);
    header[12..].copy_from_slice(&checksum.to_le_bytes());
    header
}

/// Checks the header of a file.
pub(crate) fn check_file_header(kind: FileKind, bytes: &[u8]) -> Result<(), FormatError> {
    let Some(header) = bytes.get(..FILE_HEADER_BYTES) else {
        let reason = "the file ends within its header";
        return Err(FormatError::damaged(bytes.len(), reason));
    };
    if crc32c::crc32c(&header[..12]) != read_u32(&header[12..]) {
        let reason = "the file's header does not match its checksum";
        return Err(FormatError::damaged(0, reason));
    }
    if &header[..8] != kind.magic() {
        let reason = "the file is of another kind than its name says";
        return Err(FormatError::damaged(0, reason));
    }
    match read_u32(&header[8..]) {
        FORMAT_VERSION => Ok(()),
        version => Err(FormatError::UnknownVersion(version)),
    }
}

/// Encodes `value` as one frame and appends it.
pub(crate) fn append_frame<T: Serialize>(
    bytes: &mut Vec<u8>,
    seed: u32,
    sequence: u64,
    value: &T,
) -> Result<(), rmp_serde::encode::Error> {
    let begin = bytes.len();
    let payload_begin = begin + FRAME_HEADER_BYTES;
    bytes.resize(payload_begin, 0);
    rmp_serde::encode::write(bytes, value)?;
    // A longer payload is refused by the callers before it is written; the cast loses nothing then.
    let length = (bytes.len() - payload_begin) as u32;
    let payload_checksum = crc32c::crc32c_append(seed, &bytes[payload_begin..]);
    let header = &mut bytes[begin..payload_begin];
    header[..4].copy_from_slice(&length.to_le_bytes());
    header[4..12].copy_from_slice(&sequence.to_le_bytes());
    header[12..16].copy_from_slice(&payload_checksum.to_le_bytes());
    let header_checksum = crc32c::crc32c_append(seed, &header[..16]);
    header[16..].copy_from_slice(&header_checksum.to_le_bytes());
    Ok(())
}

/// Reads the frame at `offset`.
pub(crate) fn read_frame(bytes: &[u8], offset: usize, seed: u32) -> Result<Frame<'_>, FrameError> {
    let rest = bytes.get(offset..).unwrap_or_default();
    let Some((header, rest)) = rest.split_at_checked(FRAME_HEADER_BYTES) else {
        return Err(FrameError::TruncatedHeader);
    };
    if crc32c::crc32c_append(seed, &header[..16]) != read_u32(&header[16..]) {
        return Err(FrameError::HeaderChecksum);
    }
    let length = read_u32(header) as usize;
    if length > MAXIMUM_PAYLOAD_BYTES {
        return Err(FrameError::TooLong);
    }
    let Some(payload) = rest.get(..length) else {
        return Err(FrameError::TruncatedPayload);
    };
    let end = offset + FRAME_HEADER_BYTES + length;
    if crc32c::crc32c_append(seed, payload) != read_u32(&header[12..]) {
        return Err(FrameError::PayloadChecksum { end });
    }
    Ok(Frame {
        sequence: read_u64(&header[4..]),
        payload,
        end,
    })
}

/// Whether a whole frame with a sequence number over `sequence` begins anywhere after the first byte.
pub(crate) fn later_frame_exists(bytes: &[u8], seed: u32, sequence: u64) -> bool {
    let is_later = |candidate| match read_frame(bytes, candidate, seed) {
        Ok(frame) => frame.sequence > sequence,
        Err(_) => false,
    };
    (1..bytes.len()).any(is_later)
}

/// A file header followed by one frame.
pub(crate) fn encode_document<T: Serialize>(
    kind: FileKind,
    value: &T,
) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    let mut bytes = file_header(kind).to_vec();
    append_frame(&mut bytes, NO_SEED, 0, value)?;
    Ok(bytes)
}

/// Reads a file header and the frame after it; also returns where the frame ends.
pub(crate) fn decode_document<T: DeserializeOwned>(
    kind: FileKind,
    bytes: &[u8],
) -> Result<(T, usize), FormatError> {
    check_file_header(kind, bytes)?;
    let frame = read_frame(bytes, FILE_HEADER_BYTES, NO_SEED)
        .map_err(|error| FormatError::damaged(FILE_HEADER_BYTES, error.to_string()))?;
    let value = rmp_serde::from_slice(frame.payload)
        .map_err(|error| FormatError::damaged(FILE_HEADER_BYTES, error.to_string()))?;
    Ok((value, frame.end))
}

/// Reads a file that consists of a header and one frame.
pub(crate) fn decode_whole_document<T: DeserializeOwned>(
    kind: FileKind,
    bytes: &[u8],
) -> Result<T, FormatError> {
    let (value, end) = decode_document(kind, bytes)?;
    if end != bytes.len() {
        let reason = "unexpected bytes after the end";
        return Err(FormatError::damaged(end, reason));
    }
    Ok(value)
}

/// The number in the first 4 bytes; the caller has made sure that there are as many.
pub(crate) fn read_u32(bytes: &[u8]) -> u32 {
    let mut number = [0; 4];
    number.copy_from_slice(&bytes[..4]);
    u32::from_le_bytes(number)
}

/// The number in the first 8 bytes; the caller has made sure that there are as many.
pub(crate) fn read_u64(bytes: &[u8]) -> u64 {
    let mut number = [0; 8];
    number.copy_from_slice(&bytes[..8]);
    u64::from_le_bytes(number)
}
