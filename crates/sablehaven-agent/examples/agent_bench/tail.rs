//! Measures tail latency with slow replies and stuck replicas, and compares it with the baseline.

use clap::ArgMatches;

use crate::{
    children::{BackendProcess, run_agent},
    numeric_value,
};

/// The measurements of one run, with the routing of the agent or of the baseline.
struct Run {
    queries: f64,
    attempts: f64,
    required_sub_requests: f64,
    answered_shards: f64,
    p50_ms: f64,
    p99_ms: f64,
    p999_ms: f64,
    /// Number of attempts received by the back ends, including warm-up.
    received_attempts: u64,
}

pub fn run(arguments: &ArgMatches) {
    println!("routing   queries  p50 ms  p99 ms  p99.9 ms  answered shards  extra load");
    let product = measure_run(arguments, 0);
    print("product", &product);
    let baseline = measure_run(arguments, 1);
    print("baseline", &baseline);
    println!("p99 ratio: {:.3}", product.p99_ms / baseline.p99_ms);
    println!(
        "attempts received by back ends, including warm-up: product {}, baseline {}",
        product.received_attempts, baseline.received_attempts
    );
}

fn measure_run(arguments: &ArgMatches, baseline: u64) -> Run {
    let forwarded_arguments = |names: &[&'static str]| -> Vec<(&'static str, u64)> {
        let pairs = names
            .iter()
            .map(|name| (*name, numeric_value(arguments, name)));
        pairs.collect()
    };
    let backends =
        forwarded_arguments(&["shards", "replicas", "reply-ms", "slow-per-mille", "stuck"]);
    let backends = BackendProcess::start(&backends);
    let mut agent = forwarded_arguments(&[
        "replicas",
        "seconds",
        "warm-up-seconds",
        "queries-per-second",
        "deadline-ms",
    ]);
    agent.push(("baseline", baseline));
    let numbers = run_agent(&agent, &backends.addresses);
    Run {
        queries: numbers[0],
        attempts: numbers[3],
        required_sub_requests: numbers[4],
        answered_shards: numbers[5],
        p50_ms: numbers[8],
        p99_ms: numbers[9],
        p999_ms: numbers[10],
        received_attempts: backends.finish(),
    }
}

fn print(name: &str, run: &Run) {
    println!(
        "{name:<8}  {:>7}  {:>6.1}  {:>6.1}  {:>8.1}  {:>14.3}%  {:>9.2}%",
        run.queries,
        run.p50_ms,
        run.p99_ms,
        run.p999_ms,
        run.answered_shards / run.required_sub_requests * 100.0,
        (run.attempts / run.required_sub_requests - 1.0) * 100.0,
    );
}
