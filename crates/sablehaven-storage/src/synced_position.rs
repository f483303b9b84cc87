//! The position up to which the log is known to be synced. It is a lower bound, and its file is
//! never synced itself.
//!
//! A damaged last record looks like a torn write, and truncating it would lose acknowledged data.
//! The synced position distinguishes the two cases where possible: it is written after each sync of
//! the log, so an unreadable record before it is damage and not a torn tail.
//!
//! After the process is killed the position is current. After a power failure it may be some
//! seconds old or missing. The check then misses some damage, but it never reports a torn tail as
//! damage.

use sablehaven_consensus::ReplicaId;

use crate::{
    error::StorageError,
    folder::{Folder, FolderFile},
    format::{
        FILE_HEADER_BYTES, FileKind, check_file_header, checksum_seed, file_header, read_u32,
        read_u64,
    },
    names,
};

/// The size of an encoded position: segment, synced bytes and checksum.
const POSITION_BYTES: usize = 8 + 8 + 4;

/// A position in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SyncedPosition {
    pub(crate) segment: u64,
    /// The number of bytes of the segment that are synced.
    pub(crate) synced_bytes: u64,
}

/// The file that stores the synced position, opened for writing.
#[derive(Debug)]
pub(crate) struct SyncedPositionFile {
    file: FolderFile,
    seed: u32,
}

impl SyncedPosition {
    /// Reads the position. Returns `None` if it is missing or unreadable, which is no error because
    /// the position is only a lower bound.
    pub(crate) fn read(folder: &Folder, replica: ReplicaId) -> Option<Self> {
        let limit = (FILE_HEADER_BYTES + POSITION_BYTES) as u64;
        let content = folder.read(names::SYNCED_POSITION, limit).ok()??;
        check_file_header(FileKind::SyncedPosition, &content).ok()?;
        let position = content.get(FILE_HEADER_BYTES..)?;
        if position.len() != POSITION_BYTES {
            return None;
        }
        let checksum = crc32c::crc32c_append(checksum_seed(replica), &position[..16]);
        if checksum != read_u32(&position[16..]) {
            return None;
        }
        Some(Self {
            segment: read_u64(position),
            synced_bytes: read_u64(&position[8..]),
        })
    }
}

impl SyncedPositionFile {
    pub(crate) fn create(folder: &Folder, replica: ReplicaId) -> Result<Self, StorageError> {
        let mut file = folder.create_file(names::SYNCED_POSITION)?;
        file.write_at(0, &file_header(FileKind::SyncedPosition))?;
        let seed = checksum_seed(replica);
        Ok(Self { file, seed })
    }

    /// Writes a position. Call it only after the log was synced up to there.
    pub(crate) fn write(&mut self, position: SyncedPosition) -> Result<(), StorageError> {
        let mut bytes = [0; POSITION_BYTES];
        bytes[..8].copy_from_slice(&position.segment.to_le_bytes());
        bytes[8..16].copy_from_slice(&position.synced_bytes.to_le_bytes());
        let checksum = crc32c::crc32c_append(self.seed, &bytes[..16]);
        bytes[16..].copy_from_slice(&checksum.to_le_bytes());
        self.file.write_at(FILE_HEADER_BYTES as u64, &bytes)
    }
}
