//! The throughput of the disk itself: appends of one record, each followed by a sync.

use std::{
    fs::{File, OpenOptions},
    os::unix::fs::FileExt,
    path::Path,
    time::{Duration, Instant},
};

/// Size of one record, about that of a batch with one claim.
const RECORD_BYTES: usize = 256;

/// Number of zero bytes by which the file is extended at a time before records are written there. A sync
/// after an append that extends the file also writes the file system's journal, so preallocation gives
/// the higher throughput.
const PREALLOCATION_BYTES: usize = 1024 * 1024;

/// Synced appends per second by one writer on one disk.
pub struct DiskThroughput {
    /// Into preallocated space, as the consensus log does.
    pub preallocated: f64,
    /// At the end of the file, so that each append extends it.
    pub growing: f64,
}

/// Measures the disk of `folder`, once for each kind of append and each for `duration`.
pub fn measure(folder: &Path, duration: Duration) -> DiskThroughput {
    DiskThroughput {
        preallocated: appends_per_second(folder, duration, true),
        growing: appends_per_second(folder, duration, false),
    }
}

fn appends_per_second(folder: &Path, duration: Duration, preallocated: bool) -> f64 {
    let path = folder.join("raw");
    let mut options = OpenOptions::new();
    let file = options.create(true).write(true).truncate(true).open(&path);
    let file = file.expect("open file");
    let record = [7; RECORD_BYTES];
    let mut allocated_end = 0;
    let mut offset = 0;
    let started = Instant::now();
    let mut appends = 0;
    while started.elapsed() < duration {
        if preallocated && offset + RECORD_BYTES as u64 > allocated_end {
            allocated_end = preallocate(&file, allocated_end);
        }
        file.write_all_at(&record, offset).expect("append");
        file.sync_data().expect("sync");
        offset += RECORD_BYTES as u64;
        appends += 1;
    }
    f64::from(appends) / started.elapsed().as_secs_f64()
}

fn preallocate(file: &File, end: u64) -> u64 {
    let zeros = vec![0; PREALLOCATION_BYTES];
    file.write_all_at(&zeros, end).expect("preallocate");
    file.sync_data().expect("sync");
    end + PREALLOCATION_BYTES as u64
}
