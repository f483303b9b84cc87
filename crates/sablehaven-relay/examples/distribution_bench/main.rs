//! Measures distribution: from a control double over real relays to real subscriptions, all in one
//! process over loopback, with the brief's one-way latencies added on the links.
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

/// What a run measures.
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
        agents: numbers(&matches, "agents"),
        relays: *matches.get_one("relays").expect("has a default"),
        changes: *matches.get_one("changes").expect("has a default"),
        seconds: *matches.get_one("seconds").expect("has a default"),
        latencies: match matches.get_flag("no-latencies") {
            true => fleet::Latencies::None,
            false => fleet::Latencies::Brief,
        },
        control: match matches.get_flag("real-control") {
            true => fleet::ControlKind::Real,
            false => fleet::ControlKind::Double,
        },
    };
    let parts = numbers_of(&matches, "parts");
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
                .help("Numbers of hollow agents, separated by commas"),
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
                .help("Changes committed for each propagation point"),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .default_value("27")
                .value_parser(value_parser!(u64))
                .help("Length of each phase at rest and under change, in seconds"),
        )
        .arg(
            Arg::new("no-latencies")
                .long("no-latencies")
                .action(ArgAction::SetTrue)
                .help("Propagation without added latencies and forwarders"),
        )
        .arg(
            Arg::new("real-control")
                .long("real-control")
                .action(ArgAction::SetTrue)
                .help("Propagation from three real control replicas instead of the double"),
        )
        .arg(
            Arg::new("parts")
                .long("parts")
                .default_value("propagation,rest,snapshot,return")
                .help("What to measure, separated by commas"),
        )
}

fn numbers(matches: &ArgMatches, name: &str) -> Vec<usize> {
    let parts = numbers_of(matches, name);
    let parsed = parts.iter().filter_map(|part| part.parse().ok());
    parsed.collect()
}

fn numbers_of(matches: &ArgMatches, name: &str) -> Vec<String> {
    let text: &String = matches.get_one(name).expect("has a default");
    text.split(',').map(|part| part.trim().to_owned()).collect()
}
