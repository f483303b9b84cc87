//! The open data folder.

use std::{
    collections::BTreeMap,
    path::{Path, PathBuf},
    sync::Arc,
};

use sablehaven_consensus::{Restored, Snapshot};

use crate::{
    disk::{Disk, DiskLock},
    error::StorageError,
    identity::Identity,
    options::Options,
    write::GroupWrite,
};

/// What was stored for one group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RestoredGroup {
    /// Hard state, snapshot position and the entries after it.
    pub restored: Restored,
    /// The state machine's data of the snapshot, where there is one.
    pub snapshot_data: Option<Vec<u8>>,
}

/// An unfinished write at the end of the log that recovery cut; it was never acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CutTail {
    /// The segment file.
    pub path: PathBuf,
    /// The offset, in bytes, from which it was cut.
    pub offset: u64,
    /// How many bytes were cut.
    pub bytes: u64,
}

/// A data folder after it was opened.
#[derive(Debug)]
pub struct Opened {
    /// Takes the writes.
    pub storage: Storage,
    /// Who the folder belongs to.
    pub identity: Identity,
    /// What was stored, by group.
    pub groups: BTreeMap<u32, RestoredGroup>,
    /// Whether the folder was empty and has been formatted with a new identity.
    pub formatted: bool,
    /// The torn tail, where there was one.
    pub cut_tail: Option<CutTail>,
}

/// What storage has done since it was opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StorageCounters {
    /// Records written to the log.
    pub records: u64,
    /// Bytes written to the log.
    pub log_bytes: u64,
    /// Syncs of log files (one a record).
    pub log_syncs: u64,
    /// Syncs of other files and of the folder (segment changes, snapshots).
    pub other_syncs: u64,
}

/// An open data folder, locked for this process.
#[derive(Debug)]
pub struct Storage {
    _lock: Box<dyn DiskLock>,
    identity: Identity,
    counters: StorageCounters,
}

impl Storage {
    /// Opens the data folder, formats it if it is empty, and recovers what is stored.
    ///
    /// # Errors
    /// [`StorageError::InUse`] when another process has it open, [`StorageError::Damaged`] with file
    /// and offset for any damage other than a torn tail, [`StorageError::UnknownVersion`],
    /// [`StorageError::WrongDeployment`], [`StorageError::Disk`].
    pub fn open(
        folder: &Path,
        disk: Arc<dyn Disk>,
        options: Options,
    ) -> Result<Opened, StorageError> {
        let _ = (folder, disk, options);
        todo!()
    }

    /// Writes a batch for many groups as one record: one write, one sync. Durable on `Ok`.
    ///
    /// # Errors
    /// [`StorageError::InvalidWrite`] and [`StorageError::BatchTooLarge`] leave storage as it was;
    /// after any other error every later call fails with [`StorageError::Poisoned`].
    pub fn write(&mut self, batch: &[GroupWrite]) -> Result<(), StorageError> {
        let _ = batch;
        todo!()
    }

    /// Stores a snapshot that this replica took of its own state and drops the entries up to it.
    /// One that is not newer than the stored one changes nothing. Durable on `Ok`.
    ///
    /// # Errors
    /// As [`Self::write`].
    pub fn compact(&mut self, group: u32, snapshot: &Snapshot) -> Result<(), StorageError> {
        let _ = (group, snapshot);
        todo!()
    }

    /// Who the folder belongs to.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// What has been done since the folder was opened.
    pub fn counters(&self) -> StorageCounters {
        self.counters
    }

    /// The first failed step, after which every call fails.
    pub fn failure(&self) -> Option<&str> {
        None
    }
}
