//! Measures control replicas: commits and claims a second, syncs, the disk's raw limit, time without
//! a leader, and recovery. Run with `cargo run --release -p sablehaven-control --example
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
                .help("Length of each load")
                .value_parser(value_parser!(u64))
                .default_value("5"),
        )
        .arg(
            Arg::new("rounds")
                .long("rounds")
                .help("Leaders lost in each failover measurement")
                .value_parser(value_parser!(usize))
                .default_value("10"),
        )
        .arg(
            Arg::new("folder")
                .long("folder")
                .help("Where the data folders are made; names the disk that is measured")
                .value_parser(value_parser!(PathBuf))
                .default_value("target"),
        )
}

#[tokio::main]
async fn main() {
    let arguments = arguments().get_matches();
    let part = one::<String>(&arguments, "part");
    let length = Duration::from_secs(one::<u64>(&arguments, "seconds"));
    let rounds = one::<usize>(&arguments, "rounds");
    let folder = tempfile::Builder::new()
        .prefix("control-bench-")
        .tempdir_in(one::<PathBuf>(&arguments, "folder"))
        .expect("make data folder");
    let is_wanted = |name: &str| part == name || part == "all";
    if is_wanted("claims") {
        throughput::claims(folder.path(), length).await;
    }
    if is_wanted("commits") {
        throughput::commits(folder.path(), length).await;
    }
    if is_wanted("failover") {
        failover::kills(folder.path(), rounds).await;
        failover::silent_partitions(folder.path(), rounds).await;
        failover::planned_stops(folder.path(), rounds).await;
    }
    if is_wanted("recovery") {
        recovery::run(folder.path()).await;
    }
}

fn one<Value: Clone + Send + Sync + 'static>(arguments: &ArgMatches, name: &str) -> Value {
    let value = arguments.get_one::<Value>(name);
    value.expect("an argument with a default").clone()
}
