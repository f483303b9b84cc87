//! A report on a data folder, made without the lock and without changing anything.

use std::{collections::BTreeMap, path::Path, sync::Arc};

use sablehaven_consensus::{HardState, SnapshotMetadata};
use serde::{Deserialize, Serialize};

use crate::{
    disk::Disk,
    error::StorageError,
    folder::Folder,
    identity::Identity,
    manifest::Manifest,
    names,
    real_disk::RealDisk,
    recovery,
    replay::ReplayedGroup,
    scan::{FolderScan, SegmentSummary},
    snapshot_file,
};

/// What a data folder holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inspection {
    /// Who it belongs to; `None` in a folder that is not formatted or whose identity is damaged.
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
    inspect_on(Arc::new(RealDisk), folder)
}

/// Reports on a data folder of `disk`.
///
/// # Errors
/// As [`inspect`].
pub fn inspect_on(disk: Arc<dyn Disk>, folder: &Path) -> Result<Inspection, StorageError> {
    let folder = Folder::new(folder, disk);
    let mut inspection = Inspection {
        other_files: folder.list()?,
        ..Inspection::default()
    };
    if let Err(error) = inspection.read(&folder) {
        inspection.report_damage(&error);
    }
    Ok(inspection)
}

impl Inspection {
    fn read(&mut self, folder: &Folder) -> Result<(), StorageError> {
        let Some(identity) = Identity::read(folder)? else {
            return recovery::check_unformatted(folder);
        };
        self.identity = Some(identity.clone());
        let manifest = Manifest::read(folder, identity.replica)?;
        let mut scan = FolderScan::new(folder, identity, manifest);
        let log = scan.read_log(folder);
        self.describe(&scan);
        if let Err(error) = log {
            self.report_damage(&error);
            return Ok(());
        }
        self.check_snapshots(folder, &scan);
        let checked = recovery::check_unlisted_segments(folder, &scan);
        self.other_files.retain(|name| !is_stored(name, &scan));
        checked
    }

    fn describe(&mut self, scan: &FolderScan) {
        let segments = scan.segments.iter();
        self.segments = segments.map(SegmentReport::from).collect();
        for (group, replayed) in &scan.replay.groups {
            self.groups.insert(*group, GroupReport::from(replayed));
        }
        self.torn_tail = scan.torn_tail.as_ref().map(|tail| TornTail {
            file: file_name(&tail.path),
            offset: tail.offset,
            bytes: tail.bytes,
        });
    }

    fn check_snapshots(&mut self, folder: &Folder, scan: &FolderScan) {
        for (group, replayed) in &scan.replay.groups {
            let Some(reference) = &replayed.state.snapshot else {
                continue;
            };
            let replica = scan.identity.replica;
            if let Err(error) = snapshot_file::read(folder, replica, *group, reference) {
                self.report_damage(&error);
            }
        }
    }

    fn report_damage(&mut self, error: &StorageError) {
        let report = match error {
            StorageError::Damaged {
                path,
                offset,
                reason,
            } => DamageReport {
                file: file_name(path),
                offset: Some(*offset),
                reason: reason.clone(),
            },
            StorageError::UnknownVersion { path, .. } | StorageError::Disk { path, .. } => {
                DamageReport {
                    file: file_name(path),
                    offset: None,
                    reason: error.to_string(),
                }
            }
            _ => DamageReport {
                file: String::new(),
                offset: None,
                reason: error.to_string(),
            },
        };
        self.damage.push(report);
    }
}

impl From<&SegmentSummary> for SegmentReport {
    fn from(summary: &SegmentSummary) -> Self {
        Self {
            number: summary.number,
            file: names::segment(summary.number),
            bytes: summary.records_end,
            records: summary.records,
        }
    }
}

impl From<&ReplayedGroup> for GroupReport {
    fn from(replayed: &ReplayedGroup) -> Self {
        let snapshot = replayed.state.snapshot.as_ref();
        Self {
            hard_state: replayed.state.hard_state,
            snapshot: replayed.snapshot_metadata(),
            snapshot_bytes: snapshot.map(|reference| reference.data_bytes),
            last_index: replayed.state.last_index,
            entries: replayed.entries.len() as u64,
        }
    }
}

fn is_stored(name: &str, scan: &FolderScan) -> bool {
    const FIXED: [&str; 4] = [
        names::LOCK,
        names::IDENTITY,
        names::MANIFEST,
        names::SYNCED_POSITION,
    ];
    FIXED.contains(&name) || recovery::is_referenced(name, scan)
}

fn file_name(path: &Path) -> String {
    let name = path.file_name().unwrap_or(path.as_os_str());
    name.to_string_lossy().into_owned()
}
