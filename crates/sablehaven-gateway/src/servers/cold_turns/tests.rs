//! Tests of the turns of many gateways at one cold server.

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::{ColdLimit, ColdTurns};

/// The bound that is checked: the rate times this ratio, plus the slack. Both values are part of the requirements.
const BOUND_RATIO: f64 = 1.5;
const BOUND_SLACK: f64 = 5.0;

/// Arrivals per step of 10 ms, where every gateway has a request to send in each step for which `has_request` is true.
fn arrivals(gateways: u32, per_second: f64, has_request: impl Fn(u64) -> bool) -> Vec<u32> {
    let mut rng = StdRng::seed_from_u64(u64::from(gateways) * 1_000 + per_second as u64);
    let limit = ColdLimit {
        per_second,
        gateways: Some(gateways),
    };
    let mut all_turns: Vec<ColdTurns> = (0..gateways)
        .map(|_| ColdTurns::new(rng.random()))
        .collect();
    let step = |step: u64| {
        let now = Duration::from_millis(step * 10);
        let mut sent = 0;
        for turns in &mut all_turns {
            if has_request(step) && turns.is_open(now, limit) {
                turns.use_turn(now, limit);
                sent += 1;
            }
        }
        sent
    };
    (0..3_000).map(step).collect()
}

fn max_per_second(arrivals: &[u32]) -> u32 {
    let seconds = arrivals.windows(100);
    seconds.map(|second| second.iter().sum()).max().unwrap_or(0)
}

#[test]
fn all_gateways_together_stay_within_the_bound_even_after_an_idle_time() {
    for gateways in [1, 4, 24, 61, 200] {
        for per_second in [0.5, 1.0, 3.0, 10.0, 50.0] {
            let bound = BOUND_RATIO * per_second + BOUND_SLACK;
            let steady = arrivals(gateways, per_second, |_| true);
            let intermittent = arrivals(gateways, per_second, |step| step / 400 % 2 == 1);
            for arrivals in [steady, intermittent] {
                let max_arrivals = f64::from(max_per_second(&arrivals));
                assert!(
                    max_arrivals <= bound,
                    "{gateways} gateways, {per_second} per second: {max_arrivals} arrivals"
                );
            }
        }
    }
}

#[test]
fn a_gateway_without_a_share_has_no_turn() {
    let limit = ColdLimit {
        per_second: 50.0,
        gateways: None,
    };
    let turns = ColdTurns::new(0.0);
    let is_open = |step| turns.is_open(Duration::from_millis(step), limit);
    assert!((0..10_000).all(|step| !is_open(step)));
}

#[test]
fn steady_requests_use_most_of_the_limit() {
    for gateways in [1, 4, 24, 61] {
        let sent: u32 = arrivals(gateways, 10.0, |_| true).iter().sum();
        let per_second = f64::from(sent) / 30.0;
        assert!(
            (6.0..=9.0).contains(&per_second),
            "{gateways}: {per_second}"
        );
    }
}

/// Guards against a limit so high that the number of a turn exceeded its type: the server then got one request at most.
#[test]
fn a_limit_without_effect_leaves_every_turn_open() {
    for per_second in [1e10, 18_446_744_073_709_551_616.0, f64::MAX] {
        let limit = ColdLimit {
            per_second,
            gateways: Some(1),
        };
        let mut turns = ColdTurns::new(0.5);
        for step in 1..1_000 {
            let now = Duration::from_millis(step);
            assert!(turns.is_open(now, limit), "{per_second}, step {step}");
            turns.use_turn(now, limit);
        }
    }
}
