//! The process's monotonic clock as durations since its start, on which leases are counted.

use std::time::Duration;

use tokio::time::Instant;

/// Reads the monotonic clock; copies share the same start.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    start: Instant,
}

impl MonotonicClock {
    /// A clock that reads 0 now.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// The time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// The instant at which [`Self::now`] reads `at`.
    pub fn instant(&self, at: Duration) -> Instant {
        self.start + at
    }
}
