//! How likely a server is to fail a request, from how its latest ones ended.

use std::time::Duration;

/// Weight of one new ending in the running rate. A gateway meets a server a few times a second at the most, so
/// two endings must tell; measured against 0.2 in docs/design/shifted-work.md.
const ENDING_WEIGHT: f64 = 0.4;
/// Time after which half of the rate is forgotten when nothing is heard of the server.
const FORGETTING_HALF_LIFE: Duration = Duration::from_secs(4);

/// The running share of failures. A server whose health check is good may fail part of its requests,
/// and fails them quickly: by its times alone it would look like the best one.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FailureRate {
    rate: f64,
    at: Duration,
}

impl FailureRate {
    /// Takes in how far a request failed: 0 not at all, 1 wholly.
    pub(super) fn record(&mut self, now: Duration, failed: f64) {
        let known = self.now(now);
        self.rate = known + ENDING_WEIGHT * (failed - known);
        self.at = now;
    }

    /// The rate, 0 to 1; what is long ago is half forgotten.
    pub(super) fn now(&self, now: Duration) -> f64 {
        // Most servers have never failed, and each choice asks many of them.
        if self.rate == 0.0 {
            return 0.0;
        }
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.rate * 0.5_f64.powf(age / FORGETTING_HALF_LIFE.as_secs_f64())
    }
}

#[cfg(test)]
mod tests;
