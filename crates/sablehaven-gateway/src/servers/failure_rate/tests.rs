//! Tests of the running rate of failures.

use std::time::Duration;

use super::FailureRate;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn a_server_that_fails_two_in_five_has_about_that_rate() {
    let mut rate = FailureRate::default();
    let mut sum = 0.0;
    for request in 0..100 {
        let failed = if request % 5 < 2 { 1.0 } else { 0.0 };
        rate.record(ms(request), failed);
        if request >= 50 {
            sum += rate.now(ms(request));
        }
    }
    // Over whole cycles, since the rate follows its latest endings.
    let mean = sum / 50.0;
    assert!((0.35..0.45).contains(&mean), "{mean}");
}

#[test]
fn a_failure_is_forgotten_in_seconds() {
    let mut rate = FailureRate::default();
    rate.record(ms(0), 1.0);
    let first = rate.now(ms(0));
    assert!(first > 0.15);
    assert!(rate.now(ms(12_000)) < first / 7.0);
    assert!(rate.now(ms(20_000)) < 0.05);
}

#[test]
fn a_server_that_turns_two_requests_away_in_a_row_is_worth_leaving_the_region() {
    let mut rate = FailureRate::default();
    rate.record(ms(0), 1.0);
    rate.record(ms(200), 1.0);
    // At 250 ms a failure this is more than the way to another region and back, connecting included.
    assert!(rate.now(ms(200)) > 0.6);
}
