//! Tests of the measured load.

use std::time::Duration;

use super::LoadMeter;

const HALF_SECOND: Duration = Duration::from_millis(500);

#[test]
fn the_load_is_zero_before_the_second_sample() {
    let meter = LoadMeter::default();
    assert_eq!(meter.load().busy_permille, 0);
    meter.record(HALF_SECOND, HALF_SECOND);
    meter.count_attempt();
    assert_eq!(meter.load().busy_permille, 0);
    assert_eq!(meter.load().attempts, 0);
}

#[test]
fn the_load_is_that_of_the_last_second() {
    let meter = LoadMeter::default();
    let mut busy = Duration::ZERO;
    for sample in 0..3 {
        meter.record(HALF_SECOND * sample, busy);
        meter.count_attempt();
        busy += HALF_SECOND / 2;
    }
    assert_eq!(meter.load().busy_permille, 500);
    assert_eq!(meter.load().attempts, 2);
    // After two idle intervals the load is zero.
    for sample in 3..6 {
        meter.record(HALF_SECOND * sample, busy);
    }
    assert_eq!(meter.load().busy_permille, 0);
    assert_eq!(meter.load().attempts, 0);
}

#[test]
fn the_busy_fraction_is_at_most_one() {
    let meter = LoadMeter::default();
    meter.record(Duration::ZERO, Duration::ZERO);
    // The busy time may exceed the elapsed time, since the two clocks are read one after the other.
    meter.record(HALF_SECOND, HALF_SECOND + Duration::from_millis(1));
    assert_eq!(meter.load().busy_permille, 1_000);
}
