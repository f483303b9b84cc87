//! The disk's raw limit: appends of one record, each synced.

use std::{
    fs::OpenOptions,
    io::Write,
    path::Path,
    time::{Duration, Instant},
};

/// Bytes of one record, about what a batch with one claim takes.
const RECORD_BYTES: usize = 256;

/// Appends and syncs a second, by one writer on the disk of `folder`.
pub fn syncs_per_second(folder: &Path, length: Duration) -> f64 {
    let path = folder.join("raw");
    let mut options = OpenOptions::new();
    let file = options.create(true).append(true).open(&path);
    let mut file = file.expect("open file");
    let record = [7; RECORD_BYTES];
    let started = Instant::now();
    let mut syncs = 0;
    while started.elapsed() < length {
        file.write_all(&record).expect("append");
        file.sync_data().expect("sync");
        syncs += 1;
    }
    f64::from(syncs) / started.elapsed().as_secs_f64()
}
