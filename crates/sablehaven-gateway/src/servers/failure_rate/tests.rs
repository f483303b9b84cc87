//! Tests of the running rate of failures.

use std::time::Duration;

use super::FailureRate;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn a_server_that_fails_two_in_five_has_about_that_rate() {
    let mut rate = FailureRate::default();
    for request in 0..100 {
        let failed = if request % 5 < 2 { 1.0 } else { 0.0 };
        rate.record(ms(request), failed);
    }
    let rate = rate.now(ms(100));
    assert!((0.2..0.6).contains(&rate), "{rate}");
}

#[test]
fn a_failure_is_forgotten_in_seconds() {
    let mut rate = FailureRate::default();
    rate.record(ms(0), 1.0);
    assert!(rate.now(ms(0)) > 0.15);
    assert!(rate.now(ms(12_000)) < 0.05);
}
