//! Tests of the bounds.

use std::time::{Duration, Instant};

use super::{Allowance, BURST_LINES, LINES_PER_SECOND};

#[test]
fn lines_are_bounded_over_time_and_a_quiet_time_allows_a_burst() {
    let mut allowance = Allowance::new();
    let start = Instant::now();
    let mut taken = 0;
    for millisecond in 0..10_000 {
        taken += u32::from(allowance.take(start + Duration::from_millis(millisecond)));
    }
    let most = BURST_LINES + 10.0 * LINES_PER_SECOND;
    assert!(f64::from(taken) <= most + 1.0);
    assert!(f64::from(taken) >= most - 2.0);
    let later = start + Duration::from_secs(60);
    assert_eq!((0..500).filter(|_| allowance.take(later)).count(), 200);
}
