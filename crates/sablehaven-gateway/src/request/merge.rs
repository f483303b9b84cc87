//! Merges the greatest records of the shards' replies.

use bytes::Bytes;

/// Length of a record in bytes. A shorter remainder of a body is ignored.
const RECORD_BYTES: usize = 16;

/// The `count` greatest records of all bodies, in descending order. Duplicates are kept.
pub(super) fn greatest_records<'a>(bodies: impl Iterator<Item = &'a [u8]>, count: usize) -> Bytes {
    let mut records: Vec<[u8; RECORD_BYTES]> = bodies
        .flat_map(|body| body.as_chunks::<RECORD_BYTES>().0)
        .copied()
        .collect();
    let descending = |left: &[u8; RECORD_BYTES], right: &[u8; RECORD_BYTES]| right.cmp(left);
    if count > 0 && records.len() > count {
        records.select_nth_unstable_by(count - 1, descending);
    }
    records.truncate(count);
    records.sort_unstable_by(descending);
    Bytes::from(records.concat())
}

#[cfg(test)]
mod tests;
