//! Splits batches that are too large for one record.

use crate::{error::StorageError, segment::MAX_RECORD_BYTES, write::GroupWrite};

/// Splits a batch into two, which must be written in the returned order.
///
/// A group's hard state and snapshot stay with its first entries, because entries must never become
/// durable before the term in which they were received.
///
/// # Errors
/// Returns [`StorageError::EntryTooLarge`] if the batch cannot be split, because it has a single
/// group with at most one entry. `bytes` is the size of the batch's record, reported in the error.
pub(crate) fn split_batch(
    batch: &[GroupWrite],
    bytes: usize,
) -> Result<[Vec<GroupWrite>; 2], StorageError> {
    if let [write] = batch {
        let [first, second] = split_write(write).ok_or_else(|| too_large(write, bytes))?;
        return Ok([vec![first], vec![second]]);
    }
    let (first, second) = batch.split_at(batch.len() / 2);
    Ok([first.to_vec(), second.to_vec()])
}

fn too_large(write: &GroupWrite, bytes: usize) -> StorageError {
    StorageError::EntryTooLarge {
        group: write.group,
        index: write.entries.first().map_or(0, |entry| entry.index),
        bytes: bytes as u64,
        allowed: MAX_RECORD_BYTES,
    }
}

fn split_write(write: &GroupWrite) -> Option<[GroupWrite; 2]> {
    if write.entries.len() < 2 {
        return None;
    }
    let (first, second) = write.entries.split_at(write.entries.len() / 2);
    let first = GroupWrite {
        group: write.group,
        hard_state: write.hard_state,
        entries: first.to_vec(),
        snapshot: write.snapshot.clone(),
    };
    let second = GroupWrite {
        group: write.group,
        entries: second.to_vec(),
        ..GroupWrite::default()
    };
    Some([first, second])
}
