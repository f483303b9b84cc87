//! Estimates of recent demand.

use std::time::Duration;

/// An exponentially decaying count: an event of one half-life ago counts half.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DemandRate {
    half_life: Duration,
    count: f64,
    counted_at: Duration,
}

impl DemandRate {
    /// Creates an estimate without any demand.
    pub(crate) fn new(half_life: Duration, now: Duration) -> Self {
        Self {
            half_life,
            count: 0.0,
            counted_at: now,
        }
    }

    /// Adds demand at the time `now`.
    pub(crate) fn add(&mut self, now: Duration, amount: u32) {
        self.count = self.count_at(now) + f64::from(amount);
        self.counted_at = self.counted_at.max(now);
    }

    /// Returns the estimated demand per second.
    pub(crate) fn per_second(&self, now: Duration) -> f64 {
        self.count_at(now) * std::f64::consts::LN_2 / self.half_life.as_secs_f64()
    }

    fn count_at(&self, now: Duration) -> f64 {
        let elapsed_seconds = now.saturating_sub(self.counted_at).as_secs_f64();
        self.count * (-elapsed_seconds / self.half_life.as_secs_f64()).exp2()
    }
}
