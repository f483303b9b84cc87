//! Tail latency with slow replies and stuck replicas, against the baseline.

use clap::ArgMatches;

use crate::{
    children::{Backends, run_agent},
    given,
};

/// One run, with the product's routing or the baseline's.
struct Run {
    queries: f64,
    attempts: f64,
    needed: f64,
    answered: f64,
    p50: f64,
    p99: f64,
    p999: f64,
    seen: u64,
}

pub fn run(arguments: &ArgMatches) {
    println!("routing   queries  p50 ms  p99 ms  p99.9 ms  answered shards  extra load");
    let product = one_run(arguments, 0);
    print("product", &product);
    let baseline = one_run(arguments, 1);
    print("baseline", &baseline);
    println!("p99 ratio: {:.3}", product.p99 / baseline.p99);
    println!(
        "attempts that back ends saw, warm-up included: product {}, baseline {}",
        product.seen, baseline.seen
    );
}

fn one_run(arguments: &ArgMatches, baseline: u64) -> Run {
    let pass_on = |names: &[&'static str]| -> Vec<(&'static str, u64)> {
        let pairs = names.iter().map(|name| (*name, given(arguments, name)));
        pairs.collect()
    };
    let backends = pass_on(&["shards", "replicas", "reply-ms", "slow-per-mille", "stuck"]);
    let backends = Backends::start(&backends);
    let mut agent = pass_on(&[
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
        needed: numbers[4],
        answered: numbers[5],
        p50: numbers[8],
        p99: numbers[9],
        p999: numbers[10],
        seen: backends.finish(),
    }
}

fn print(name: &str, run: &Run) {
    println!(
        "{name:<8}  {:>7}  {:>6.1}  {:>6.1}  {:>8.1}  {:>14.3}%  {:>9.2}%",
        run.queries,
        run.p50,
        run.p99,
        run.p999,
        run.answered / run.needed * 100.0,
        (run.attempts / run.needed - 1.0) * 100.0,
    );
}
