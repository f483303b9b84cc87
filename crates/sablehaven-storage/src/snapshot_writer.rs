//! Writing snapshot files apart from the log.

use std::sync::Arc;

use sablehaven_consensus::{ReplicaId, Snapshot};

use crate::{
    disk::DiskLock,
    error::StorageError,
    folder::Folder,
    record::{Record, RecordSnapshot, RecordWrite, SnapshotReference},
    snapshot_file,
};

/// Writes snapshot files; they count only once [`crate::Storage::compact_to`] has taken them. Keeps
/// the folder locked, as the storage does.
#[derive(Clone, Debug)]
pub struct SnapshotWriter {
    folder: Folder,
    replica: ReplicaId,
    /// The folder stays locked for as long as anything may still be written to it.
    _lock: Arc<dyn DiskLock>,
}

/// A snapshot whose file is durable and which the log does not refer to yet.
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

    /// Writes a snapshot's file and syncs it. Use one writer at a time for a group.
    ///
    /// # Errors
    /// [`StorageError::Disk`] with step and file; the storage itself stays usable.
    pub fn write(&self, group: u32, snapshot: &Snapshot) -> Result<PreparedSnapshot, StorageError> {
        let reference = snapshot_file::reference_of(snapshot);
        let data = &snapshot.data;
        snapshot_file::write(&self.folder, self.replica, group, &reference, data)?;
        Ok(PreparedSnapshot { group, reference })
    }
}

impl PreparedSnapshot {
    /// The record that brings it into force.
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
