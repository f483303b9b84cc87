//! Measures the time to open a data folder as a function of the log's length and the snapshot's
//! size.
//!
//! The files have just been written and are in the page cache. A cold cache adds the time to read
//! them from the disk.

use std::{error::Error, path::Path, time::Instant};

use sablehaven_consensus::{Snapshot, SnapshotMetadata};
use sablehaven_measurements::{fit::fit_pairs, statistics::median};
use sablehaven_storage::GroupWrite;

use crate::{append::entry, open};

const LOG_RECORD_COUNTS: [u64; 5] = [10_000, 50_000, 100_000, 250_000, 500_000];
const SNAPSHOT_MEBIBYTES: [usize; 5] = [1, 16, 64, 128, 256];
const ENTRIES_PER_FILL_BATCH: u64 = 500;
const MEBIBYTE: usize = 1024 * 1024;

/// Prints the recovery time for each number of log records, and a linear fit.
pub fn measure_log(scratch: &Path, rounds: usize) -> Result<(), Box<dyn Error>> {
    println!("\nRecovery by log length: medians of {rounds} openings, warm page cache");
    println!("| records | log, MiB | open, ms |");
    println!("|---|---|---|");
    let mut points = Vec::new();
    for records in LOG_RECORD_COUNTS {
        let folder = scratch.join(format!("log-{records}"));
        let bytes = fill_log(&folder, records)?;
        let time_ms = median_open_ms(&folder, rounds)?;
        println!(
            "| {records} | {:.1} | {time_ms:.1} |",
            bytes as f64 / MEBIBYTE as f64
        );
        points.push((records as f64 / 1000.0, time_ms));
        std::fs::remove_dir_all(&folder)?;
    }
    print_fit(&points, "1,000 records");
    Ok(())
}

/// Prints the recovery time for each size of a single snapshot, and a linear fit.
pub fn measure_snapshot(scratch: &Path, rounds: usize) -> Result<(), Box<dyn Error>> {
    println!("\nRecovery by snapshot size: medians of {rounds} openings, warm page cache");
    println!("| snapshot, MiB | write, ms | open, ms |");
    println!("|---|---|---|");
    let mut points = Vec::new();
    for mebibytes in SNAPSHOT_MEBIBYTES {
        let folder = scratch.join(format!("snapshot-{mebibytes}"));
        let write_ms = write_snapshot(&folder, mebibytes)?;
        let time_ms = median_open_ms(&folder, rounds)?;
        println!("| {mebibytes} | {write_ms:.1} | {time_ms:.1} |");
        points.push((mebibytes as f64, time_ms));
        std::fs::remove_dir_all(&folder)?;
    }
    print_fit(&points, "MiB");
    Ok(())
}

fn fill_log(folder: &Path, records: u64) -> Result<u64, Box<dyn Error>> {
    let mut storage = open(folder)?.storage;
    let mut index = 1;
    while index <= records {
        let end = (index + ENTRIES_PER_FILL_BATCH).min(records + 1);
        let write = GroupWrite {
            entries: (index..end).map(entry).collect(),
            ..GroupWrite::default()
        };
        storage.write(&[write])?;
        index = end;
    }
    Ok(storage.counters().log_bytes)
}

fn write_snapshot(folder: &Path, mebibytes: usize) -> Result<f64, Box<dyn Error>> {
    fill_log(folder, 1)?;
    let mut storage = open(folder)?.storage;
    let metadata = SnapshotMetadata {
        index: 1,
        term: 1,
        ..SnapshotMetadata::default()
    };
    let data = (0..mebibytes * MEBIBYTE)
        .map(|position| (position * 31) as u8)
        .collect();
    let begin = Instant::now();
    storage.compact(0, &Snapshot { metadata, data })?;
    Ok(begin.elapsed().as_secs_f64() * 1000.0)
}

fn median_open_ms(folder: &Path, rounds: usize) -> Result<f64, Box<dyn Error>> {
    let mut times_ms = Vec::new();
    for _ in 0..rounds {
        let begin = Instant::now();
        let opened = open(folder)?;
        times_ms.push(begin.elapsed().as_secs_f64() * 1000.0);
        drop(opened);
    }
    Ok(median(&times_ms))
}

fn print_fit(points: &[(f64, f64)], unit: &str) {
    let Some(line) = fit_pairs(points) else {
        return;
    };
    println!(
        "Linear fit: {:.2} ms + {:.4} ms (standard error {:.4}) per {unit}; R² = {:.3}",
        line.intercept, line.slope, line.slope_error, line.explained
    );
}
