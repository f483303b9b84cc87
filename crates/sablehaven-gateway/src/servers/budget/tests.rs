//! Tests of the retry budget.

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

/// A time in seconds after the first two windows, when the gateway has its share of the slack: it gets that only from
/// the second window on.
fn seconds(seconds: f64) -> Duration {
    2 * WINDOW + Duration::from_secs_f64(seconds)
}

fn take_all(budget: &mut RetryBudget, now: Duration, gateways: u32) -> u32 {
    (0..10_000)
        .take_while(|_| budget.try_take(now, Some(gateways), 0.0))
        .count() as u32
}

#[test]
fn extra_attempts_are_limited_by_the_ratio_and_a_share_of_the_slack() {
    let mut budget = RetryBudget::new(BOUNDS);
    for _ in 0..100 {
        budget.record_request(seconds(1.0));
    }
    // 0.85 * (0.2 * 100 + 40 / 8), rounded down.
    assert_eq!(take_all(&mut budget, seconds(1.1), 8), 21);
}

#[test]
fn requests_and_attempts_older_than_the_window_do_not_count() {
    let mut budget = RetryBudget::new(BOUNDS);
    for _ in 0..100 {
        budget.record_request(seconds(1.0));
    }
    take_all(&mut budget, seconds(1.0), 8);
    assert_eq!(take_all(&mut budget, seconds(9.0), 8), 0);
    assert_eq!(take_all(&mut budget, seconds(12.0), 8), 4);
}

/// The bound holds in every sliding window of its length, wherever the window starts.
#[test]
fn the_bound_holds_in_every_sliding_window() {
    let mut budget = RetryBudget::new(BOUNDS);
    let mut requests = Vec::new();
    let mut extras = Vec::new();
    for step in 0..6_000_u32 {
        let at = f64::from(step) * 0.01;
        let phase = (step / 500) % 3;
        if step % (1 + phase * 4) == 0 {
            budget.record_request(seconds(at));
            requests.push(at);
        }
        if step % 2 == 0 && budget.try_take(seconds(at), Some(1), 0.0) {
            extras.push(at);
        }
    }
    let count = |times: &[f64], from: f64, to: f64| {
        times.iter().filter(|at| **at >= from && **at < to).count() as f64
    };
    for start in 0..500 {
        let from = f64::from(start) * 0.1;
        let window = |shift: f64| count(&requests, from - shift, from - shift + 10.0);
        let max_requests = window(0.0).max(window(5.0)).max(window(10.0));
        let extra_attempts = count(&extras, from, from + 10.0);
        assert!(
            extra_attempts <= 0.2 * max_requests + 40.0,
            "window from {from}: {extra_attempts} extra attempts, {max_requests} requests"
        );
    }
}

/// A gateway that has just started does not know how many gateways share the slack.
#[test]
fn the_slack_is_not_used_while_the_number_of_gateways_is_unknown() {
    let mut budget = RetryBudget::new(BOUNDS);
    assert!(!budget.try_take(seconds(1.0), None, 0.0));
    for _ in 0..100 {
        budget.record_request(seconds(1.0));
    }
    let taken = (0..100).take_while(|_| budget.try_take(seconds(1.0), None, 0.0));
    assert_eq!(taken.count(), 17);
}

/// A gateway that was killed and restarted may have used its share of the slack before, and that use counts for one
/// window.
#[test]
fn the_slack_is_not_used_in_the_first_window_after_a_start() {
    let mut budget = RetryBudget::new(BOUNDS);
    let just_before = WINDOW - Duration::from_millis(1);
    for _ in 0..100 {
        budget.record_request(just_before);
    }
    assert_eq!(take_all(&mut budget, just_before, 8), 17);
    assert_eq!(take_all(&mut budget, WINDOW, 8), 4);
}
