//! Tests of the turns of many gateways at one cold server.

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::{ColdLimit, ColdTurns};

/// What the bound allows beyond the rate: the ratio and the slack of the users' rules.
const EXCESS: f64 = 1.5;
const SLACK: f64 = 5.0;

/// Arrivals in steps of 10 ms from gateways that all want to send whenever `wants` says so.
fn arrivals(gateways: u32, per_second: f64, wants: impl Fn(u64) -> bool) -> Vec<u32> {
    let mut rng = StdRng::seed_from_u64(u64::from(gateways) * 1_000 + per_second as u64);
    let limit = ColdLimit {
        per_second,
        gateways: Some(gateways),
    };
    let mut all: Vec<ColdTurns> = (0..gateways)
        .map(|_| ColdTurns::new(rng.random()))
        .collect();
    let step = |step: u64| {
        let now = Duration::from_millis(step * 10);
        let mut sent = 0;
        for turns in &mut all {
            if wants(step) && turns.is_open(now, limit) {
                turns.take(now, limit);
                sent += 1;
            }
        }
        sent
    };
    (0..3_000).map(step).collect()
}

fn busiest_second(arrivals: &[u32]) -> u32 {
    let seconds = arrivals.windows(100);
    seconds.map(|second| second.iter().sum()).max().unwrap_or(0)
}

#[test]
fn all_gateways_together_stay_within_the_bound_also_after_a_lull() {
    for gateways in [1, 4, 24, 61, 200] {
        for per_second in [0.5, 1.0, 3.0, 10.0, 50.0] {
            let bound = EXCESS * per_second + SLACK;
            let always = arrivals(gateways, per_second, |_| true);
            let by_turns = arrivals(gateways, per_second, |step| step / 400 % 2 == 1);
            for arrivals in [always, by_turns] {
                let most = f64::from(busiest_second(&arrivals));
                assert!(
                    most <= bound,
                    "{gateways} gateways, {per_second} a second: {most}"
                );
            }
        }
    }
}

#[test]
fn a_gateway_without_a_part_has_no_turn() {
    let limit = ColdLimit {
        per_second: 50.0,
        gateways: None,
    };
    let turns = ColdTurns::new(0.0);
    let is_open = |step| turns.is_open(Duration::from_millis(step), limit);
    assert!((0..10_000).all(|step| !is_open(step)));
}

#[test]
fn steady_requests_use_most_of_what_the_server_bears() {
    for gateways in [1, 4, 24, 61] {
        let sent: u32 = arrivals(gateways, 10.0, |_| true).iter().sum();
        let a_second = f64::from(sent) / 30.0;
        assert!((6.0..=9.0).contains(&a_second), "{gateways}: {a_second}");
    }
}
