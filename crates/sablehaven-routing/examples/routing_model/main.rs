//! A discrete-event simulation of agents and back ends that compares the routing mechanisms with
//! simple baselines. Runs are deterministic for a given seed, and all times are simulated.

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

/// An experiment, which runs its simulations and prints a table.
type Experiment = fn(Plan);

/// All experiments with their names on the command line.
const EXPERIMENTS: &[(&str, Experiment)] = &[
    ("subsets", experiments::subsets::run),
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
        .about("Compares routing mechanisms with simple baselines in a simulation")
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
    let selected = matches.get_one::<String>("experiment").expect("required");
    let plan = Plan {
        seeds: *matches.get_one("seeds").expect("has a default"),
        threads: *matches.get_one::<u64>("threads").expect("has a default") as usize,
    };
    for (name, run) in EXPERIMENTS {
        let is_trace = name.ends_with("trace");
        if selected == name || (selected == "all" && !is_trace) {
            run(plan);
        }
    }
}
