//! Estimates of recent demand.

use std::time::Duration;

/// A running count in which what happened one half-life ago counts half.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DemandRate {
    half_life: Duration,
    count: f64,
    counted_at: Duration,
}

impl DemandRate {
    /// Nothing has been asked for yet.
    pub(crate) fn new(half_life: Duration, now: Duration) -> Self {
        Self {
            half_life,
            count: 0.0,
            counted_at: now,
        }
    }

    /// Counts what is asked for now.
    pub(crate) fn add(&mut self, now: Duration, amount: u32) {
        self.count = self.count_at(now) + f64::from(amount);
        self.counted_at = self.counted_at.max(now);
    }

    /// The estimate, a second.
    pub(crate) fn per_second(&self, now: Duration) -> f64 {
        self.count_at(now) * std::f64::consts::LN_2 / self.half_life.as_secs_f64()
    }

    fn count_at(&self, now: Duration) -> f64 {
        let elapsed_seconds = now.saturating_sub(self.counted_at).as_secs_f64();
        self.count * (-elapsed_seconds / self.half_life.as_secs_f64()).exp2()
    }
}
