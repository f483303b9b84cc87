//! Tests of the rate limit.

use std::time::{Duration, Instant};

use super::{BURST_LINES, LINES_PER_SECOND, RateLimiter};

#[test]
fn the_rate_is_limited_and_a_period_without_lines_allows_a_burst() {
    let mut rate_limiter = RateLimiter::new();
    let start = Instant::now();
    let mut accepted = 0;
    for millisecond in 0..10_000 {
        accepted += u32::from(rate_limiter.try_acquire(start + Duration::from_millis(millisecond)));
    }
    let expected = BURST_LINES + 10.0 * LINES_PER_SECOND;
    assert!(f64::from(accepted) <= expected + 1.0);
    assert!(f64::from(accepted) >= expected - 2.0);
    let later = start + Duration::from_secs(60);
    assert_eq!(
        (0..500).filter(|_| rate_limiter.try_acquire(later)).count(),
        200
    );
}
