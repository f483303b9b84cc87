//! Compares schemes that enforce tenants' quotas across many gateways, without a network. It reports the requests
//! refused within a quota, the fullest window, and the messages. Every run is determined by its seed; times are
//! simulated.

mod buckets;
mod demand;
mod equal_parts;
mod leases;
mod measure;
#[path = "../../tests/support/random.rs"]
mod random;

use clap::{Arg, Command, value_parser};

use buckets::{DesignatedGateways, FixedParts};
use demand::Fleet;
use equal_parts::EqualParts;
use leases::LeaderLeases;
use measure::run;

fn command() -> Command {
    let number = |name: &'static str, default: &'static str| {
        let parser = value_parser!(u64).range(1..);
        Arg::new(name)
            .long(name)
            .value_parser(parser)
            .default_value(default)
    };
    Command::new("quota_model")
        .about("Compares schemes that enforce tenants' quotas across many gateways")
        .arg(number("gateways", "62"))
        .arg(number("tenants", "75"))
        .arg(number("per-gateway", "2").help("Requests per second at each gateway"))
        .arg(
            number("seconds", "10")
                .help("Measured time in seconds, after a warm-up of 8 s in which parts fill"),
        )
        .arg(number("seed", "1"))
}

fn main() {
    let matches = command().get_matches();
    let number = |name: &str| *matches.get_one::<u64>(name).expect("has a default");
    let gateways = number("gateways") as usize;
    let fleet = Fleet::new(gateways, number("tenants") as usize, number("per-gateway"));
    let seconds = number("seconds");
    let seed = number("seed");
    println!(
        "| scheme | refused within the quota | held for a loan | fullest window / its bound | messages per gateway and s | bytes per gateway and s | messages between replicas per s |"
    );
    println!("|---|---|---|---|---|---|---|");
    run(
        "fixed parts",
        &fleet,
        FixedParts::new(&fleet),
        seconds,
        seed,
    );
    run(
        "leases from the leader",
        &fleet,
        LeaderLeases::new(&fleet),
        seconds,
        seed,
    );
    run(
        "designated gateways",
        &fleet,
        DesignatedGateways::new(&fleet),
        seconds,
        seed,
    );
    run(
        "equal parts with loans",
        &fleet,
        EqualParts::new(&fleet),
        seconds,
        seed,
    );
}
