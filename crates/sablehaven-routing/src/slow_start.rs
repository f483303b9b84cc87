//! Reduced traffic share of a back end that has just started and is still cold.

use std::time::Duration;

/// Share at the start, relative to a warm back end: enough to warm up, but small enough not to slow
/// down many queries.
const INITIAL_WEIGHT: f64 = 0.1;

/// Time at which a back end started, as far as the agent knows.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStart {
    started_at: Option<Duration>,
}

impl SlowStart {
    /// A back end that already existed when the agent started: assumed to be warm.
    pub fn warm() -> Self {
        Self { started_at: None }
    }

    /// A back end that is new or has recovered from an outage.
    pub fn cold(now: Duration) -> Self {
        Self {
            started_at: Some(now),
        }
    }

    /// Returns the share relative to a warm back end. It rises linearly over `ramp` from 0.1 to 1.
    pub fn weight(&self, now: Duration, ramp: Duration) -> f64 {
        let Some(started_at) = self.started_at else {
            return 1.0;
        };
        let age = now.saturating_sub(started_at);
        if age >= ramp {
            return 1.0;
        }
        INITIAL_WEIGHT + (1.0 - INITIAL_WEIGHT) * age.as_secs_f64() / ramp.as_secs_f64()
    }
}
