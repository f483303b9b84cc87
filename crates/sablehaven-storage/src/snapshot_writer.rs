//! Writes snapshot files independently of the log.

use std::sync::Arc;

use sablehaven_consensus::{ReplicaId, Snapshot};

use crate::{
    disk::DiskLock,
    error::StorageError,
    folder::Folder,
    record::{Record, RecordSnapshot, RecordWrite, SnapshotReference},
    snapshot_file,
};

/// Writes snapshot files. A file becomes the group's snapshot only when it is passed to
/// [`crate::Storage::compact_to`]. The data folder stays locked while a writer exists, even after
/// the [`crate::Storage`] is dropped.
#[derive(Clone, Debug)]
pub struct SnapshotWriter {
    folder: Folder,
    replica: ReplicaId,
    /// Keeps the folder locked for as long as this writer can still write to it.
    _lock: Arc<dyn DiskLock>,
}

/// A snapshot whose file is durable, but to which the log does not refer yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PreparedSnapshot {
    pub(crate) group: u32,
    pub(crate) reference: SnapshotReference,
}

impl SnapshotWriter {
    pub(crate) fn new(folder: Folder, replica: ReplicaId, lock: Arc<dyn DiskLock>) -> Self {
        Self {
            folder,
            replica,
            _lock: lock,
        }
    }

    /// Writes a snapshot file and syncs it. At most one call at a time may write a snapshot of
    /// the same group.
    ///
    /// # Errors
    /// Returns [`StorageError::Disk`] with the operation and file. The storage itself stays usable.
    pub fn write(&self, group: u32, snapshot: &Snapshot) -> Result<PreparedSnapshot, StorageError> {
        let reference = snapshot_file::reference_of(snapshot);
        let data = &snapshot.data;
        snapshot_file::write(&self.folder, self.replica, group, &reference, data)?;
        Ok(PreparedSnapshot { group, reference })
    }
}

impl PreparedSnapshot {
    /// Returns the record that makes this the group's snapshot.
    pub(crate) fn record(&self) -> Record<'static> {
        let snapshot = RecordSnapshot {
            reference: self.reference.clone(),
            keeps_later_entries: true,
        };
        let write = RecordWrite {
            group: self.group,
            hard_state: None,
            snapshot: Some(snapshot),
            entries: Vec::new(),
        };
        Record {
            writes: vec![write],
        }
    }
}
