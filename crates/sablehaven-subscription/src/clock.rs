//! The process's monotonic clock as durations since its start.

use std::time::Duration;

use tokio::time::Instant;

/// Reads the monotonic clock; copies share the same start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    pub(crate) fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    pub(crate) fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// The instant at which [`Self::now`] reads `at`.
    pub(crate) fn instant(&self, at: Duration) -> Instant {
        self.start + at
    }
}
