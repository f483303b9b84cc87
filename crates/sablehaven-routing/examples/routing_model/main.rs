//! A discrete-event model of agents and back ends, to measure the routing mechanisms against plain
//! baselines. Every run is determined by its seed; times are the model's, not the machine's.

mod arena;
mod experiments;
mod metrics;
mod policy;
mod runs;
mod scenario;
mod scheduler;
mod server;
mod shared_bucket;
mod simulation;
mod table;

use clap::{Arg, Command, value_parser};
use runs::Plan;

/// An experiment: runs and prints its tables.
type Experiment = fn(Plan);

/// The experiments by name.
const EXPERIMENTS: &[(&str, Experiment)] = &[
    ("tail", experiments::tail::run),
    ("shedding", experiments::shedding::run),
    ("overload", experiments::overload::run),
    ("cold-start", experiments::cold_start::run),
    ("reports", experiments::reports::run),
    ("budget", experiments::budget::run),
    ("overload-trace", experiments::overload::trace),
];

fn command() -> Command {
    let names = EXPERIMENTS.iter().map(|(name, _)| *name);
    Command::new("routing_model")
        .about("Measures routing mechanisms in a model, against plain baselines")
        .arg(
            Arg::new("experiment")
                .required(true)
                .value_parser(names.chain(["all"]).collect::<Vec<_>>()),
        )
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .value_parser(value_parser!(u64).range(1..))
                .default_value("5"),
        )
        .arg(
            Arg::new("threads")
                .long("threads")
                .value_parser(value_parser!(u64).range(1..))
                .default_value("5"),
        )
}

fn main() {
    let matches = command().get_matches();
    let wanted = matches.get_one::<String>("experiment").expect("required");
    let plan = Plan {
        seeds: *matches.get_one("seeds").expect("has a default"),
        threads: *matches.get_one::<u64>("threads").expect("has a default") as usize,
    };
    for (name, run) in EXPERIMENTS {
        let is_trace = name.ends_with("trace");
        if wanted == name || (wanted == "all" && !is_trace) {
            run(plan);
        }
    }
}
