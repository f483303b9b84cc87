//! Benchmarks storage on the disk that holds a given folder.
//!
//! Measures the append throughput against a baseline loop that appends and syncs the same number of
//! bytes, and the recovery time as a function of the log's length and of the snapshot's size.
//!
//!     cargo run --release -p sablehaven-storage --example storage_bench -- --folder target

mod append;
mod recovery;

use std::{
    error::Error,
    path::{Path, PathBuf},
    sync::Arc,
};

use clap::{Arg, Command, value_parser};
use sablehaven_storage::{OpenedStorage, Options, RealDisk, Storage, StorageError};

fn main() -> Result<(), Box<dyn Error>> {
    let arguments = command().get_matches();
    let parent: &PathBuf = arguments.get_one("folder").ok_or("no folder")?;
    let rounds: &usize = arguments.get_one("rounds").ok_or("no rounds")?;
    let batches: &u64 = arguments.get_one("batches").ok_or("no batches")?;
    let openings: &usize = arguments.get_one("openings").ok_or("no openings")?;
    let scratch = tempfile::tempdir_in(parent)?;
    append::measure(scratch.path(), *rounds, *batches)?;
    recovery::measure_log(scratch.path(), *openings)?;
    recovery::measure_snapshot(scratch.path(), *openings)?;
    Ok(())
}

fn command() -> Command {
    let folder = Arg::new("folder")
        .long("folder")
        .help("Parent of the scratch folder; the benchmark measures the disk it is on")
        .default_value("target")
        .value_parser(value_parser!(PathBuf));
    let rounds = Arg::new("rounds")
        .long("rounds")
        .help("Append rounds, alternating with the baseline loop; the table shows medians")
        .default_value("41")
        .value_parser(value_parser!(usize));
    let batches = Arg::new("batches")
        .long("batches")
        .help("Batches per append round")
        .default_value("100")
        .value_parser(value_parser!(u64));
    let openings = Arg::new("openings")
        .long("openings")
        .help("How many times each folder is opened; the table shows medians")
        .default_value("9")
        .value_parser(value_parser!(usize));
    Command::new("storage_bench")
        .about("Benchmarks append and recovery in sablehaven-storage")
        .args([folder, rounds, batches, openings])
}

fn options() -> Options {
    Options {
        deployment: "bench".to_owned(),
        ..Options::default()
    }
}

/// Opens a data folder with the default settings.
fn open(folder: &Path) -> Result<OpenedStorage, StorageError> {
    open_with(folder, options())
}

fn open_with(folder: &Path, options: Options) -> Result<OpenedStorage, StorageError> {
    Storage::open(folder, Arc::new(RealDisk), options)
}
