//! The greatest records of many parts.

use bytes::Bytes;

/// Length of a record, in bytes; a shorter remainder is no record.
const RECORD_BYTES: usize = 16;

/// The greatest `count` records of the bodies, greatest first; equal ones all count.
pub(super) fn greatest_records<'a>(bodies: impl Iterator<Item = &'a [u8]>, count: usize) -> Bytes {
    let mut records: Vec<[u8; RECORD_BYTES]> = bodies
        .flat_map(|body| body.as_chunks::<RECORD_BYTES>().0)
        .copied()
        .collect();
    let descending = |one: &[u8; RECORD_BYTES], other: &[u8; RECORD_BYTES]| other.cmp(one);
    if count > 0 && records.len() > count {
        records.select_nth_unstable_by(count - 1, descending);
    }
    records.truncate(count);
    records.sort_unstable_by(descending);
    Bytes::from(records.concat())
}

#[cfg(test)]
mod tests;
