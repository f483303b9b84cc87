//! The share of a back end that has just started and is still cold.

use std::time::Duration;

/// The share at the start, relative to a warm back end: enough to warm up, little enough not to
/// slow many queries.
const INITIAL_WEIGHT: f64 = 0.1;

/// When a back end started, as far as the agent knows.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStart {
    began_at: Option<Duration>,
}

impl SlowStart {
    /// A back end that was there before the agent looked: taken to be warm.
    pub fn warm() -> Self {
        Self { began_at: None }
    }

    /// A back end that is new, or back after an outage.
    pub fn cold(now: Duration) -> Self {
        Self {
            began_at: Some(now),
        }
    }

    /// The share relative to a warm back end, rising over `ramp` from 0.1 to 1.
    pub fn weight(&self, now: Duration, ramp: Duration) -> f64 {
        let Some(began_at) = self.began_at else {
            return 1.0;
        };
        let age = now.saturating_sub(began_at);
        if age >= ramp {
            return 1.0;
        }
        INITIAL_WEIGHT + (1.0 - INITIAL_WEIGHT) * age.as_secs_f64() / ramp.as_secs_f64()
    }
}
