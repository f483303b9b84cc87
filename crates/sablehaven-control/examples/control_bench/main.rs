//! Measures control replicas: commits and claims per second, syncs, the throughput of the disk itself,
//! failover time and recovery time. Run with `cargo run --release -p sablehaven-control --example
//! control_bench -- all`.

mod client;
mod cluster;
mod failover;
#[path = "../../tests/support/forwarder.rs"]
mod forwarder;
mod raw_disk;
mod recovery;
mod throughput;

use std::{path::PathBuf, time::Duration};

use clap::{Arg, ArgMatches, Command, value_parser};

fn arguments() -> Command {
    Command::new("control_bench")
        .about("Measures control replicas in one process over loopback connections")
        .arg(
            Arg::new("part")
                .value_parser(["all", "claims", "commits", "failover", "recovery"])
                .default_value("all"),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .help("Duration of each load, in seconds")
                .value_parser(value_parser!(u64))
                .default_value("5"),
        )
        .arg(
            Arg::new("rounds")
                .long("rounds")
                .help("Number of leaders lost in each failover measurement")
                .value_parser(value_parser!(usize))
                .default_value("10"),
        )
        .arg(
            Arg::new("folder")
                .long("folder")
                .help("Folder for the data folders; it determines which disk is measured")
                .value_parser(value_parser!(PathBuf))
                .default_value("target"),
        )
}

#[tokio::main]
async fn main() {
    let arguments = arguments().get_matches();
    let part = argument::<String>(&arguments, "part");
    let duration = Duration::from_secs(argument::<u64>(&arguments, "seconds"));
    let rounds = argument::<usize>(&arguments, "rounds");
    let folder = tempfile::Builder::new()
        .prefix("control-bench-")
        .tempdir_in(argument::<PathBuf>(&arguments, "folder"))
        .expect("create data folder");
    let is_selected = |name: &str| part == name || part == "all";
    if is_selected("claims") {
        throughput::measure_claims(folder.path(), duration).await;
    }
    if is_selected("commits") {
        throughput::measure_commits(folder.path(), duration).await;
    }
    if is_selected("failover") {
        failover::measure_kills(folder.path(), rounds).await;
        failover::measure_silent_partitions(folder.path(), rounds).await;
        failover::measure_planned_stops(folder.path(), rounds).await;
    }
    if is_selected("recovery") {
        recovery::measure_all(folder.path()).await;
    }
}

fn argument<Value: Clone + Send + Sync + 'static>(arguments: &ArgMatches, name: &str) -> Value {
    let value = arguments.get_one::<Value>(name);
    value.expect("an argument with a default").clone()
}
