//! Tests of the service-time estimate.

use std::time::Duration;

use super::ServiceTimeEstimate;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn the_estimate_is_available_once_two_fifths_of_the_parts_have_arrived() {
    let estimate = ServiceTimeEstimate::new(10);
    for service_time in [20, 22, 18] {
        estimate.record(ms(service_time));
        assert_eq!(estimate.late_after(), None);
    }
    estimate.record(ms(21));
    assert_eq!(estimate.late_after(), Some(ms(21).mul_f64(1.6) + ms(4)));
}

#[test]
fn a_single_part_gives_no_estimate() {
    let estimate = ServiceTimeEstimate::new(2);
    estimate.record(ms(20));
    assert_eq!(estimate.late_after(), None);
}

#[test]
fn a_slow_part_barely_changes_the_estimate() {
    let estimate = ServiceTimeEstimate::new(5);
    for service_time in [10, 10, 10, 200] {
        estimate.record(ms(service_time));
    }
    assert_eq!(estimate.late_after(), Some(ms(20)));
}
