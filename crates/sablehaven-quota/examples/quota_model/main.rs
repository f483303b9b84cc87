//! Weighs ways to hold tenants' quotas over many gateways, without a network: what is refused inside a quota, the fullest window, and the
//! messages. Every run is determined by its seed; times are the model's.

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
        .about("Weighs ways to hold tenants' quotas over many gateways")
        .arg(number("gateways", "62"))
        .arg(number("tenants", "75"))
        .arg(number("per-gateway", "2").help("Requests a second of each gateway"))
        .arg(number("seconds", "10").help("Measured time, after 8 s in which parts fill"))
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
        "| way | refused inside the quota | held for a loan | fullest window, of its bound | messages a gateway and s | bytes a gateway and s | between replicas, messages a s |"
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
        "leader's leases",
        &fleet,
        LeaderLeases::new(&fleet),
        seconds,
        seed,
    );
    run(
        "few gateways",
        &fleet,
        DesignatedGateways::new(&fleet),
        seconds,
        seed,
    );
    run(
        "equal parts, loans",
        &fleet,
        EqualParts::new(&fleet),
        seconds,
        seed,
    );
}
