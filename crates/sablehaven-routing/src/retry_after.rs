//! When a caller whose request was given up may come back.

use std::time::Duration;

/// Time to come back when demand is what the service can take.
const BASE: Duration = Duration::from_millis(250);
/// Greatest excess that is told apart: beyond it the time given is 10 s, spread by the jitter.
const MAX_EXCESS: f64 = 40.0;

/// The time to come back: longer the more demand exceeds what is admitted, and spread by `jitter`
/// (0 to 1) over half to one and a half, so that callers do not come back together.
pub fn retry_after(excess: f64, jitter: f64) -> Duration {
    let base = BASE.mul_f64(excess.clamp(1.0, MAX_EXCESS));
    base.mul_f64(0.5 + jitter)
}
