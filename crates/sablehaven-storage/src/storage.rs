//! An open data folder: recovery on opening, writes, and compaction.

use std::{
    collections::{BTreeMap, VecDeque},
    path::Path,
    sync::Arc,
};

use sablehaven_consensus::{PersistentState, Snapshot};

use crate::{
    disk::{Disk, DiskLock},
    error::StorageError,
    folder::{Folder, FolderFile},
    group_state::GroupState,
    identity::Identity,
    listing_file::ListingFile,
    manifest::Manifest,
    options::Options,
    recovery,
    scan::{FolderScan, SegmentSummary, TruncatedTail},
    segment::MAX_RECORD_BYTES,
    snapshot_writer::{PreparedSnapshot, SnapshotWriter},
    split,
    synced_position::{SyncedPosition, SyncedPositionFile},
    write::GroupWrite,
};

/// The recovered state of one group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RestoredGroup {
    /// The hard state, the snapshot's position and the entries after it.
    pub restored: PersistentState,
    /// The state machine's data in the snapshot, if there is one.
    pub snapshot_data: Option<Vec<u8>>,
}

/// The result of opening a data folder.
#[derive(Debug)]
pub struct OpenedStorage {
    /// The open storage, which accepts writes.
    pub storage: Storage,
    /// The replica and deployment that the folder belongs to.
    pub identity: Identity,
    /// The recovered state, by group.
    pub groups: BTreeMap<u32, RestoredGroup>,
    /// Whether the folder had no identity and was formatted with a new one.
    pub formatted: bool,
    /// The unfinished write at the end of the log that recovery truncated, if there was one.
    pub truncated_tail: Option<TruncatedTail>,
}

/// Counts of the work done since storage was opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StorageCounters {
    /// Records written to the log.
    pub records: u64,
    /// Bytes written to the log.
    pub log_bytes: u64,
    /// Syncs of the log, one per record.
    pub log_syncs: u64,
    /// Snapshots that became the current one of their group.
    pub snapshots: u64,
    /// Segments created.
    pub segments_created: u64,
    /// Segments removed because snapshots cover all their entries.
    pub segments_removed: u64,
}

/// An open data folder, locked for this process.
#[derive(Debug)]
pub struct Storage {
    pub(crate) folder: Folder,
    pub(crate) identity: Identity,
    pub(crate) options: Options,
    pub(crate) manifest: Manifest,
    pub(crate) groups: BTreeMap<u32, GroupState>,
    /// The segments before the active one, oldest first.
    pub(crate) closed: VecDeque<SegmentSummary>,
    /// The segment that receives new records.
    pub(crate) active: ActiveSegment,
    pub(crate) next_sequence: u64,
    pub(crate) synced_position: SyncedPositionFile,
    pub(crate) counters: StorageCounters,
    pub(crate) failure: Option<String>,
    /// Held for the lifetime of the storage. It is the last field, so that it is dropped last.
    lock: Arc<dyn DiskLock>,
}

/// The segment that receives new records.
#[derive(Debug)]
pub(crate) struct ActiveSegment {
    pub(crate) file: FolderFile,
    pub(crate) summary: SegmentSummary,
    /// The file's length, which includes the space allocated after the records.
    pub(crate) allocated_bytes: u64,
}

impl Storage {
    /// Opens the data folder, formats it if it is empty, and recovers the stored state. A folder
    /// that cannot be opened because of damage is not modified.
    ///
    /// # Errors
    /// - [`StorageError::InUse`] if the folder is already open, in this or another process
    /// - [`StorageError::Damaged`], with file and offset, for any damage other than a torn tail
    /// - [`StorageError::UnknownVersion`] if a file has another format version
    /// - [`StorageError::WrongDeployment`] if the folder belongs to another deployment
    /// - [`StorageError::Disk`] if a file operation fails
    pub fn open(
        folder: &Path,
        disk: Arc<dyn Disk>,
        options: Options,
    ) -> Result<OpenedStorage, StorageError> {
        let folder = Folder::new(folder, disk);
        folder.create()?;
        let lock = Arc::from(folder.lock()?);
        let (identity, formatted) = recovery::load_or_create_identity(&folder, &options)?;
        let mut scan = recovery::scan_folder(&folder, identity.clone())?;
        let groups = recovery::restore(&folder, &mut scan)?;
        // The folder may be modified only now, after everything was read and checked.
        let file = recovery::make_durable(&folder, &scan)?;
        recovery::remove_leftovers(&folder, &scan)?;
        let truncated_tail = scan.torn_tail.clone();
        let storage = Self::from_scan(folder, lock, options, scan, file)?;
        Ok(OpenedStorage {
            storage,
            identity,
            groups,
            formatted,
            truncated_tail,
        })
    }

    fn from_scan(
        folder: Folder,
        lock: Arc<dyn DiskLock>,
        options: Options,
        scan: FolderScan,
        file: FolderFile,
    ) -> Result<Self, StorageError> {
        let mut closed = VecDeque::from(scan.segments);
        let summary = closed.pop_back().unwrap_or_default();
        let mut synced_position = SyncedPositionFile::create(&folder, scan.identity.replica)?;
        synced_position.write(SyncedPosition {
            segment: summary.number,
            synced_bytes: summary.records_end,
        })?;
        let allocated_bytes = match scan.torn_tail {
            Some(_) => summary.records_end,
            None => scan.file_bytes,
        };
        let active = ActiveSegment {
            file,
            summary,
            allocated_bytes,
        };
        let replayed = scan.replay.groups.into_iter();
        Ok(Self {
            folder,
            identity: scan.identity,
            options,
            manifest: scan.manifest,
            groups: replayed
                .map(|(group, replayed)| (group, replayed.state))
                .collect(),
            closed,
            active,
            next_sequence: scan.next_sequence,
            synced_position,
            counters: StorageCounters::default(),
            failure: None,
            lock,
        })
    }

    /// Writes a batch for many groups as one record, with one write and one sync of the log. The
    /// batch is durable once this returns `Ok`. A record that a crash interrupts is recovered
    /// either completely or not at all. A batch too large for one record is written as several
    /// records in sequence.
    ///
    /// # Errors
    /// [`StorageError::InvalidWrite`] and [`StorageError::EntryTooLarge`] leave storage unchanged
    /// and usable. After any other error it is unknown whether the batch is durable, and every
    /// later call fails with [`StorageError::Poisoned`].
    pub fn write(&mut self, batch: &[GroupWrite]) -> Result<(), StorageError> {
        self.check_usable()?;
        if batch.is_empty() {
            return Ok(());
        }
        let record = self.record_of_batch(batch)?;
        let encoded = self.encode(&record);
        let frame = self.poison_on_error(encoded)?;
        if frame.len() as u64 > MAX_RECORD_BYTES {
            let [first, second] = split::split_batch(batch, frame.len())?;
            self.write(&first)?;
            return self.write(&second);
        }
        let result = self.commit(batch, &record, frame);
        self.poison_on_error(result)
    }

    /// Stores a snapshot that this replica took of its own state, and drops the entries that it
    /// covers. The snapshot is durable once this returns `Ok`. A snapshot that is not newer than
    /// the stored one changes nothing.
    ///
    /// # Errors
    /// Returns the same errors as [`Self::write`].
    pub fn compact(&mut self, group: u32, snapshot: &Snapshot) -> Result<(), StorageError> {
        self.check_usable()?;
        if snapshot.metadata.index <= self.snapshot_index(group) {
            return Ok(());
        }
        self.check_snapshot_position(group, &snapshot.metadata)?;
        let written = self.snapshot_writer().write(group, snapshot);
        let prepared = self.poison_on_error(written)?;
        self.compact_to(prepared)
    }

    /// Makes a snapshot written by [`SnapshotWriter::write`], possibly on another thread, the
    /// group's snapshot, and drops the entries that it covers. The file of a snapshot that is not
    /// newer than the stored one is removed.
    ///
    /// # Errors
    /// Returns the same errors as [`Self::write`].
    pub fn compact_to(&mut self, prepared: PreparedSnapshot) -> Result<(), StorageError> {
        self.check_usable()?;
        let result = if prepared.reference.metadata.index <= self.snapshot_index(prepared.group) {
            self.remove_unless_current(&prepared)
        } else {
            self.check_snapshot_position(prepared.group, &prepared.reference.metadata)?;
            let record = prepared.record();
            self.encode(&record)
                .and_then(|frame| self.commit(&[], &record, frame))
        };
        self.poison_on_error(result)
    }

    /// Returns a writer for snapshots of this replica's own state. It can be used on another thread
    /// while the storage accepts writes, so that a snapshot does not delay the log.
    pub fn snapshot_writer(&self) -> SnapshotWriter {
        SnapshotWriter::new(
            self.folder.clone(),
            self.identity.replica,
            self.lock.clone(),
        )
    }

    /// Returns the file with the latest server listing, for use on another thread while the storage accepts writes.
    pub fn listing_file(&self) -> ListingFile {
        ListingFile::new(self.folder.clone(), self.lock.clone())
    }

    /// Returns the groups whose entries prevent the removal of the oldest segment, if the log has
    /// more closed segments than [`Options::closed_segments`]. The caller should compact these
    /// groups. Otherwise a single idle group would prevent the removal of any segment.
    pub fn groups_to_compact(&self) -> Vec<u32> {
        let Some(oldest) = self.closed.front() else {
            return Vec::new();
        };
        if self.closed.len() <= self.options.closed_segments as usize {
            return Vec::new();
        }
        let uncovered = oldest.highest_indexes.iter();
        let uncovered =
            uncovered.filter(|(group, highest)| self.snapshot_index(**group) < **highest);
        uncovered.map(|(group, _)| *group).collect()
    }

    /// Returns the replica and deployment that the folder belongs to.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Returns counts of the work done since the folder was opened.
    pub fn counters(&self) -> StorageCounters {
        self.counters
    }

    /// Returns the error message of the first failure, after which every call fails.
    pub fn failure(&self) -> Option<&str> {
        self.failure.as_deref()
    }

    fn check_usable(&self) -> Result<(), StorageError> {
        match &self.failure {
            None => Ok(()),
            Some(first) => Err(StorageError::Poisoned {
                first: first.clone(),
            }),
        }
    }

    /// Makes every later call fail if `result` is an error. After a failed operation the state on
    /// the disk is unknown until the folder is opened again, so no more writes may be acknowledged.
    fn poison_on_error<T>(&mut self, result: Result<T, StorageError>) -> Result<T, StorageError> {
        if let Err(error) = &result {
            self.failure.get_or_insert_with(|| error.to_string());
        }
        result
    }
}
