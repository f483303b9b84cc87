//! The `fleet` binary.

use std::{
    ffi::OsString,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::ExitCode,
    time::Duration,
};

use clap::ArgMatches;
use sablehaven_fleet::{
    capacity::{self, CapacityReport, CapacitySettings, Part, subsets, target},
    command_line::{self, value},
    demo_command::{self, DemoSettings},
    describe,
    experiment::{self, ExperimentFile},
    load_command::{self, LoadSettings},
    run_command::{self, RunSettings},
    world::FleetError,
};
use sablehaven_harness::{PlanSize, Program, child_main};
use sablehaven_history::{History, Limits, Report};
use sablehaven_standins::caller::summarise;
use tokio_util::sync::CancellationToken;

fn main() -> ExitCode {
    let matches = command_line::command().get_matches();
    if let Some((command_line::CHILD, matches)) = matches.subcommand() {
        let arguments = matches.get_many::<OsString>("arguments");
        return child_main(arguments.unwrap_or_default().cloned());
    }
    match run(&matches) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("fleet: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs a subcommand; says whether every promise was kept.
fn run(matches: &ArgMatches) -> Result<bool, FleetError> {
    let runtime = tokio::runtime::Runtime::new();
    let runtime = runtime.map_err(|error| FleetError::step("start runtime", error))?;
    runtime.block_on(async {
        let stop = stop_at_interrupt();
        match matches.subcommand() {
            Some(("demo", matches)) => demo(matches, &stop).await,
            Some(("run", matches)) => run_deployment(matches, &stop).await,
            Some(("load", matches)) => load(matches, &stop).await,
            Some(("experiment", matches)) => run_experiment(matches, &stop).await,
            Some(("check", matches)) => check(&value::<PathBuf>(matches, "history")),
            Some(("capacity", matches)) => measure_capacity(matches, &stop).await,
            _ => Ok(false),
        }
    })
}

/// Cancelled at the first Ctrl-C. Child processes end with their parent, however it ends.
fn stop_at_interrupt() -> CancellationToken {
    let stop = CancellationToken::new();
    let interrupted = stop.clone();
    tokio::spawn(async move {
        if tokio::signal::ctrl_c().await.is_ok() {
            interrupted.cancel();
        }
    });
    stop
}

async fn demo(matches: &ArgMatches, stop: &CancellationToken) -> Result<bool, FleetError> {
    let settings = DemoSettings {
        deployment: value(matches, "deployment"),
        seed: value(matches, "seed"),
        limits: Limits::default(),
    };
    let program = program()?;
    let result = tokio::select! {
        result = demo_command::run(&settings, &program) => result?,
        () = stop.cancelled() => return Ok(false),
    };
    write_history(matches, &result.history)?;
    println!("{}", result.text());
    Ok(result.is_kept())
}

async fn run_deployment(
    matches: &ArgMatches,
    stop: &CancellationToken,
) -> Result<bool, FleetError> {
    let size: String = value(matches, "size");
    let seconds = matches.get_one::<u64>("seconds").copied();
    let settings = RunSettings {
        deployment: value(matches, "deployment"),
        size: match size.as_str() {
            "demo" => PlanSize::Demo,
            _ => PlanSize::Full,
        },
        duration: seconds.map(Duration::from_secs),
        rate: value(matches, "rate"),
        with_faults: matches.get_flag("faults"),
        seed: value(matches, "seed"),
    };
    let (history, report) = run_command::run(&settings, &program()?, stop).await?;
    write_history(matches, &history)?;
    show(&history, &report);
    Ok(report.has_no_violation())
}

async fn load(matches: &ArgMatches, stop: &CancellationToken) -> Result<bool, FleetError> {
    let agents = matches.get_many::<SocketAddr>("agent").unwrap_or_default();
    let settings = LoadSettings {
        deployment: value(matches, "deployment"),
        agents: agents.copied().collect(),
        duration: Duration::from_secs(value(matches, "seconds")),
        rate: value(matches, "rate"),
        seed: value(matches, "seed"),
    };
    let history = load_command::run(&settings, stop).await?;
    write_history(matches, &history)?;
    print!("{}", describe::summary_text(&summarise(&history)));
    Ok(true)
}

async fn run_experiment(
    matches: &ArgMatches,
    stop: &CancellationToken,
) -> Result<bool, FleetError> {
    let file = ExperimentFile::read(&value::<PathBuf>(matches, "file"))?;
    let program = program()?;
    let report = tokio::select! {
        report = experiment::run(&file, &program) => report?,
        () = stop.cancelled() => return Ok(false),
    };
    for scenario in &report.scenarios {
        println!("{}", scenario.table());
    }
    if let Some(folder) = matches.get_one::<PathBuf>("output") {
        for path in experiment::write(&report, folder)? {
            println!("{}", path.display());
        }
    }
    Ok(true)
}

async fn measure_capacity(
    matches: &ArgMatches,
    stop: &CancellationToken,
) -> Result<bool, FleetError> {
    let folder = matches.get_one::<PathBuf>("output");
    let mut report = match folder {
        Some(folder) => CapacityReport::read(folder)?,
        None => CapacityReport::default(),
    };
    if !matches.get_flag("print") {
        let settings = capacity_settings(matches);
        let program = program()?;
        tokio::select! {
            measured = capacity::run(&settings, &program, &mut report) => measured?,
            () = stop.cancelled() => return Ok(false),
        }
        if let Some(folder) = folder {
            report.write(folder)?;
        }
    }
    let tables = [
        report.slope_table(),
        target::arithmetic_table(),
        target::table(&report),
        subsets::table(&report.subsets),
    ];
    for table in tables {
        println!("{}", table.markdown());
    }
    Ok(true)
}

fn capacity_settings(matches: &ArgMatches) -> CapacitySettings {
    let names = matches.get_many::<String>("part").unwrap_or_default();
    let mut parts: Vec<Part> = names.filter_map(|name| Part::of_name(name)).collect();
    if parts.is_empty() {
        parts = Part::ALL.to_vec();
    }
    CapacitySettings {
        parts,
        most_agents: value(matches, "agents"),
        most_backends: value(matches, "backends"),
    }
}

fn check(path: &Path) -> Result<bool, FleetError> {
    let history = History::read(path)?;
    let report = sablehaven_history::check(&history, &Limits::default());
    show(&history, &report);
    Ok(report.has_no_violation())
}

fn show(history: &History, report: &Report) {
    println!("{}", describe::summary_text(&summarise(history)));
    print!("{}", describe::promises(report));
}

fn write_history(matches: &ArgMatches, history: &History) -> Result<(), FleetError> {
    match matches.get_one::<PathBuf>("history") {
        Some(path) => Ok(history.write(path)?),
        None => Ok(()),
    }
}

/// This binary, which also plays every child process.
fn program() -> Result<Program, FleetError> {
    let path = std::env::current_exe();
    let path = path.map_err(|error| FleetError::step("find this program", error))?;
    Ok(Program::new(path).with_argument(command_line::CHILD))
}
