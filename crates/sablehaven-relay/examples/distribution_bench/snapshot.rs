//! Bytes and time of a new agent's whole state, and of one change, by size of the state.

use std::time::Instant;

use sablehaven_relay::{Distribution, Interest};

use crate::fleet::{SERVICES, service_name, snapshot_change_at, state};

/// Back ends of the states looked at; the last is the target's 120,000 servers over 40 services.
const SIZES: [(usize, usize); 4] = [(SERVICES, 85), (SERVICES, 850), (40, 12_000), (40, 120_000)];

pub fn measure() {
    println!("\n## A new agent's whole state, and one change");
    println!(
        "| services | back ends | whole state B | one service B | encode one service ms | one change B | change elsewhere B |"
    );
    println!("|---|---|---|---|---|---|---|");
    for (services, backends) in SIZES {
        let mut distribution = Distribution::default();
        distribution.apply(state(services, backends));
        let all = Interest::default();
        let one = Interest::new([service_name(0)].into());
        let other = Interest::new([service_name(1)].into());
        let whole = bytes(&mut distribution, 0, &all);
        let started = Instant::now();
        let of_one = bytes(&mut distribution, 0, &one);
        let encode = started.elapsed().as_secs_f64() * 1_000.0;
        let mut change = snapshot_change_at(0, services, backends);
        change.from_revision = 1;
        change.revision = 2;
        change.configuration_version = 2;
        distribution.apply(change);
        let changed = bytes(&mut distribution, 1, &one);
        let elsewhere = bytes(&mut distribution, 1, &other);
        println!(
            "| {services} | {backends} | {whole} | {of_one} | {encode:.2} | {changed} | {elsewhere} |"
        );
    }
}

fn bytes(distribution: &mut Distribution, from: u64, interest: &Interest) -> usize {
    let frame = distribution.update_from(from, interest).expect("encode");
    frame.map_or(0, |frame| frame.message.size())
}
