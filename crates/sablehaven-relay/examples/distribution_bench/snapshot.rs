//! Measures the bytes and encoding time of the full state for a new agent, and the bytes of one
//! change, for several sizes of the state.

use std::time::Instant;

use sablehaven_relay::{Distribution, Interest};

use crate::fleet::{SERVICES, service_name, snapshot_change_at, state};

/// Numbers of services and back ends of the measured states. The last is the performance target of
/// 120,000 servers over 40 services.
const STATE_SIZES: [(usize, usize); 4] =
    [(SERVICES, 85), (SERVICES, 850), (40, 12_000), (40, 120_000)];

pub fn measure() {
    println!("\n## Full state for a new agent, and one change");
    println!(
        "| services | back ends | full state B | one service B | encode one service ms | one change B | change of another service B |"
    );
    println!("|---|---|---|---|---|---|---|");
    for (services, backends) in STATE_SIZES {
        let mut distribution = Distribution::default();
        distribution.apply(state(services, backends));
        let all = Interest::default();
        let one = Interest::new([service_name(0)].into());
        let other = Interest::new([service_name(1)].into());
        let full = encoded_size(&mut distribution, 0, &all);
        let started_at = Instant::now();
        let one_service = encoded_size(&mut distribution, 0, &one);
        let encode_ms = started_at.elapsed().as_secs_f64() * 1_000.0;
        let mut change = snapshot_change_at(0, services, backends);
        change.from_revision = 1;
        change.revision = 2;
        change.configuration_version = 2;
        distribution.apply(change);
        let changed = encoded_size(&mut distribution, 1, &one);
        let changed_other = encoded_size(&mut distribution, 1, &other);
        println!(
            "| {services} | {backends} | {full} | {one_service} | {encode_ms:.2} | {changed} | {changed_other} |"
        );
    }
}

fn encoded_size(distribution: &mut Distribution, from_revision: u64, interest: &Interest) -> usize {
    let frame = distribution
        .update_from(from_revision, interest)
        .expect("encode the update");
    frame.map_or(0, |frame| frame.message.size())
}
