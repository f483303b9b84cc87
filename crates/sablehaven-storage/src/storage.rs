//! The open data folder.

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
    manifest::Manifest,
    options::Options,
    recovery,
    scan::{CutTail, FolderScan, SegmentSummary},
    segment::MAXIMUM_RECORD_BYTES,
    snapshot_writer::{PreparedSnapshot, SnapshotWriter},
    split,
    synced_position::{SyncedPosition, SyncedPositionFile},
    write::GroupWrite,
};

/// What was stored for one group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RestoredGroup {
    /// Hard state, snapshot position and the entries after it.
    pub restored: PersistentState,
    /// The state machine's data of the snapshot, where there is one.
    pub snapshot_data: Option<Vec<u8>>,
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
    /// Syncs of the log (one a record).
    pub log_syncs: u64,
    /// Snapshots that came into force.
    pub snapshots: u64,
    /// Segments begun.
    pub segments_begun: u64,
    /// Segments removed, since snapshots cover them.
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
    /// The segment that is written to.
    pub(crate) active: ActiveSegment,
    pub(crate) next_sequence: u64,
    pub(crate) synced: SyncedPositionFile,
    pub(crate) counters: StorageCounters,
    pub(crate) failure: Option<String>,
    /// Held for as long as the storage lives; last, so that it is released last.
    lock: Arc<dyn DiskLock>,
}

/// The segment that is written to.
#[derive(Debug)]
pub(crate) struct ActiveSegment {
    pub(crate) file: FolderFile,
    pub(crate) summary: SegmentSummary,
    /// The file's length: the records' end, or more where space was allocated.
    pub(crate) allocated: u64,
}

impl Storage {
    /// Opens the data folder, formats it if it is empty, and recovers what is stored. A folder that
    /// cannot be opened because of damage is left as it was found.
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
        let folder = Folder::new(folder, disk);
        folder.create()?;
        let lock = Arc::from(folder.lock()?);
        let (identity, formatted) = recovery::identify(&folder, &options)?;
        let mut scan = recovery::read_all(&folder, identity.clone())?;
        let groups = recovery::restore(&folder, &mut scan)?;
        // Everything has been read and found right; only now may the folder be changed.
        let file = recovery::make_durable(&folder, &scan)?;
        recovery::remove_leftovers(&folder, &scan)?;
        let cut_tail = scan.torn_tail.clone();
        let storage = Self::from_scan(folder, lock, options, scan, file)?;
        Ok(Opened {
            storage,
            identity,
            groups,
            formatted,
            cut_tail,
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
        let mut synced = SyncedPositionFile::create(&folder, scan.identity.replica)?;
        synced.write(SyncedPosition {
            segment: summary.number,
            length: summary.length,
        })?;
        let allocated = match scan.torn_tail {
            Some(_) => summary.length,
            None => scan.file_bytes,
        };
        let active = ActiveSegment {
            file,
            summary,
            allocated,
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
            synced,
            counters: StorageCounters::default(),
            failure: None,
            lock,
        })
    }

    /// Writes a batch for many groups as one record: one write, one sync. Durable on `Ok`. After a
    /// crash an unfinished batch is there whole or not at all. A batch too large for one record is
    /// written as several, one after the other.
    ///
    /// # Errors
    /// [`StorageError::InvalidWrite`] and [`StorageError::EntryTooLarge`] leave storage as it was.
    /// After any other error it is unknown whether the batch is durable, and every later call fails
    /// with [`StorageError::Poisoned`].
    pub fn write(&mut self, batch: &[GroupWrite]) -> Result<(), StorageError> {
        self.check_usable()?;
        if batch.is_empty() {
            return Ok(());
        }
        let record = self.record_of_batch(batch)?;
        let encoded = self.encode(&record);
        let frame = self.note_failure(encoded)?;
        if frame.len() as u64 > MAXIMUM_RECORD_BYTES {
            let [first, second] = split::halves(batch, frame.len())?;
            self.write(&first)?;
            return self.write(&second);
        }
        let result = self.commit(batch, &record, frame);
        self.note_failure(result)
    }

    /// Stores a snapshot that this replica took of its own state and drops the entries up to it.
    /// One that is not newer than the stored one changes nothing. Durable on `Ok`.
    ///
    /// # Errors
    /// As [`Self::write`].
    pub fn compact(&mut self, group: u32, snapshot: &Snapshot) -> Result<(), StorageError> {
        self.check_usable()?;
        if snapshot.metadata.index <= self.snapshot_index(group) {
            return Ok(());
        }
        self.check_covers_entries(group, &snapshot.metadata)?;
        let written = self.snapshot_writer().write(group, snapshot);
        let prepared = self.note_failure(written)?;
        self.compact_to(prepared)
    }

    /// Brings a snapshot into force that [`SnapshotWriter::write`] has written, perhaps on another
    /// thread, and drops the entries up to it. One that is not newer than the stored one is removed.
    ///
    /// # Errors
    /// As [`Self::write`].
    pub fn compact_to(&mut self, prepared: PreparedSnapshot) -> Result<(), StorageError> {
        self.check_usable()?;
        let result = if prepared.reference.metadata.index <= self.snapshot_index(prepared.group) {
            self.remove_unless_current(&prepared)
        } else {
            self.check_covers_entries(prepared.group, &prepared.reference.metadata)?;
            let record = prepared.record();
            self.encode(&record)
                .and_then(|frame| self.commit(&[], &record, frame))
        };
        self.note_failure(result)
    }

    /// Writes snapshots of this replica's own state without holding up the log: it can be used on
    /// another thread while the storage takes writes.
    pub fn snapshot_writer(&self) -> SnapshotWriter {
        SnapshotWriter::new(
            self.folder.clone(),
            self.identity.replica,
            self.lock.clone(),
        )
    }

    /// The groups that should be compacted since their entries keep the oldest segment from being
    /// removed, while the log has more closed segments than `Options::closed_segments`. Without it
    /// one idle group would keep the whole log.
    pub fn groups_to_compact(&self) -> Vec<u32> {
        let Some(oldest) = self.closed.front() else {
            return Vec::new();
        };
        if self.closed.len() <= self.options.closed_segments as usize {
            return Vec::new();
        }
        let holding = oldest.highest.iter();
        let holding = holding.filter(|(group, highest)| self.snapshot_index(**group) < **highest);
        holding.map(|(group, _)| *group).collect()
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

    /// After a failed step it is unknown what is on the disk, so nothing more may be acknowledged;
    /// opening the folder again finds out.
    fn note_failure<T>(&mut self, result: Result<T, StorageError>) -> Result<T, StorageError> {
        if let Err(error) = &result {
            self.failure.get_or_insert_with(|| error.to_string());
        }
        result
    }
}
