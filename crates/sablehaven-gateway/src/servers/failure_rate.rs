//! Estimates how likely a server is to fail a request, from the outcomes of the latest ones.

use std::time::Duration;

/// Weight of a new outcome in the moving average. A gateway sends a server a few requests per second at most, so two
/// outcomes must suffice. docs/design/shifted-work.md compares this value with 0.2 by measurement.
const OUTCOME_WEIGHT: f64 = 0.4;
/// Half-life of the rate while no new outcomes are recorded.
const HALF_LIFE: Duration = Duration::from_secs(4);

/// Exponential moving average of failures. A server that passes its health check may still fail some of its requests,
/// and fail them quickly. By service time alone it would look like the best server.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FailureRate {
    rate: f64,
    updated_at: Duration,
}

impl FailureRate {
    /// Records the outcome of a request: 0 for success, 1 for failure.
    pub(super) fn record(&mut self, now: Duration, failure: f64) {
        let current = self.at(now);
        self.rate = current + OUTCOME_WEIGHT * (failure - current);
        self.updated_at = now;
    }

    /// The rate at `now`, 0 to 1, decayed since the last outcome.
    pub(super) fn at(&self, now: Duration) -> f64 {
        // Fast path: most servers have never failed, and each choice reads the rate of many servers.
        if self.rate == 0.0 {
            return 0.0;
        }
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.rate * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }
}

#[cfg(test)]
mod tests;
