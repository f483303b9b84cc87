//! Processor time per sub-request and memory per connection.

use clap::ArgMatches;

use sablehaven_measurements::fit::{Line, fit_pairs};

use crate::{
    children::{Backends, run_agent},
    given,
};

/// One run: the numbers that the agent's process prints, by name.
struct Run {
    shards: f64,
    queries: f64,
    seconds: f64,
    processor_seconds: f64,
    attempts: f64,
    connections: f64,
    resident_bytes: f64,
}

pub fn run(arguments: &ArgMatches) {
    let shards: Vec<u64> = arguments
        .get_many("shards")
        .expect("has a default")
        .copied()
        .collect();
    println!("shards  connections  queries/s  processor us/query  attempts/query  resident MiB");
    let mut runs = Vec::new();
    // Repeats go round the points, so that a change of the machine's load touches all of them.
    for _ in 0..given(arguments, "repeats") {
        for shards in &shards {
            let run = one_run(*shards, arguments);
            print(&run);
            runs.push(run);
        }
    }
    let processor = runs
        .iter()
        .map(|run| (run.shards, run.processor_us_per_query()));
    print_line(
        "processor time per sub-request, us",
        fit_pairs(&processor.collect::<Vec<_>>()),
    );
    let memory = runs
        .iter()
        .map(|run| (run.connections, run.resident_bytes / 1024.0));
    print_line(
        "memory per back-end connection, KiB",
        fit_pairs(&memory.collect::<Vec<_>>()),
    );
}

impl Run {
    fn processor_us_per_query(&self) -> f64 {
        self.processor_seconds / self.queries * 1e6
    }
}

fn one_run(shards: u64, arguments: &ArgMatches) -> Run {
    let replicas = given(arguments, "replicas");
    let backends = Backends::start(&[("shards", shards), ("replicas", replicas)]);
    let numbers = run_agent(
        &[
            ("replicas", replicas),
            ("seconds", given(arguments, "seconds")),
            ("callers", given(arguments, "callers")),
        ],
        &backends.addresses,
    );
    backends.finish();
    Run {
        shards: shards as f64,
        queries: numbers[0],
        seconds: numbers[1],
        processor_seconds: numbers[2],
        attempts: numbers[3],
        connections: numbers[6],
        resident_bytes: numbers[7],
    }
}

fn print(run: &Run) {
    println!(
        "{:>6}  {:>11}  {:>9.0}  {:>18.1}  {:>14.3}  {:>12.1}",
        run.shards,
        run.connections,
        run.queries / run.seconds,
        run.processor_us_per_query(),
        run.attempts / run.queries,
        run.resident_bytes / 1024.0 / 1024.0,
    );
}

fn print_line(what: &str, line: Option<Line>) {
    let Some(line) = line else {
        println!("{what}: too few points for a line");
        return;
    };
    println!(
        "{what}: slope {:.2} +- {:.2} (standard error), intercept {:.1}, R^2 {:.4}",
        line.slope, line.slope_error, line.intercept, line.explained
    );
}
