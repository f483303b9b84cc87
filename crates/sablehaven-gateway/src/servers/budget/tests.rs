//! Tests of the budget.

use std::time::Duration;

use super::RetryBudget;
use crate::RetryBounds;

const WINDOW: Duration = Duration::from_secs(10);

const BOUNDS: RetryBounds = RetryBounds {
    ratio: 0.2,
    slack: 40.0,
    window_ms: 10_000,
    slack_pause_ms: 10_000,
};

/// A moment, counted from well after the start: a gateway has its part of the slack from the second window on.
fn seconds(seconds: f64) -> Duration {
    2 * WINDOW + Duration::from_secs_f64(seconds)
}

fn taken(budget: &mut RetryBudget, now: Duration, gateways: u32) -> u32 {
    (0..10_000)
        .take_while(|_| budget.try_take(now, Some(gateways), 0.0))
        .count() as u32
}

#[test]
fn extra_attempts_stay_under_the_share_of_requests_and_of_the_slack() {
    let mut budget = RetryBudget::new(BOUNDS);
    for _ in 0..100 {
        budget.record_request(seconds(1.0));
    }
    // 0.85 of 0.2 * 100 + 40 / 8.
    assert_eq!(taken(&mut budget, seconds(1.1), 8), 21);
}

#[test]
fn what_is_older_than_the_window_neither_earns_nor_costs() {
    let mut budget = RetryBudget::new(BOUNDS);
    for _ in 0..100 {
        budget.record_request(seconds(1.0));
    }
    taken(&mut budget, seconds(1.0), 8);
    assert_eq!(taken(&mut budget, seconds(9.0), 8), 0);
    assert_eq!(taken(&mut budget, seconds(12.0), 8), 4);
}

/// Over any window of the bound's length, whatever its start, the bound holds.
#[test]
fn every_sliding_window_keeps_the_bound() {
    let mut budget = RetryBudget::new(BOUNDS);
    let mut needed = Vec::new();
    let mut extra = Vec::new();
    for step in 0..6_000_u32 {
        let at = f64::from(step) * 0.01;
        let busy = (step / 500) % 3;
        if step % (1 + busy * 4) == 0 {
            budget.record_request(seconds(at));
            needed.push(at);
        }
        if step % 2 == 0 && budget.try_take(seconds(at), Some(1), 0.0) {
            extra.push(at);
        }
    }
    let count = |times: &[f64], from: f64, to: f64| {
        times.iter().filter(|at| **at >= from && **at < to).count() as f64
    };
    for start in 0..500 {
        let from = f64::from(start) * 0.1;
        let window = |shift: f64| count(&needed, from - shift, from - shift + 10.0);
        let most = window(0.0).max(window(5.0)).max(window(10.0));
        let arrivals = count(&extra, from, from + 10.0);
        assert!(
            arrivals <= 0.2 * most + 40.0,
            "window from {from}: {arrivals} of {most}"
        );
    }
}

/// A gateway that has only just started does not know how many share the slack.
#[test]
fn the_slack_is_not_used_while_the_number_of_gateways_is_not_known() {
    let mut budget = RetryBudget::new(BOUNDS);
    assert!(!budget.try_take(seconds(1.0), None, 0.0));
    for _ in 0..100 {
        budget.record_request(seconds(1.0));
    }
    let taken = (0..100).take_while(|_| budget.try_take(seconds(1.0), None, 0.0));
    assert_eq!(taken.count(), 17);
}

/// Before it was killed and started again it may have used its part, which counts for one window.
#[test]
fn a_gateway_that_has_just_started_has_only_what_its_requests_earn() {
    let mut budget = RetryBudget::new(BOUNDS);
    let just_before = WINDOW - Duration::from_millis(1);
    for _ in 0..100 {
        budget.record_request(just_before);
    }
    assert_eq!(taken(&mut budget, just_before, 8), 17);
    assert_eq!(taken(&mut budget, WINDOW, 8), 4);
}
