//! When a caller whose request was given up may come back.

use std::time::Duration;

/// Time to come back when demand is what the service can take.
const BASE: Duration = Duration::from_millis(250);
/// Longest time given.
const MAX: Duration = Duration::from_secs(10);

/// The time to come back: longer the more demand exceeds what is admitted, and spread by `jitter`
/// (0 to 1) over half to one and a half, so that callers do not come back together.
pub fn retry_after(excess: f64, jitter: f64) -> Duration {
    let base = BASE.mul_f64(excess.max(1.0)).min(MAX);
    base.mul_f64(0.5 + jitter)
}
