//! Measures the distribution of state from a control service (a test double or real replicas) over
//! real relays to real subscriptions. All run in one process and connect over loopback, with the
//! required one-way latencies added to the connections.
//!
//! `cargo run --release -p sablehaven-relay --example distribution_bench -- --help`

mod control_side;
mod fit;
mod fleet;
mod latency;
mod processor_time;
mod propagation;
mod rest;
mod returning;
mod snapshot;

#[allow(dead_code)]
#[path = "../../tests/support/control_double.rs"]
mod control_double;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

/// The options of a run.
struct Options {
    agents: Vec<usize>,
    relays: usize,
    changes: usize,
    seconds: u64,
    latencies: fleet::Latencies,
    control: fleet::ControlKind,
}

fn main() {
    let matches = command().get_matches();
    let options = Options {
        agents: number_list_argument(&matches, "agents"),
        relays: *matches.get_one("relays").expect("has a default"),
        changes: *matches.get_one("changes").expect("has a default"),
        seconds: *matches.get_one("seconds").expect("has a default"),
        latencies: match matches.get_flag("no-latencies") {
            true => fleet::Latencies::None,
            false => fleet::Latencies::Required,
        },
        control: match matches.get_flag("real-control") {
            true => fleet::ControlKind::Real,
            false => fleet::ControlKind::Double,
        },
    };
    let parts = list_argument(&matches, "parts");
    println!("load average before: {}", processor_time::load_average());
    for part in parts {
        match part.as_str() {
            "propagation" => propagation::measure(&options),
            "rest" => rest::measure(&options),
            "snapshot" => snapshot::measure(),
            "return" => returning::measure(&options),
            other => println!("unknown part '{other}'"),
        }
    }
    println!("load average after: {}", processor_time::load_average());
}

fn command() -> Command {
    Command::new("distribution_bench")
        .about("Measures the distribution of committed state to agents")
        .arg(
            Arg::new("agents")
                .long("agents")
                .default_value("10,100,300,1000")
                .help("Numbers of agents, separated by commas; the agents only subscribe"),
        )
        .arg(
            Arg::new("relays")
                .long("relays")
                .default_value("1")
                .value_parser(value_parser!(usize))
                .help("Number of relays; agents are spread over them"),
        )
        .arg(
            Arg::new("changes")
                .long("changes")
                .default_value("40")
                .value_parser(value_parser!(usize))
                .help("Number of changes committed for each number of agents"),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .default_value("27")
                .value_parser(value_parser!(u64))
                .help("Duration of each idle phase and each phase with changes, in seconds"),
        )
        .arg(
            Arg::new("no-latencies")
                .long("no-latencies")
                .action(ArgAction::SetTrue)
                .help("Measure propagation without added latencies and forwarders"),
        )
        .arg(
            Arg::new("real-control")
                .long("real-control")
                .action(ArgAction::SetTrue)
                .help("Measure propagation from three real control replicas, not the test double"),
        )
        .arg(
            Arg::new("parts")
                .long("parts")
                .default_value("propagation,rest,snapshot,return")
                .help("Measurements to run, separated by commas"),
        )
}

fn number_list_argument(matches: &ArgMatches, name: &str) -> Vec<usize> {
    let parts = list_argument(matches, name);
    let parsed = parts.iter().filter_map(|part| part.parse().ok());
    parsed.collect()
}

fn list_argument(matches: &ArgMatches, name: &str) -> Vec<String> {
    let text: &String = matches.get_one(name).expect("has a default");
    text.split(',').map(|part| part.trim().to_owned()).collect()
}
