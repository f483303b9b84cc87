//! One replica's part of a tenant's token bucket.

use std::time::Duration;

use sablehaven_types::{QuotaTolerance, RequestQuota};

/// The longest time for which a granted token is good: about as long as a gateway foresees what it will need.
const LONGEST_TOKEN_LIFE: Duration = Duration::from_millis(500);

/// Time for which a granted token is good. A token that is spent late counts in a window that began after it was
/// granted, which the tolerance has to bear: without any, tokens are for the request that waits alone.
pub(crate) fn token_life(tolerance: &QuotaTolerance) -> Duration {
    let borne = tolerance.window().mul_f64(tolerance.excess());
    borne.min(LONGEST_TOKEN_LIFE)
}

/// The tokens that all parts together hold at the most: what a window may have beyond the rate.
fn whole_depth(tolerance: &QuotaTolerance, quota: RequestQuota) -> f64 {
    let span = tolerance.window() + token_life(tolerance);
    tolerance.bound(quota) - quota.per_second * span.as_secs_f64()
}

/// One part of a tenant's token bucket; it starts empty.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    per_second: f64,
    depth: f64,
    tokens: f64,
    filled_at: Duration,
}

impl TokenBucket {
    /// An empty part: one of `parts`.
    pub(crate) fn new(
        now: Duration,
        tolerance: &QuotaTolerance,
        quota: RequestQuota,
        parts: u32,
    ) -> Self {
        let parts = f64::from(parts.max(1));
        Self {
            per_second: quota.per_second / parts,
            depth: whole_depth(tolerance, quota) / parts,
            tokens: 0.0,
            filled_at: now,
        }
    }

    /// Takes another quota or number of parts. Tokens beyond what fits then are gone at once.
    pub(crate) fn resize(&mut self, now: Duration, resized: Self) {
        self.fill(now);
        let tokens = self.tokens.min(resized.depth);
        *self = Self { tokens, ..resized };
    }

    /// Takes as many whole tokens as there are, `wanted` at the most.
    pub(crate) fn take(&mut self, now: Duration, wanted: u32) -> u32 {
        self.fill(now);
        let taken = wanted.min(self.tokens.max(0.0) as u32);
        self.tokens -= f64::from(taken);
        taken
    }

    /// Puts tokens in, as far as they fit.
    pub(crate) fn put(&mut self, now: Duration, tokens: u32) {
        self.fill(now);
        self.tokens = (self.tokens + f64::from(tokens)).min(self.depth);
    }

    /// The tokens that are there.
    pub(crate) fn tokens(&mut self, now: Duration) -> f64 {
        self.fill(now);
        self.tokens
    }

    /// Time until so many tokens are there.
    pub(crate) fn time_until(&mut self, now: Duration, tokens: f64) -> Duration {
        self.fill(now);
        let lacking = (tokens - self.tokens).max(0.0);
        Duration::from_secs_f64(lacking / self.per_second)
    }

    fn fill(&mut self, now: Duration) {
        let since = now.saturating_sub(self.filled_at).as_secs_f64();
        self.tokens = (self.tokens + since * self.per_second).min(self.depth);
        self.filled_at = self.filled_at.max(now);
    }
}
