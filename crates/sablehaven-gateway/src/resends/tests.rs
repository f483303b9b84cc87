//! Tests of telling second tries from first ones.

use std::time::Duration;

use super::{CallerTry, MAX_KEYS, ResendDetector};

const KEY: &str = "host/search";

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn less_time_than_others_had_is_a_resend() {
    let mut detector = ResendDetector::default();
    assert_eq!(detector.observe(ms(0), KEY, ms(3_000)), CallerTry::First);
    assert_eq!(detector.observe(ms(10), KEY, ms(2_995)), CallerTry::First);
    let resend = detector.observe(ms(20), KEY, ms(2_600));
    assert_eq!(resend, CallerTry::Resend);
    assert_eq!(detector.observe(ms(30), KEY, ms(3_000)), CallerTry::First);
}

#[test]
fn places_are_told_apart() {
    let mut detector = ResendDetector::default();
    detector.observe(ms(0), KEY, ms(12_000));
    let other = detector.observe(ms(1), "host/other", ms(2_000));
    assert_eq!(other, CallerTry::First);
}

#[test]
fn callers_that_give_themselves_less_from_now_on_are_first_again() {
    let mut detector = ResendDetector::default();
    detector.observe(ms(0), KEY, ms(3_000));
    assert_eq!(detector.observe(ms(500), KEY, ms(1_000)), CallerTry::Resend);
    let after = 11_000;
    assert_eq!(
        detector.observe(ms(after), KEY, ms(1_000)),
        CallerTry::First
    );
    assert_eq!(
        detector.observe(ms(after + 1), KEY, ms(1_000)),
        CallerTry::First
    );
    assert_eq!(
        detector.observe(ms(after + 2), KEY, ms(700)),
        CallerTry::Resend
    );
}

#[test]
fn the_number_of_places_is_bounded_and_old_ones_make_room() {
    let mut detector = ResendDetector::default();
    for key in 0..2 * MAX_KEYS {
        detector.observe(ms(0), &key.to_string(), ms(3_000));
    }
    assert_eq!(detector.max_times.len(), MAX_KEYS);
    detector.observe(ms(20_000), "new", ms(3_000));
    assert_eq!(detector.max_times.len(), 1);
}

#[test]
fn what_a_first_try_spent_is_what_it_lacks_of_the_longest_time() {
    let mut detector = ResendDetector::default();
    detector.observe(ms(0), "a", ms(2_000));
    assert_eq!(detector.elapsed_before_arrival("a", ms(1_976)), ms(24));
    assert_eq!(detector.elapsed_before_arrival("a", ms(2_000)), ms(0));
    assert_eq!(detector.elapsed_before_arrival("unknown", ms(1_976)), ms(0));
}
