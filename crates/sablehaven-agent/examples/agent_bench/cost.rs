//! Measures processor time per sub-request and memory per connection.

use clap::ArgMatches;

use sablehaven_measurements::fit::{Line, fit_pairs};

use crate::{
    children::{BackendProcess, run_agent},
    numeric_value,
};

/// The measurements of one run, as printed by the agent process.
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
    // Each repeat runs all points, so that a change in the load of the machine affects all of them.
    for _ in 0..numeric_value(arguments, "repeats") {
        for shards in &shards {
            let run = measure_run(*shards, arguments);
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

fn measure_run(shards: u64, arguments: &ArgMatches) -> Run {
    let replicas = numeric_value(arguments, "replicas");
    let backends = BackendProcess::start(&[("shards", shards), ("replicas", replicas)]);
    let numbers = run_agent(
        &[
            ("replicas", replicas),
            ("seconds", numeric_value(arguments, "seconds")),
            ("callers", numeric_value(arguments, "callers")),
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

fn print_line(description: &str, line: Option<Line>) {
    let Some(line) = line else {
        println!("{description}: too few points for a line");
        return;
    };
    println!(
        "{description}: slope {:.2} +- {:.2} (standard error), intercept {:.1}, R^2 {:.4}",
        line.slope, line.slope_error, line.intercept, line.explained
    );
}
