//! Encoding of file headers, checksummed frames and documents.
//!
//! Every file begins with a header whose layout stays the same in all versions: 8 magic bytes that
//! identify the kind of file, the format version (u32), and the CRC-32C of both. A reader can
//! therefore distinguish an unknown version from a damaged header.
//!
//! A frame consists of the payload's length (u32), a sequence number (u64), the payload's CRC-32C
//! (u32), the CRC-32C of these 16 bytes (u32), and the payload. All numbers are little-endian.
//!
//! The frame header has its own checksum for two reasons: a damaged length is never used, and a
//! search for frames after a damaged one computes no payload checksum at offsets where no frame
//! begins.
//!
//! Both checksums of a record's frame start from a seed that is derived from the replica's id. A
//! frame that another replica wrote, or that a caller embedded in a command, is therefore not
//! recognized as a frame.
//!
//! A document is a file header followed by one frame, whose checksums start from a fixed seed.

use sablehaven_consensus::ReplicaId;
use serde::{Serialize, de::DeserializeOwned};

/// The version of every file format in the data folder.
pub const FORMAT_VERSION: u32 = 1;

/// The size of a file header.
pub(crate) const FILE_HEADER_BYTES: usize = 16;
/// The size of a frame header.
pub(crate) const FRAME_HEADER_BYTES: usize = 20;
/// The maximum size of a frame's payload.
pub(crate) const MAX_PAYLOAD_BYTES: usize = 64 * 1024 * 1024;
/// The maximum size of a file that consists of one document.
pub(crate) const MAX_DOCUMENT_BYTES: u64 = 1024 * 1024;
/// The checksum seed of documents. They are read before the replica's identity is known.
pub(crate) const DOCUMENT_SEED: u32 = 0;

/// The kind of a file, identified by the file's first 8 bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FileKind {
    Identity,
    Manifest,
    Segment,
    Snapshot,
    SyncedPosition,
    Listing,
}

impl FileKind {
    fn magic(self) -> &'static [u8; 8] {
        match self {
            Self::Identity => b"SBLHIDN\n",
            Self::Manifest => b"SBLHMAN\n",
            Self::Segment => b"SBLHSEG\n",
            Self::Snapshot => b"SBLHSNP\n",
            Self::SyncedPosition => b"SBLHPOS\n",
            Self::Listing => b"SBLHLST\n",
        }
    }
}

/// Why a file cannot be decoded.
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

/// A decoded frame whose checksums match.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Frame<'a> {
    pub(crate) sequence: u64,
    pub(crate) payload: &'a [u8],
    /// The offset at which the next frame begins.
    pub(crate) end: usize,
}

/// Why no frame can be decoded at an offset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub(crate) enum FrameError {
    /// the file ends within a record header
    TruncatedHeader,
    /// a record header does not match its checksum
    HeaderChecksum,
    /// a record's length exceeds the limit
    TooLong,
    /// the file ends within a record
    TruncatedPayload,
    /// a record does not match its checksum
    PayloadChecksum {
        /// The offset at which the record ends.
        end: usize,
    },
}

/// Returns the seed for the checksums of a replica's frames.
pub(crate) fn checksum_seed(replica: ReplicaId) -> u32 {
    crc32c::crc32c(&replica.0.to_le_bytes())
}

/// Encodes the header of a file of the given kind.
pub(crate) fn file_header(kind: FileKind) -> [u8; FILE_HEADER_BYTES] {
    let mut header = [0; FILE_HEADER_BYTES];
    header[..8].copy_from_slice(kind.magic());
    header[8..12].copy_from_slice(&FORMAT_VERSION.to_le_bytes());
    let checksum = crc32c::crc32c(&header[..12]);
    header[12..].copy_from_slice(&checksum.to_le_bytes());
    header
}

/// Checks the kind, version and checksum in a file header.
pub(crate) fn check_file_header(kind: FileKind, bytes: &[u8]) -> Result<(), FormatError> {
    let Some(header) = bytes.get(..FILE_HEADER_BYTES) else {
        let reason = "the file ends within its header";
        return Err(FormatError::damaged(bytes.len(), reason));
    };
    if crc32c::crc32c(&header[..12]) != read_u32(&header[12..]) {
        let reason = "the file header does not match its checksum";
        return Err(FormatError::damaged(0, reason));
    }
    if &header[..8] != kind.magic() {
        let reason = "the kind of the file does not match its name";
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
    // Callers refuse a payload over the limit before they write the frame, so the length of every
    // written frame fits into 32 bits.
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

/// Decodes the frame at `offset`.
pub(crate) fn read_frame(bytes: &[u8], offset: usize, seed: u32) -> Result<Frame<'_>, FrameError> {
    let rest = bytes.get(offset..).unwrap_or_default();
    let Some((header, rest)) = rest.split_at_checked(FRAME_HEADER_BYTES) else {
        return Err(FrameError::TruncatedHeader);
    };
    if crc32c::crc32c_append(seed, &header[..16]) != read_u32(&header[16..]) {
        return Err(FrameError::HeaderChecksum);
    }
    let length = read_u32(header) as usize;
    if length > MAX_PAYLOAD_BYTES {
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

/// Returns whether a valid frame with a sequence number greater than `sequence` begins anywhere
/// after the first byte.
pub(crate) fn later_frame_exists(bytes: &[u8], seed: u32, sequence: u64) -> bool {
    let is_later = |candidate| match read_frame(bytes, candidate, seed) {
        Ok(frame) => frame.sequence > sequence,
        Err(_) => false,
    };
    (1..bytes.len()).any(is_later)
}

/// Encodes a file header followed by one frame.
pub(crate) fn encode_document<T: Serialize>(
    kind: FileKind,
    value: &T,
) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    let mut bytes = file_header(kind).to_vec();
    append_frame(&mut bytes, DOCUMENT_SEED, 0, value)?;
    Ok(bytes)
}

/// Decodes a file header and the frame after it, and returns the value and the offset at which the
/// frame ends.
pub(crate) fn decode_document<T: DeserializeOwned>(
    kind: FileKind,
    bytes: &[u8],
) -> Result<(T, usize), FormatError> {
    check_file_header(kind, bytes)?;
    let frame = read_frame(bytes, FILE_HEADER_BYTES, DOCUMENT_SEED)
        .map_err(|error| FormatError::damaged(FILE_HEADER_BYTES, error.to_string()))?;
    let value = rmp_serde::from_slice(frame.payload)
        .map_err(|error| FormatError::damaged(FILE_HEADER_BYTES, error.to_string()))?;
    Ok((value, frame.end))
}

/// Decodes a file that consists of a file header and one frame only.
pub(crate) fn decode_whole_document<T: DeserializeOwned>(
    kind: FileKind,
    bytes: &[u8],
) -> Result<T, FormatError> {
    let (value, end) = decode_document(kind, bytes)?;
    if end != bytes.len() {
        let reason = "unexpected bytes after the end of the document";
        return Err(FormatError::damaged(end, reason));
    }
    Ok(value)
}

/// Decodes the first 4 bytes.
///
/// # Panics
/// If there are fewer bytes.
pub(crate) fn read_u32(bytes: &[u8]) -> u32 {
    let mut number = [0; 4];
    number.copy_from_slice(&bytes[..4]);
    u32::from_le_bytes(number)
}

/// Decodes the first 8 bytes.
///
/// # Panics
/// If there are fewer bytes.
pub(crate) fn read_u64(bytes: &[u8]) -> u64 {
    let mut number = [0; 8];
    number.copy_from_slice(&bytes[..8]);
    u64::from_le_bytes(number)
}
