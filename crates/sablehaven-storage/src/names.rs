//! The names of the files in a data folder.

use crate::record::SnapshotReference;

pub(crate) const LOCK: &str = "lock";
pub(crate) const IDENTITY: &str = "identity";
pub(crate) const MANIFEST: &str = "manifest";
pub(crate) const SYNCED_POSITION: &str = "synced-position";
pub(crate) const LISTING: &str = "server-listing";

const SEGMENT_PREFIX: &str = "segment-";
const SNAPSHOT_PREFIX: &str = "snapshot-";
const TEMPORARY_SUFFIX: &str = ".temporary";

/// Returns the file name of the segment with this number.
pub(crate) fn segment(number: u64) -> String {
    format!("{SEGMENT_PREFIX}{number:020}")
}

/// Returns the file name of a group's snapshot. The name includes the checksum, so that a second
/// encoding of the same state to different bytes never replaces the file that the log refers to.
pub(crate) fn snapshot(group: u32, reference: &SnapshotReference) -> String {
    let (index, term) = (reference.metadata.index, reference.metadata.term);
    let checksum = reference.data_checksum;
    format!("{SNAPSHOT_PREFIX}{group}-{index}-{term}-{checksum:08x}")
}

/// Returns the name under which a file is written before it is renamed to `name`.
pub(crate) fn temporary(name: &str) -> String {
    format!("{name}{TEMPORARY_SUFFIX}")
}

/// Parses the number of a segment from its file name.
pub(crate) fn segment_number(name: &str) -> Option<u64> {
    let number = name.strip_prefix(SEGMENT_PREFIX)?.parse().ok()?;
    (segment(number) == name).then_some(number)
}

/// Returns whether this is the name of a snapshot file.
pub(crate) fn is_snapshot(name: &str) -> bool {
    name.starts_with(SNAPSHOT_PREFIX) && !is_temporary(name)
}

/// Returns whether this is the name of a file whose writing has not finished.
pub(crate) fn is_temporary(name: &str) -> bool {
    let Some(name) = name.strip_suffix(TEMPORARY_SUFFIX) else {
        return false;
    };
    name == IDENTITY
        || name == MANIFEST
        || name == LISTING
        || name.starts_with(SNAPSHOT_PREFIX)
        || segment_number(name).is_some()
}
