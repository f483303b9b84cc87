//! Admission control: limits how many requests start while back ends shed load.
//!
//! There is no limit until back ends shed. Shed attempts then set a limit on the rate of needed
//! sub-requests, excluding hedges and retries, and lower it in proportion to the fraction that
//! was shed. The limit grows again, slowly at first, until back ends shed once more, and is removed
//! when demand stays below it. A request beyond the limit is refused before any work is done for
//! it, so that the work that is done produces complete replies.

use std::time::Duration;

/// Minimum time between two adjustments of the limit, over which shed attempts are counted.
const ADJUSTMENT_INTERVAL: Duration = Duration::from_millis(100);
/// Fraction of attempts that may be shed without lowering the limit; retries make up for these.
const TOLERATED_SHED_RATIO: f64 = 0.01;
/// Minimum number of attempts for an adjustment. With fewer, the interval continues until it has
/// this many.
const MIN_ATTEMPTS_PER_INTERVAL: u32 = 50;
/// Relative decrease of the limit per unit of shed ratio above the tolerated one.
const DECREASE_GAIN: f64 = 1.0;
/// Largest relative decrease in one interval.
const MAX_DECREASE: f64 = 0.5;
/// Relative increase of the limit in the first interval without excess shedding. Each further such
/// interval adds the same amount again, so that the limit stays close to a capacity it has just
/// found but reaches a changed capacity quickly.
const INCREASE_STEP: f64 = 0.0004;
/// Largest relative increase in one interval.
const MAX_INCREASE: f64 = 0.03;
/// The limit is removed once it exceeds the demand by this factor and [`RELEASE_INTERVALS`]
/// intervals without excess shedding have passed.
const RELEASE_RATIO: f64 = 1.3;
/// Intervals without excess shedding before the limit may be removed.
const RELEASE_INTERVALS: u32 = 20;
/// Burst size of the token bucket, in seconds of work at the limit.
const BURST_SECONDS: f64 = 0.1;
/// Time constant of the exponentially weighted rates.
const RATE_TIME_CONSTANT_SECONDS: f64 = 0.25;

/// An exponentially weighted moving average of a rate.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    per_second: f64,
    updated_at: Duration,
}

impl Rate {
    fn add(&mut self, now: Duration, count: f64) {
        self.per_second = self.at(now) + count / RATE_TIME_CONSTANT_SECONDS;
        self.updated_at = now;
    }

    fn at(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.per_second * (-elapsed / RATE_TIME_CONSTANT_SECONDS).exp()
    }
}

/// Admission limit of one service in one agent. Rates are in sub-requests per second.
#[derive(Clone, Debug, Default)]
pub struct AdmissionLimit {
    limit: Option<f64>,
    tokens: f64,
    demand: Rate,
    admitted: Rate,
    interval_start: Duration,
    tokens_updated_at: Duration,
    attempts: u32,
    shed_attempts: u32,
    intervals_without_excess: u32,
}

impl AdmissionLimit {
    /// Returns whether a request with this many sub-requests may start.
    pub fn admit(&mut self, now: Duration, sub_requests: u32) -> bool {
        let cost = f64::from(sub_requests);
        self.demand.add(now, cost);
        self.end_interval_if_due(now);
        if !self.take_tokens(now, cost) {
            return false;
        }
        self.admitted.add(now, cost);
        true
    }

    /// Records the end of an attempt and whether the back end shed it.
    pub fn record_attempt(&mut self, now: Duration, was_shed: bool) {
        self.attempts = self.attempts.saturating_add(1);
        self.shed_attempts = self.shed_attempts.saturating_add(u32::from(was_shed));
        self.end_interval_if_due(now);
    }

    /// Returns the ratio of demand to the limit, at least 1; always 1 without a limit.
    pub fn overload_ratio(&self, now: Duration) -> f64 {
        let Some(limit) = self.limit else {
            return 1.0;
        };
        (self.demand.at(now) / limit.max(f64::MIN_POSITIVE)).max(1.0)
    }

    /// Returns the limit in sub-requests per second, or `None` while there is none.
    pub fn limit(&self) -> Option<f64> {
        self.limit
    }

    /// Takes the cost of a request from the token bucket. A request may start while the balance is
    /// not negative and its full cost is deducted, so that a request larger than the burst size can
    /// still start.
    fn take_tokens(&mut self, now: Duration, cost: f64) -> bool {
        let Some(limit) = self.limit else {
            return true;
        };
        let elapsed = now.saturating_sub(self.tokens_updated_at).as_secs_f64();
        self.tokens_updated_at = now;
        self.tokens = (self.tokens + elapsed * limit).min(limit * BURST_SECONDS);
        if self.tokens < 0.0 {
            return false;
        }
        self.tokens -= cost;
        true
    }

    fn end_interval_if_due(&mut self, now: Duration) {
        let is_due = now.saturating_sub(self.interval_start) >= ADJUSTMENT_INTERVAL;
        if !is_due || self.attempts < MIN_ATTEMPTS_PER_INTERVAL {
            return;
        }
        let shed_ratio = f64::from(self.shed_attempts) / f64::from(self.attempts);
        self.interval_start = now;
        self.attempts = 0;
        self.shed_attempts = 0;
        self.adjust(now, shed_ratio - TOLERATED_SHED_RATIO);
    }

    fn adjust(&mut self, now: Duration, excess_shed_ratio: f64) {
        if excess_shed_ratio > 0.0 {
            let decrease = (DECREASE_GAIN * excess_shed_ratio).min(MAX_DECREASE);
            let previous_limit = self.limit.unwrap_or_else(|| self.admitted.at(now));
            self.limit = Some(previous_limit * (1.0 - decrease));
            self.intervals_without_excess = 0;
            return;
        }
        let Some(limit) = self.limit else {
            return;
        };
        self.intervals_without_excess = self.intervals_without_excess.saturating_add(1);
        let may_release = self.intervals_without_excess >= RELEASE_INTERVALS;
        if may_release && limit > RELEASE_RATIO * self.demand.at(now) {
            self.limit = None;
            return;
        }
        let increase = INCREASE_STEP * f64::from(self.intervals_without_excess);
        self.limit = Some(limit * (1.0 + increase.min(MAX_INCREASE)));
    }
}
