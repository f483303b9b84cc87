//! A report on a data folder, made without the lock and without changing anything.

use std::{collections::BTreeMap, path::Path};

use sablehaven_consensus::{HardState, SnapshotMetadata};
use serde::{Deserialize, Serialize};

use crate::{disk::Disk, error::StorageError, identity::Identity, real_disk::RealDisk};

/// What a data folder holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inspection {
    /// Who it belongs to; `None` where it has no readable identity.
    pub identity: Option<Identity>,
    /// The log's segments, in order.
    pub segments: Vec<SegmentReport>,
    /// Where each group stands, as far as the log can be read.
    pub groups: BTreeMap<u32, GroupReport>,
    /// An unfinished write at the end of the log, which the next start cuts. A running process may
    /// show one for a moment.
    pub torn_tail: Option<TornTail>,
    /// What keeps the folder from being opened; empty where nothing does.
    pub damage: Vec<DamageReport>,
    /// Files that are no part of what is stored: leftovers, which the next start removes, and
    /// strangers, which it leaves alone.
    pub other_files: Vec<String>,
}

/// One segment of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentReport {
    /// Its number.
    pub number: u64,
    /// Its file's name.
    pub file: String,
    /// Its size in bytes.
    pub bytes: u64,
    /// How many whole records it holds.
    pub records: u64,
}

/// Where one group stands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupReport {
    /// Term and vote.
    pub hard_state: HardState,
    /// The latest snapshot's position and members.
    pub snapshot: SnapshotMetadata,
    /// The size of its data in bytes; `None` without a snapshot.
    pub snapshot_bytes: Option<u64>,
    /// The last stored entry's index; the snapshot's where no entry follows it.
    pub last_index: u64,
    /// How many entries after the snapshot are stored.
    pub entries: u64,
}

/// An unfinished write at the end of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TornTail {
    /// The segment's file name.
    pub file: String,
    /// Where it begins, in bytes.
    pub offset: u64,
    /// Its length in bytes.
    pub bytes: u64,
}

/// One damage.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DamageReport {
    /// The file's name.
    pub file: String,
    /// Where in the file, in bytes, where that is known.
    pub offset: Option<u64>,
    /// What is wrong.
    pub reason: String,
}

/// Reports on a data folder of this machine.
///
/// # Errors
/// Only when the folder cannot be listed; damage is part of the report.
pub fn inspect(folder: &Path) -> Result<Inspection, StorageError> {
    inspect_on(&RealDisk, folder)
}

/// Reports on a data folder of `disk`.
///
/// # Errors
/// As [`inspect`].
pub fn inspect_on(disk: &dyn Disk, folder: &Path) -> Result<Inspection, StorageError> {
    let _ = (disk, folder);
    todo!()
}
