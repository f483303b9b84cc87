//! The delay after which the caller of a refused or abandoned request may retry.

use std::time::Duration;

/// Average delay when demand does not exceed the limit.
const BASE_DELAY: Duration = Duration::from_millis(250);
/// Largest overload ratio that is taken into account. It gives a delay of 10 s before jitter.
const MAX_OVERLOAD_RATIO: f64 = 40.0;

/// Returns the retry delay. It grows with the ratio of demand to the admission limit, and `jitter`
/// (0 to 1) spreads it from half to one and a half times, so that callers do not retry
/// simultaneously.
pub fn retry_after(overload_ratio: f64, jitter: f64) -> Duration {
    let base = BASE_DELAY.mul_f64(overload_ratio.clamp(1.0, MAX_OVERLOAD_RATIO));
    base.mul_f64(0.5 + jitter)
}
