//! A monotonic clock whose readings are durations since its start. Leases are timed with it.

use std::time::Duration;

use tokio::time::Instant;

/// A monotonic clock. Copies have the same start.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    start: Instant,
}

impl MonotonicClock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Returns the instant at which [`Self::now`] returns `at`.
    pub fn instant(&self, at: Duration) -> Instant {
        self.start + at
    }
}
