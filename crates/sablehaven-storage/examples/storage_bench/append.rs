//! Measures appending batches. The rounds alternate with those of a baseline loop that appends and
//! syncs the same number of bytes.

use std::{
    error::Error,
    fs::File,
    os::unix::fs::FileExt,
    path::Path,
    time::{Duration, Instant},
};

use sablehaven_consensus::{Entry, EntryPayload};
use sablehaven_storage::{GroupWrite, Options, Storage};

use sablehaven_measurements::statistics::median;

use crate::{open_with, options};

const BATCH_SIZES: [u64; 4] = [1, 8, 64, 512];
/// The largest number of groups that a batch is spread over.
const GROUPS: u64 = 8;
/// The size of a command. A ledger claim has about this size.
const COMMAND_BYTES: usize = 200;

/// Prints two tables, with and without preallocation, that have a row for each batch size.
pub fn measure(scratch: &Path, rounds: usize, batches: u64) -> Result<(), Box<dyn Error>> {
    for allocation_bytes in [options().allocation_bytes, 0] {
        measure_allocation(scratch, allocation_bytes, rounds, batches)?;
    }
    Ok(())
}

fn measure_allocation(
    scratch: &Path,
    allocation_bytes: u64,
    rounds: usize,
    batches: u64,
) -> Result<(), Box<dyn Error>> {
    println!(
        "\nAppend, allocating {allocation_bytes} bytes at a time: {batches} batches per round, \
         medians of {rounds} rounds"
    );
    println!(
        "| records per batch | syncs per record | bytes per batch | records/s | baseline loop, records/s | ratio | interquartile range of ratios |"
    );
    println!("|---|---|---|---|---|---|---|");
    for size in BATCH_SIZES {
        let folder = scratch.join(format!("append-{size}-{allocation_bytes}"));
        let storage = open_with(
            &folder,
            Options {
                allocation_bytes,
                ..options()
            },
        )?;
        let baseline = File::create(scratch.join(format!("plain-{size}-{allocation_bytes}")))?;
        measure_size(storage.storage, &baseline, size, rounds, batches)?;
    }
    Ok(())
}

fn measure_size(
    mut storage: Storage,
    baseline: &File,
    size: u64,
    rounds: usize,
    batches: u64,
) -> Result<(), Box<dyn Error>> {
    let mut baseline_length = 0;
    let (mut rates, mut baseline_rates, mut ratios) = (Vec::new(), Vec::new(), Vec::new());
    let mut next_index = 1;
    // The first round is a warm-up and is not counted, so there is one more than requested.
    for round in 0..=rounds {
        let bytes_before = storage.counters().log_bytes;
        let elapsed = append(&mut storage, &mut next_index, size, batches)?;
        let bytes = (storage.counters().log_bytes - bytes_before) / batches;
        let baseline_elapsed = append_baseline(baseline, &mut baseline_length, bytes, batches)?;
        if round > 0 {
            let records = (size * batches) as f64;
            rates.push(records / elapsed.as_secs_f64());
            baseline_rates.push(records / baseline_elapsed.as_secs_f64());
            ratios.push(baseline_elapsed.as_secs_f64() / elapsed.as_secs_f64());
        }
    }
    let counters = storage.counters();
    let records = size * batches * (rounds as u64 + 1);
    let syncs = counters.log_syncs as f64 / records as f64;
    let bytes = counters.log_bytes / counters.log_syncs;
    let ratio = median(&ratios);
    let (lower, upper) = (ratios[ratios.len() / 4], ratios[ratios.len() * 3 / 4]);
    let (rate, baseline_rate) = (median(&rates), median(&baseline_rates));
    println!(
        "| {size} | {syncs:.4} | {bytes} | {rate:.0} | {baseline_rate:.0} | {ratio:.2} | {lower:.2} to {upper:.2} |"
    );
    Ok(())
}

/// Appends batches and returns the time spent in [`Storage::write`]. A group's entries have
/// consecutive indexes.
fn append(
    storage: &mut Storage,
    next_index: &mut u64,
    size: u64,
    batches: u64,
) -> Result<Duration, Box<dyn Error>> {
    let mut elapsed = Duration::ZERO;
    for _ in 0..batches {
        let batch = batch(*next_index, size);
        *next_index += size.div_ceil(GROUPS);
        let begin = Instant::now();
        storage.write(&batch)?;
        elapsed += begin.elapsed();
    }
    Ok(elapsed)
}

fn batch(first_index: u64, size: u64) -> Vec<GroupWrite> {
    let groups = GROUPS.min(size);
    let write = |group: u64| GroupWrite {
        group: group as u32,
        entries: (0..size / groups)
            .map(|offset| entry(first_index + offset))
            .collect(),
        ..GroupWrite::default()
    };
    (0..groups).map(write).collect()
}

/// Returns an entry whose command depends on its index.
pub fn entry(index: u64) -> Entry {
    let mut command = vec![0; COMMAND_BYTES];
    for (position, byte) in command.iter_mut().enumerate() {
        *byte = (index as usize * 31 + position * 7) as u8;
    }
    Entry {
        index,
        term: 1,
        payload: EntryPayload::Command(command),
    }
}

/// Appends and syncs plain bytes, which is the minimum work of any durable log.
fn append_baseline(
    file: &File,
    length: &mut u64,
    bytes: u64,
    batches: u64,
) -> Result<Duration, Box<dyn Error>> {
    let content = vec![7; usize::try_from(bytes)?];
    let begin = Instant::now();
    for _ in 0..batches {
        file.write_all_at(&content, *length)?;
        file.sync_data()?;
        *length += bytes;
    }
    Ok(begin.elapsed())
}
