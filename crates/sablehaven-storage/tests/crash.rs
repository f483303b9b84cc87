//! Injects a crash or a failed operation at every disk operation of random workloads, and limits
//! the free space of the disk. After recovery, acknowledged writes must be present, and an
//! unacknowledged write must be present completely or not at all.

mod support;

use sablehaven_faults::disk::{FaultyDisk, UnsyncedLoss};
use sablehaven_storage::{OpenedStorage, Options, StorageError};
use support::{Model, Step, open_with, options, run, workload};

/// The number of workload seeds per test, unless the environment variable `STORAGE_SEEDS` is set.
const DEFAULT_SEEDS: u64 = 6;
const STEPS: usize = 24;
/// More disk operations than any workload performs.
const MAX_OPERATIONS: u64 = 4000;

/// A disk, and the options with which storage on it is opened.
struct Machine {
    disk: FaultyDisk,
    options: Options,
}

impl Machine {
    /// Workloads with an even seed run without preallocation, so that the log grows record by
    /// record.
    fn new(workload_seed: u64, disk_seed: u64) -> Self {
        let mut options = options();
        options.allocation_bytes *= workload_seed % 2;
        let disk = FaultyDisk::new(disk_seed);
        Self { disk, options }
    }

    fn open(&self) -> Result<OpenedStorage, StorageError> {
        open_with(&self.disk, self.options.clone())
    }
}

/// The fault that is injected into a run.
#[derive(Clone, Copy, Debug)]
enum InjectedFault {
    /// A power failure, followed by a restart.
    Crash(UnsyncedLoss),
    /// A failed disk operation, after which the process is killed and restarted.
    FailedOperation,
}

/// A violation of the durability guarantees.
#[derive(Debug)]
#[allow(dead_code)] // The fields are printed when a test fails.
enum Violation {
    NotRecovered(StorageError),
    WrongState { expected: String },
    AcceptedAfterFailure,
}

/// Runs the workload up to the first error, and returns the number of acknowledged steps.
fn run_until_error(machine: &Machine, workload: &[Step]) -> Result<usize, Violation> {
    let Ok(opened) = machine.open() else {
        return Ok(0);
    };
    let mut storage = opened.storage;
    for (acknowledged, step) in workload.iter().enumerate() {
        if run(&mut storage, &step.operation).is_err() {
            // Storage is poisoned, so no later call may succeed.
            return match run(&mut storage, &step.operation) {
                Err(StorageError::Poisoned { .. }) => Ok(acknowledged),
                _ => Err(Violation::AcceptedAfterFailure),
            };
        }
    }
    Ok(workload.len())
}

fn recover(machine: &Machine) -> Result<Model, Violation> {
    let opened = machine.open().map_err(Violation::NotRecovered)?;
    Ok(opened.groups)
}

fn state_after(workload: &[Step], steps: usize) -> Model {
    match steps {
        0 => Model::new(),
        _ => workload[steps - 1].after.clone(),
    }
}

/// Checks the state recovered after `acknowledged` steps, and returns the number of steps it
/// contains. The step after the acknowledged ones may be included.
fn check(recovered: &Model, workload: &[Step], acknowledged: usize) -> Result<usize, Violation> {
    if *recovered == state_after(workload, acknowledged) {
        return Ok(acknowledged);
    }
    let next = acknowledged + 1;
    if next <= workload.len() && *recovered == state_after(workload, next) {
        return Ok(next);
    }
    let expected = format!("the state after {acknowledged} or {next} steps");
    Err(Violation::WrongState { expected })
}

/// Runs the workload with a fault at operation `at`. Returns `Ok(false)` if the workload ends
/// before it.
fn run_with_fault(
    machine: &Machine,
    workload: &[Step],
    fault: InjectedFault,
    at: u64,
) -> Result<bool, Violation> {
    let disk = &machine.disk;
    match fault {
        InjectedFault::Crash(_) => disk.crash_at(at),
        InjectedFault::FailedOperation => disk.fail_at(at),
    }
    let acknowledged = run_until_error(machine, workload)?;
    let fault_reached = disk.counts().all >= at;
    match fault {
        InjectedFault::Crash(loss) => disk.restart(loss),
        InjectedFault::FailedOperation => disk.kill_process(),
    }
    // Crashes again, during the recovery from the fault or just after it.
    disk.crash_at(disk.counts().all + 1 + at % 6);
    let first_recovery = match machine.open() {
        Ok(opened) => Some(opened.groups),
        Err(_) if disk.is_crashed() => None,
        Err(error) => return Err(Violation::NotRecovered(error)),
    };
    let loss = match fault {
        InjectedFault::Crash(loss) => loss,
        InjectedFault::FailedOperation => UnsyncedLoss::Random,
    };
    disk.restart(loss);
    let recovered = recover(machine)?;
    let reached = check(&recovered, workload, acknowledged)?;
    // State that a recovery has returned must be durable.
    disk.restart(UnsyncedLoss::All);
    let opened = machine.open().map_err(Violation::NotRecovered)?;
    if opened.groups != recovered || first_recovery.is_some_and(|groups| groups != recovered) {
        let expected = "the state that an earlier recovery returned".to_owned();
        return Err(Violation::WrongState { expected });
    }
    // The rest of the workload must succeed on the recovered state.
    let mut storage = opened.storage;
    for step in &workload[reached..] {
        run(&mut storage, &step.operation).map_err(Violation::NotRecovered)?;
    }
    drop(storage);
    let end = check(&recover(machine)?, workload, workload.len())?;
    assert_eq!(end, workload.len());
    Ok(fault_reached)
}

fn seeds() -> u64 {
    let setting = std::env::var("STORAGE_SEEDS").ok();
    let seeds = setting.and_then(|seeds| seeds.parse().ok());
    seeds.unwrap_or(DEFAULT_SEEDS)
}

/// Runs each seed's workload once per disk operation, with the fault at that operation. Returns the
/// number of runs, or the first violation with its seed and operation.
fn inject_at_every_operation(
    fault: InjectedFault,
    prepare: impl Fn(&FaultyDisk),
) -> Result<u64, (u64, u64, Violation)> {
    let mut runs = 0;
    for seed in 0..seeds() {
        let workload = workload(seed, STEPS);
        for at in 1..MAX_OPERATIONS {
            let machine = Machine::new(seed, seed * MAX_OPERATIONS + at);
            prepare(&machine.disk);
            let result = run_with_fault(&machine, &workload, fault, at);
            runs += 1;
            match result {
                Ok(true) => {}
                Ok(false) => break,
                Err(violation) => return Err((seed, at, violation)),
            }
        }
    }
    Ok(runs)
}

#[test]
fn crash_at_every_operation_loses_nothing_acknowledged() {
    for loss in [
        UnsyncedLoss::All,
        UnsyncedLoss::Nothing,
        UnsyncedLoss::Random,
    ] {
        let result = inject_at_every_operation(InjectedFault::Crash(loss), |_| ());
        let runs = result.unwrap_or_else(|violation| panic!("{loss:?}: {violation:?}"));
        println!("{loss:?}: {runs} runs");
        assert!(runs > 1000, "{runs} runs");
    }
}

#[test]
fn failed_operation_ends_acknowledgements_and_loses_nothing() {
    let result = inject_at_every_operation(InjectedFault::FailedOperation, |_| ());
    let runs = result.unwrap_or_else(|violation| panic!("{violation:?}"));
    println!("{runs} runs");
    assert!(runs > 1000, "{runs} runs");
}

#[test]
fn checker_detects_missing_file_sync() {
    let crash = InjectedFault::Crash(UnsyncedLoss::Random);
    let result = inject_at_every_operation(crash, FaultyDisk::ignore_file_syncs);
    assert!(result.is_err());
}

#[test]
fn checker_detects_missing_folder_sync() {
    let crash = InjectedFault::Crash(UnsyncedLoss::Random);
    let result = inject_at_every_operation(crash, FaultyDisk::ignore_folder_syncs);
    assert!(result.is_err());
}

#[test]
fn checker_detects_trust_in_page_cache_after_failed_sync() {
    let failure = InjectedFault::FailedOperation;
    let result = inject_at_every_operation(failure, FaultyDisk::ignore_identical_writes);
    assert!(result.is_err());
}

#[test]
fn full_disk_ends_acknowledgements_and_loses_nothing() {
    let workload = workload(7, STEPS);
    for free_bytes in (0..40_000).step_by(97) {
        let machine = Machine::new(7, free_bytes);
        machine.disk.set_free_bytes(Some(free_bytes));
        let acknowledged =
            run_until_error(&machine, &workload).expect("no call succeeds after a failure");
        machine.disk.set_free_bytes(None);
        machine.disk.kill_process();
        let recovered =
            recover(&machine).unwrap_or_else(|violation| panic!("{free_bytes}: {violation:?}"));
        check(&recovered, &workload, acknowledged).expect("acknowledged writes are recovered");
    }
}
