//! Formats an empty data folder, and recovers a used one so that it can be written to again.

use std::collections::BTreeMap;

use crate::{
    error::StorageError,
    folder::{Folder, FolderFile},
    identity::Identity,
    manifest::Manifest,
    names,
    options::Options,
    record::SegmentHeader,
    scan::FolderScan,
    segment::{self, MAX_FILE_BYTES, SegmentReader},
    snapshot_file,
    storage::RestoredGroup,
};

const FIRST_SEGMENT: u64 = 1;
/// The sequence number of the log's first record.
const FIRST_SEQUENCE: u64 = 1;

/// Returns the identity of the folder and whether it was newly created. A folder without an
/// identity is formatted.
pub(crate) fn load_or_create_identity(
    folder: &Folder,
    options: &Options,
) -> Result<(Identity, bool), StorageError> {
    let Some(identity) = Identity::read(folder)? else {
        remove_unfinished_format(folder)?;
        let identity = format(folder, &options.deployment)?;
        return Ok((identity, true));
    };
    if identity.deployment != options.deployment {
        return Err(StorageError::WrongDeployment {
            path: folder.path_of(names::IDENTITY),
            found: identity.deployment,
            expected: options.deployment.clone(),
        });
    }
    Ok((identity, false))
}

/// Reads and checks the manifest and the log without modifying the folder.
pub(crate) fn scan_folder(folder: &Folder, identity: Identity) -> Result<FolderScan, StorageError> {
    let manifest = Manifest::read(folder, identity.replica)?;
    let mut scan = FolderScan::new(folder, identity, manifest);
    scan.read_log(folder)?;
    check_unlisted_segments(folder, &scan)?;
    Ok(scan)
}

/// Checks that no segment after the last one in the manifest contains records.
pub(crate) fn check_unlisted_segments(
    folder: &Folder,
    scan: &FolderScan,
) -> Result<(), StorageError> {
    let list = folder.list()?;
    let numbers = list.iter().filter_map(|name| names::segment_number(name));
    for number in numbers.filter(|number| *number > scan.manifest.last_segment) {
        scan.check_unused_segment(folder, number)?;
    }
    Ok(())
}

/// Reads the snapshots and returns the state from which the replicas start, by group.
pub(crate) fn restore(
    folder: &Folder,
    scan: &mut FolderScan,
) -> Result<BTreeMap<u32, RestoredGroup>, StorageError> {
    let replica = scan.identity.replica;
    let mut restored = BTreeMap::new();
    for (group, replayed) in &mut scan.replay.groups {
        let snapshot_data = match &replayed.state.snapshot {
            Some(reference) => Some(snapshot_file::read(folder, replica, *group, reference)?),
            None => None,
        };
        let restored_group = RestoredGroup {
            restored: replayed.take_restored_state(),
            snapshot_data,
        };
        restored.insert(*group, restored_group);
    }
    Ok(restored)
}

/// Truncates the torn tail, makes everything that was read durable, and returns the last segment's
/// file.
pub(crate) fn make_durable(folder: &Folder, scan: &FolderScan) -> Result<FolderFile, StorageError> {
    let name = names::segment(scan.manifest.last_segment);
    let mut file = folder.open_file(&name)?;
    if let Some(tail) = &scan.torn_tail {
        file.truncate(tail.offset)?;
    }
    if let Some(last) = &scan.last_record {
        // The last record may have been read from the page cache without being on the disk, if its
        // sync failed or never happened. Another sync alone would not write it, since the operating
        // system marks pages as clean after a failed sync. Writing the same bytes again marks them
        // dirty, so that the next sync writes them.
        file.write_at(last.offset, &last.bytes)?;
    }
    file.sync()?;
    folder.sync()?;
    Ok(file)
}

/// Removes files that were never finished or are no longer referenced.
pub(crate) fn remove_leftovers(folder: &Folder, scan: &FolderScan) -> Result<(), StorageError> {
    let mut list = folder.list()?;
    list.retain(|name| is_leftover(name, scan));
    for name in list {
        folder.remove(&name)?;
    }
    Ok(())
}

/// Returns whether the file is a segment that the manifest lists or a snapshot that the log refers
/// to.
pub(crate) fn is_referenced(name: &str, scan: &FolderScan) -> bool {
    if let Some(number) = names::segment_number(name) {
        return scan.manifest.contains(number);
    }
    scan.replay.groups.iter().any(|(group, replayed)| {
        let snapshot = replayed.state.snapshot.as_ref();
        snapshot.is_some_and(|reference| names::snapshot(*group, reference) == name)
    })
}

fn is_leftover(name: &str, scan: &FolderScan) -> bool {
    let is_storage_file = names::segment_number(name).is_some() || names::is_snapshot(name);
    names::is_temporary(name) || is_storage_file && !is_referenced(name, scan)
}

/// Formats a folder with an empty log and an identity. The identity is written last: a folder
/// without one has never acknowledged a write, so it can safely be formatted again.
fn format(folder: &Folder, deployment: &str) -> Result<Identity, StorageError> {
    let identity = Identity::random(deployment);
    let header = SegmentHeader {
        replica: identity.replica,
        number: FIRST_SEGMENT,
        first_sequence: FIRST_SEQUENCE,
        groups: Vec::new(),
    };
    segment::create(folder, &header)?;
    let manifest = Manifest {
        replica: identity.replica,
        first_segment: FIRST_SEGMENT,
        last_segment: FIRST_SEGMENT,
    };
    manifest.write(folder)?;
    identity.write(folder)?;
    Ok(identity)
}

/// Removes the files that an interrupted formatting has left.
fn remove_unfinished_format(folder: &Folder) -> Result<(), StorageError> {
    check_unformatted(folder)?;
    for name in folder.list()? {
        let is_segment = names::segment_number(&name).is_some();
        if is_segment || name == names::MANIFEST || names::is_temporary(&name) {
            folder.remove(&name)?;
        }
    }
    Ok(())
}

/// Checks that a folder without an identity contains only storage files that an interrupted
/// formatting can leave. Any other storage file means that the identity was lost.
pub(crate) fn check_unformatted(folder: &Folder) -> Result<(), StorageError> {
    for name in folder.list()? {
        let is_snapshot = names::is_snapshot(&name);
        let is_later_segment = names::segment_number(&name).is_some_and(|n| n != FIRST_SEGMENT);
        if is_snapshot || is_later_segment || name == names::SYNCED_POSITION {
            let reason = format!("the file is missing, but {name} exists");
            return Err(folder.damaged(names::IDENTITY, 0, reason));
        }
    }
    let first = names::segment(FIRST_SEGMENT);
    match folder.read(&first, MAX_FILE_BYTES)? {
        Some(content) => check_no_records(folder, &first, &content),
        None => Ok(()),
    }
}

fn check_no_records(folder: &Folder, name: &str, content: &[u8]) -> Result<(), StorageError> {
    let checked = SegmentReader::has_no_records(content);
    if checked.map_err(|error| folder.format_error(name, error))? {
        return Ok(());
    }
    let reason = format!("the file is missing, but {name} contains records");
    Err(folder.damaged(names::IDENTITY, 0, reason))
}
