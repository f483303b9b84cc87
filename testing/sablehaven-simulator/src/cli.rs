//! The command `simulate`.

use std::time::Instant;

use clap::{Arg, ArgAction, ArgMatches, Command, builder::PossibleValuesParser, value_parser};

use crate::{Plan, Report, Scenario, Variant, checks::Counts, run_seed, run_seeds};

/// Seeds after which progress is printed.
const PROGRESS_INTERVAL: u64 = 500;

/// The command line.
pub fn command() -> Command {
    let variants = Variant::ALL.iter().map(|(name, _)| *name);
    let scenarios = Scenario::ALL.iter().map(|(name, _)| *name);
    Command::new("simulate")
        .about("Runs seeded simulations and checks every one; ends with status 1 at a violation")
        .arg(number("seeds", "Seeds to run", "300"))
        .arg(number("first", "The first seed", "1"))
        .arg(number("jobs", "Runs at the same time", "1"))
        .arg(number(
            "trace-lines",
            "Last events to print of a failing run",
            "200",
        ))
        .arg(
            Arg::new("scenario")
                .long("scenario")
                .help("Runs every seed in this scenario instead of taking turns")
                .value_parser(PossibleValuesParser::new(scenarios)),
        )
        .arg(
            Arg::new("variant")
                .long("variant")
                .help("Breaks a mechanism on purpose, to see it found")
                .value_parser(PossibleValuesParser::new(variants)),
        )
        .arg(
            Arg::new("trace")
                .long("trace")
                .help("Prints the last events of a failing run, or of the only run")
                .action(ArgAction::SetTrue),
        )
}

fn number(name: &'static str, help: &'static str, default: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .help(help)
        .default_value(default)
        .value_parser(value_parser!(u64))
}

/// Runs the command; true if no run broke a property.
pub fn run(arguments: &ArgMatches) -> bool {
    let plan = Plan {
        scenario: text(arguments, "scenario").and_then(Scenario::named),
        variant: text(arguments, "variant").and_then(Variant::named),
    };
    let seeds = value(arguments, "seeds");
    let mut summary = Summary::new(seeds);
    run_seeds(
        plan,
        value(arguments, "first"),
        seeds,
        value(arguments, "jobs") as usize,
        |report| summary.add(report),
    );
    summary.print();
    if let Some(failed) = &summary.failed {
        print_failure(plan, failed, arguments);
    }
    summary.failed.is_none()
}

fn text<'a>(arguments: &'a ArgMatches, name: &str) -> Option<&'a str> {
    arguments.get_one::<String>(name).map(String::as_str)
}

fn value(arguments: &ArgMatches, name: &str) -> u64 {
    arguments.get_one::<u64>(name).copied().unwrap_or_default()
}

/// What came of all seeds so far.
struct Summary {
    started: Instant,
    seeds: u64,
    done: u64,
    counts: Counts,
    failed: Option<Report>,
}

impl Summary {
    fn new(seeds: u64) -> Self {
        Self {
            started: Instant::now(),
            seeds,
            done: 0,
            counts: Counts::default(),
            failed: None,
        }
    }

    /// Takes one report; false at the first violation.
    fn add(&mut self, report: Report) -> bool {
        self.done += 1;
        self.counts.add(&report.counts);
        if self.done.is_multiple_of(PROGRESS_INTERVAL) {
            let seconds = self.started.elapsed().as_secs_f64();
            eprintln!("{} of {} seeds, {seconds:.1} s", self.done, self.seeds);
        }
        if report.violation.is_some() {
            self.failed.get_or_insert(report);
        }
        self.failed.is_none()
    }

    fn print(&self) {
        let Counts {
            terms,
            entries,
            versions,
            executions,
            done,
            installed_snapshots,
        } = self.counts;
        let seconds = self.started.elapsed().as_secs_f64();
        println!("{} seeds in {seconds:.1} s", self.done);
        println!("  terms with a leader    {terms}");
        println!("  committed entries      {entries}");
        println!("  installed snapshots    {installed_snapshots}");
        println!("  configuration versions {versions}");
        println!("  executed requests      {executions}");
        println!("  calls answered done    {done}");
    }
}

fn print_failure(plan: Plan, failed: &Report, arguments: &ArgMatches) {
    let Some(violation) = &failed.violation else {
        return;
    };
    println!("seed {} ({:?}): {violation}", failed.seed, failed.scenario);
    if !arguments.get_flag("trace") {
        println!("repeat it with --first {} --seeds 1 --trace", failed.seed);
        return;
    }
    let lines = value(arguments, "trace-lines") as usize;
    let repeated = run_seed(plan, failed.seed, lines);
    for line in repeated.trace {
        println!("{line}");
    }
}
