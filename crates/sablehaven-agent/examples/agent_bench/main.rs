//! What the agent costs, and what its routing does to the tail.
//!
//! `cost`: processor time per sub-request and memory per back-end connection, each as a slope over
//! the number of shards. `tail`: latency of queries over many shards with slow replies and stuck
//! replicas, against a plain baseline (random replica, no hedging) in the same run. Each point runs
//! the real agent in a process of its own; back ends are scripted doubles in another one, on
//! loopback.

mod agent_process;
mod backends;
mod baseline;
mod children;
mod cost;
#[allow(dead_code, reason = "the benchmark uses a part of the tests' doubles")]
#[path = "../../tests/agent/support/mod.rs"]
mod support;
mod tail;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

fn number(name: &'static str, default: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_parser(value_parser!(u64))
        .help(help)
}

fn command() -> Command {
    let cost = Command::new("cost")
        .about("Processor time per sub-request and memory per connection")
        .arg(
            Arg::new("shards")
                .long("shards")
                .action(ArgAction::Append)
                .value_delimiter(',')
                .value_parser(value_parser!(u64))
                .default_values(["5", "15", "30", "55"])
                .help("Numbers of shards, one point each"),
        )
        .arg(number("repeats", "3", "Runs of each point"))
        .arg(number("replicas", "4", "Replicas of each shard"))
        .arg(number("seconds", "5", "Duration of one run"))
        .arg(number(
            "callers",
            "8",
            "Callers, each with one query at a time",
        ));
    let tail = Command::new("tail")
        .about("Tail latency against a random replica without hedging")
        .arg(number("shards", "55", "Shards"))
        .arg(number("replicas", "4", "Replicas of each shard"))
        .arg(number("seconds", "30", "Duration of one run"))
        .arg(number(
            "warm-up-seconds",
            "10",
            "Load before the measurement",
        ))
        .arg(number("queries-per-second", "40", "Offered load"))
        .arg(number("reply-ms", "5", "Time of an ordinary reply"))
        .arg(number(
            "slow-per-mille",
            "10",
            "Replies that take ten times as long",
        ))
        .arg(number(
            "stuck",
            "1",
            "Replicas of each shard that never reply",
        ))
        .arg(number("deadline-ms", "1000", "Deadline of a query"));
    Command::new("agent_bench")
        .about("Benchmarks of the agent")
        .subcommand_required(true)
        .subcommand(cost)
        .subcommand(tail)
        .subcommand(backends::command())
        .subcommand(agent_process::command())
}

fn main() {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("cost", arguments)) => cost::run(arguments),
        Some(("tail", arguments)) => tail::run(arguments),
        Some((backends::NAME, arguments)) => backends::run(arguments),
        Some((agent_process::NAME, arguments)) => agent_process::run(arguments),
        _ => unreachable!("a subcommand is required"),
    }
}

/// A number among the arguments; every one has a default.
fn given(arguments: &ArgMatches, name: &str) -> u64 {
    *arguments.get_one::<u64>(name).expect("has a default")
}
