//! Which relay to try next.

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng};

/// Greatest number of doublings of the retry time.
const MAXIMUM_DOUBLINGS: u32 = 16;

/// How long a relay that failed is left alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetrySettings {
    /// After the first failure.
    pub minimum: Duration,
    /// At most.
    pub maximum: Duration,
}

/// The relays in order of preference, each with its failures. Exponential backoff with jitter.
#[derive(Debug)]
pub struct RelaySelector {
    relays: Vec<RelayHistory>,
    settings: RetrySettings,
    random: StdRng,
}

#[derive(Clone, Copy, Debug, Default)]
struct RelayHistory {
    failures: u32,
    retry_at: Duration,
}

impl RelaySelector {
    /// A choice among `count` relays; the seed makes the jitter.
    pub fn new(count: usize, settings: RetrySettings, seed: u64) -> Self {
        Self {
            relays: vec![RelayHistory::default(); count],
            settings,
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// The most preferred relay that may be tried now, other than `exclude`.
    pub fn next(&self, now: Duration, exclude: Option<usize>) -> Option<usize> {
        self.candidates(exclude)
            .find(|&relay| self.relays[relay].retry_at <= now)
    }

    /// The most preferred relay before `relay` that may be tried now.
    pub fn nearer(&self, now: Duration, relay: usize) -> Option<usize> {
        self.next(now, Some(relay)).filter(|&other| other < relay)
    }

    /// When the next relay other than `exclude` may be tried.
    pub fn next_at(&self, exclude: Option<usize>) -> Option<Duration> {
        self.candidates(exclude)
            .map(|relay| self.relays[relay].retry_at)
            .min()
    }

    /// The relay failed: it is left alone for a while, longer each time.
    pub fn failed(&mut self, relay: usize, now: Duration) {
        let Some(history) = self.relays.get_mut(relay) else {
            return;
        };
        let doublings = history.failures.min(MAXIMUM_DOUBLINGS);
        let full = self.settings.minimum * 2_u32.pow(doublings);
        let full = full.min(self.settings.maximum);
        history.failures = history.failures.saturating_add(1);
        let jitter = self.random.random_range(0.5..=1.0);
        history.retry_at = now + full.mul_f64(jitter);
    }

    /// Failures of the relay since it last gave a usable lease.
    pub fn failures(&self, relay: usize) -> u32 {
        self.relays.get(relay).map_or(0, |history| history.failures)
    }

    /// The relay gave a usable lease.
    pub fn succeeded(&mut self, relay: usize) {
        if let Some(history) = self.relays.get_mut(relay) {
            *history = RelayHistory::default();
        }
    }

    /// A random part of `limit`.
    pub fn jitter(&mut self, limit: Duration) -> Duration {
        limit.mul_f64(self.random.random_range(0.0..=1.0))
    }

    fn candidates(&self, exclude: Option<usize>) -> impl Iterator<Item = usize> {
        let count = self.relays.len();
        (0..count).filter(move |&relay| Some(relay) != exclude)
    }
}
