//! Selects the relay to try next.

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Maximum number of times that the retry delay is doubled.
const MAXIMUM_DOUBLINGS: u32 = 16;

/// Bounds of the delay before a failed relay is tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetrySettings {
    /// The delay after the first failure, before jitter.
    pub minimum: Duration,
    /// The maximum delay, before jitter.
    pub maximum: Duration,
}

/// Selects among the relays in order of preference. Failed relays are retried with exponential
/// backoff and jitter.
#[derive(Debug)]
pub struct RelaySelector {
    relays: Vec<RelayHistory>,
    settings: RetrySettings,
    rng: StdRng,
}

#[derive(Clone, Copy, Debug, Default)]
struct RelayHistory {
    failures: u32,
    retry_at: Duration,
}

impl RelaySelector {
    /// Creates a selector for `count` relays. `seed` seeds the jitter.
    pub fn new(count: usize, settings: RetrySettings, seed: u64) -> Self {
        Self {
            relays: vec![RelayHistory::default(); count],
            settings,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// Returns the most preferred relay that may be tried now, other than `exclude`.
    pub fn next_relay(&self, now: Duration, exclude: Option<usize>) -> Option<usize> {
        self.candidates(exclude)
            .find(|&relay| self.relays[relay].retry_at <= now)
    }

    /// Returns the most preferred relay that may be tried now, if it is preferred over `relay`.
    pub fn nearer_relay(&self, now: Duration, relay: usize) -> Option<usize> {
        self.next_relay(now, Some(relay))
            .filter(|&other| other < relay)
    }

    /// Returns when the next relay other than `exclude` may be tried.
    pub fn next_retry_at(&self, exclude: Option<usize>) -> Option<Duration> {
        self.candidates(exclude)
            .map(|relay| self.relays[relay].retry_at)
            .min()
    }

    /// Records a failure of the relay. It is not tried again until a delay has passed, which grows with
    /// each failure.
    pub fn record_failure(&mut self, relay: usize, now: Duration) {
        let Some(history) = self.relays.get_mut(relay) else {
            return;
        };
        let doublings = history.failures.min(MAXIMUM_DOUBLINGS);
        let delay = self.settings.minimum * 2_u32.pow(doublings);
        let delay = delay.min(self.settings.maximum);
        history.failures = history.failures.saturating_add(1);
        let jitter = self.rng.random_range(0.5..=1.0);
        history.retry_at = now + delay.mul_f64(jitter);
    }

    /// Returns the number of failures of the relay since it last granted a valid lease.
    pub fn failures(&self, relay: usize) -> u32 {
        self.relays.get(relay).map_or(0, |history| history.failures)
    }

    /// Resets the failures of the relay, because it has granted a valid lease.
    pub fn record_success(&mut self, relay: usize) {
        if let Some(history) = self.relays.get_mut(relay) {
            *history = RelayHistory::default();
        }
    }

    /// Returns a random duration up to `limit`.
    pub fn jitter(&mut self, limit: Duration) -> Duration {
        limit.mul_f64(self.rng.random_range(0.0..=1.0))
    }

    fn candidates(&self, exclude: Option<usize>) -> impl Iterator<Item = usize> {
        let count = self.relays.len();
        (0..count).filter(move |&relay| Some(relay) != exclude)
    }
}
