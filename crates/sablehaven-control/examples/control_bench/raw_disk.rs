//! The disk's raw limit: appends of one record, each synced.

use std::{
    fs::{File, OpenOptions},
    os::unix::fs::FileExt,
    path::Path,
    time::{Duration, Instant},
};

/// Bytes of one record, about what a batch with one claim takes.
const RECORD_BYTES: usize = 256;

/// Bytes of zeros by which the file is made longer in advance. A sync after an append that makes the
/// file longer also writes the file system's journal, so this gives the higher limit.
const ADVANCE_BYTES: usize = 1024 * 1024;

/// Appends and syncs a second by one writer on the disk of `folder`.
pub struct RawLimit {
    /// Into space written in advance, as the product's log does.
    pub in_advance: f64,
    /// At the end of the file.
    pub growing: f64,
}

pub fn measure(folder: &Path, length: Duration) -> RawLimit {
    RawLimit {
        in_advance: appends_per_second(folder, length, true),
        growing: appends_per_second(folder, length, false),
    }
}

fn appends_per_second(folder: &Path, length: Duration, in_advance: bool) -> f64 {
    let path = folder.join("raw");
    let mut options = OpenOptions::new();
    let file = options.create(true).write(true).truncate(true).open(&path);
    let file = file.expect("open file");
    let record = [7; RECORD_BYTES];
    let mut end = 0;
    let mut offset = 0;
    let started = Instant::now();
    let mut appends = 0;
    while started.elapsed() < length {
        if in_advance && offset + RECORD_BYTES as u64 > end {
            end = advance(&file, end);
        }
        file.write_all_at(&record, offset).expect("append");
        file.sync_data().expect("sync");
        offset += RECORD_BYTES as u64;
        appends += 1;
    }
    f64::from(appends) / started.elapsed().as_secs_f64()
}

fn advance(file: &File, end: u64) -> u64 {
    let zeros = vec![0; ADVANCE_BYTES];
    file.write_all_at(&zeros, end).expect("write in advance");
    file.sync_data().expect("sync");
    end + ADVANCE_BYTES as u64
}
