//! Read-only inspection of a data folder, without acquiring its lock.

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

/// The contents of a data folder.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inspection {
    /// The folder's identity; `None` if the folder is not formatted or its identity is damaged.
    pub identity: Option<Identity>,
    /// The log's segments, in order.
    pub segments: Vec<SegmentReport>,
    /// The state of each group, as far as the log can be read.
    pub groups: BTreeMap<u32, GroupReport>,
    /// An unfinished write at the end of the log, which the next start truncates. If a process is
    /// writing to the folder, its current write may appear here.
    pub torn_tail: Option<TornTail>,
    /// The damage that prevents the folder from being opened; empty if there is none.
    pub damage: Vec<DamageReport>,
    /// Files that are not part of the stored state: leftovers of storage, which the next start
    /// removes, and unrelated files, which it keeps.
    pub other_files: Vec<String>,
}

/// One segment of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentReport {
    /// The segment's number.
    pub number: u64,
    /// The name of its file.
    pub file: String,
    /// The size of its valid content in bytes, without allocated space.
    pub bytes: u64,
    /// The number of complete records.
    pub records: u64,
}

/// The stored state of one group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupReport {
    /// The current term and vote.
    pub hard_state: HardState,
    /// The position and membership of the latest snapshot.
    pub snapshot: SnapshotMetadata,
    /// The size of the snapshot's data in bytes; `None` without a snapshot.
    pub snapshot_bytes: Option<u64>,
    /// The index of the last stored entry, or the snapshot's index if no entry follows it.
    pub last_index: u64,
    /// The number of stored entries after the snapshot.
    pub entries: u64,
}

/// An unfinished write at the end of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TornTail {
    /// The segment's file name.
    pub file: String,
    /// The offset at which it begins, in bytes.
    pub offset: u64,
    /// Its length in bytes.
    pub bytes: u64,
}

/// Damage to a file, or an error while reading it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DamageReport {
    /// The file's name; empty if it is unknown.
    pub file: String,
    /// The offset of the damage in bytes, if it is known.
    pub offset: Option<u64>,
    /// A description of the damage.
    pub reason: String,
}

/// Inspects a data folder on this machine's file system.
///
/// # Errors
/// Fails only if the folder cannot be listed. Damage is part of the returned report.
pub fn inspect(folder: &Path) -> Result<Inspection, StorageError> {
    inspect_on(Arc::new(RealDisk), folder)
}

/// Inspects a data folder on `disk`.
///
/// # Errors
/// Fails under the same condition as [`inspect`].
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
