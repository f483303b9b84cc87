//! Tests of the classification into first tries and resends.

use std::time::Duration;

use super::{CallerTry, MAX_KEYS, ResendDetector};

const KEY: &str = "host/search";

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_request_with_less_time_than_others_is_a_resend() {
    let mut detector = ResendDetector::default();
    assert_eq!(detector.observe(ms(0), KEY, ms(3_000)), CallerTry::First);
    assert_eq!(detector.observe(ms(10), KEY, ms(2_995)), CallerTry::First);
    let resend = detector.observe(ms(20), KEY, ms(2_600));
    assert_eq!(resend, CallerTry::Resend);
    assert_eq!(detector.observe(ms(30), KEY, ms(3_000)), CallerTry::First);
}

#[test]
fn keys_are_independent() {
    let mut detector = ResendDetector::default();
    detector.observe(ms(0), KEY, ms(12_000));
    let other = detector.observe(ms(1), "host/other", ms(2_000));
    assert_eq!(other, CallerTry::First);
}

#[test]
fn a_shorter_time_limit_counts_as_first_try_after_the_retention() {
    let mut detector = ResendDetector::default();
    detector.observe(ms(0), KEY, ms(3_000));
    assert_eq!(detector.observe(ms(500), KEY, ms(1_000)), CallerTry::Resend);
    let after_retention_ms = 11_000;
    assert_eq!(
        detector.observe(ms(after_retention_ms), KEY, ms(1_000)),
        CallerTry::First
    );
    assert_eq!(
        detector.observe(ms(after_retention_ms + 1), KEY, ms(1_000)),
        CallerTry::First
    );
    assert_eq!(
        detector.observe(ms(after_retention_ms + 2), KEY, ms(700)),
        CallerTry::Resend
    );
}

#[test]
fn the_number_of_keys_is_bounded_and_expired_ones_are_removed() {
    let mut detector = ResendDetector::default();
    for key in 0..2 * MAX_KEYS {
        detector.observe(ms(0), &key.to_string(), ms(3_000));
    }
    assert_eq!(detector.max_times.len(), MAX_KEYS);
    detector.observe(ms(20_000), "new", ms(3_000));
    assert_eq!(detector.max_times.len(), 1);
}

#[test]
fn the_time_before_arrival_is_the_difference_to_the_maximum() {
    let mut detector = ResendDetector::default();
    let millis = Duration::from_millis;
    detector.observe(millis(0), "a", millis(2_000));
    assert_eq!(
        detector.elapsed_before_arrival("a", millis(1_976)),
        millis(24)
    );
    assert_eq!(
        detector.elapsed_before_arrival("a", millis(2_000)),
        millis(0)
    );
    assert_eq!(
        detector.elapsed_before_arrival("unknown", millis(1_976)),
        millis(0)
    );
}
