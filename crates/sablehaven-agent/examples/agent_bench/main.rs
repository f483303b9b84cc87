//! Benchmarks of the resource use of the agent and of the effect of its routing on tail latency.
//!
//! `cost` measures processor time per sub-request and memory per back-end connection, each as the slope
//! of a line over the number of shards. `tail` measures the latency of queries over many shards with slow
//! replies and stuck replicas, and compares it with a baseline (random replica, no hedging) in the same
//! run. Each point runs the real agent in a process of its own. The back ends are scripted test doubles in
//! another process, on loopback.

mod agent_process;
mod backends;
mod baseline;
mod children;
mod cost;
#[allow(dead_code, reason = "the benchmark uses only some of the test helpers")]
#[path = "../../tests/agent/support/mod.rs"]
mod support;
mod tail;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

/// Defines an argument with a numeric value.
fn numeric_arg(name: &'static str, default: &'static str, help: &'static str) -> Arg {
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
                .help("Numbers of shards; each is one point"),
        )
        .arg(numeric_arg("repeats", "3", "Number of runs of each point"))
        .arg(numeric_arg("replicas", "4", "Replicas of each shard"))
        .arg(numeric_arg("seconds", "5", "Duration of one run"))
        .arg(numeric_arg(
            "callers",
            "8",
            "Number of callers, each with one query at a time",
        ));
    let tail = Command::new("tail")
        .about("Tail latency against a random replica without hedging")
        .arg(numeric_arg("shards", "55", "Shards"))
        .arg(numeric_arg("replicas", "4", "Replicas of each shard"))
        .arg(numeric_arg("seconds", "30", "Duration of one run"))
        .arg(numeric_arg(
            "warm-up-seconds",
            "10",
            "Duration of the load before the measurement",
        ))
        .arg(numeric_arg("queries-per-second", "40", "Offered load"))
        .arg(numeric_arg("reply-ms", "5", "Delay of an ordinary reply"))
        .arg(numeric_arg(
            "slow-per-mille",
            "10",
            "Replies per thousand that are delayed ten times as long",
        ))
        .arg(numeric_arg(
            "stuck",
            "1",
            "Replicas of each shard that never reply",
        ))
        .arg(numeric_arg("deadline-ms", "1000", "Deadline of a query"));
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

/// Returns the value of a numeric argument. All of them have defaults.
fn numeric_value(arguments: &ArgMatches, name: &str) -> u64 {
    *arguments.get_one::<u64>(name).expect("has a default")
}
