//! Merges the greatest records of the shards' replies.

use bytes::Bytes;

/// Length of a record in bytes. A shorter remainder of a body is ignored.
const RECORD_BYTES: usize = 16;
/// Number of records that are kept while merging, as a multiple of those that are asked for.
const KEPT_FACTOR: usize = 2;

type Record = [u8; RECORD_BYTES];

/// The `count` greatest records of all bodies, in descending order. Duplicates are kept. At most twice as many records are
/// copied at a time, however large the bodies are.
pub(super) fn greatest_records<'a>(bodies: impl Iterator<Item = &'a [u8]>, count: usize) -> Bytes {
    let mut records: Vec<Record> = Vec::new();
    for record in bodies.flat_map(|body| body.as_chunks::<RECORD_BYTES>().0) {
        records.push(*record);
        if records.len() >= KEPT_FACTOR.saturating_mul(count) {
            keep_greatest(&mut records, count);
        }
    }
    keep_greatest(&mut records, count);
    records.sort_unstable_by(descending);
    Bytes::from(records.concat())
}

fn keep_greatest(records: &mut Vec<Record>, count: usize) {
    if count > 0 && records.len() > count {
        records.select_nth_unstable_by(count - 1, descending);
    }
    records.truncate(count);
}

fn descending(left: &Record, right: &Record) -> std::cmp::Ordering {
    right.cmp(left)
}

#[cfg(test)]
mod tests;
