//! How far the log was known to be synced: a lower bound that is itself never synced.
//!
//! A damaged last record looks like a torn write, and cutting it would lose what was acknowledged.
//! This file tells them apart wherever it can: it is written after each sync of the log, and what
//! lies before the position in it is damage, not a torn tail. A process that is killed leaves it
//! current; after a power failure it may be some seconds old or missing, which makes the test
//! weaker but never wrong.

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

/// The position's size, in bytes: segment, length and checksum.
const POSITION_BYTES: usize = 8 + 8 + 4;

/// A position in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SyncedPosition {
    pub(crate) segment: u64,
    /// The bytes of the segment that are synced.
    pub(crate) synced_bytes: u64,
}

/// Writes positions.
#[derive(Debug)]
pub(crate) struct SyncedPositionFile {
    file: FolderFile,
    seed: u32,
}

impl SyncedPosition {
    /// Reads the position; `None` where it is missing or unreadable, for it is only a bound.
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

    /// Notes a position; call it only after the sync that made it true.
    pub(crate) fn write(&mut self, position: SyncedPosition) -> Result<(), StorageError> {
        let mut bytes = [0; POSITION_BYTES];
        bytes[..8].copy_from_slice(&position.segment.to_le_bytes());
        bytes[8..16].copy_from_slice(&position.synced_bytes.to_le_bytes());
        let checksum = crc32c::crc32c_append(self.seed, &bytes[..16]);
        bytes[16..].copy_from_slice(&checksum.to_le_bytes());
        self.file.write_at(FILE_HEADER_BYTES as u64, &bytes)
    }
}
