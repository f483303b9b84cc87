//! Whether a request may start, given that back ends shed what is beyond their capacity.
//!
//! Without sheds there is no limit. Sheds set one: the rate of needed sub-requests falls in
//! proportion to the part that was shed, then grows, slowly at first, until back ends shed again, and
//! goes away when demand stays below it. A request beyond the limit is refused at once, before any
//! work is done for it, so that the work which is done makes whole answers.

use std::time::Duration;

/// Time over which sheds are counted before the limit changes.
const INTERVAL: Duration = Duration::from_millis(100);
/// Part of the attempts that may be shed without a change of the limit; retries cover it.
const TOLERATED_SHEDS: f64 = 0.01;
/// Fewest attempts in an interval from which a change is made; fewer are carried over.
const MIN_ATTEMPTS: u32 = 50;
/// Part of the shed excess by which the limit falls.
const DECREASE_GAIN: f64 = 1.0;
/// Largest fall in one interval.
const MAX_DECREASE: f64 = 0.5;
/// Growth of the limit in the first interval without an excess of sheds; it rises by as much in
/// each further one, so that the limit stays close to a capacity just found, and soon finds one that
/// has changed.
const INCREASE: f64 = 0.0004;
/// Largest growth in one interval.
const MAX_INCREASE: f64 = 0.03;
/// The limit goes away once it is this many times the demand, and
const RELEASE: f64 = 1.3;
/// so many intervals have passed without an excess of sheds.
const RELEASE_INTERVALS: u32 = 20;
/// Work that may start at once although the rate is used up, in seconds of the limit.
const BURST_SECONDS: f64 = 0.1;
/// Time constant of the measured rates, in seconds.
const RATE_CONSTANT: f64 = 0.25;

/// A rate measured with exponential weights.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    per_second: f64,
    updated_at: Duration,
}

impl Rate {
    fn add(&mut self, now: Duration, count: f64) {
        self.per_second = self.at(now) + count / RATE_CONSTANT;
        self.updated_at = now;
    }

    fn at(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.per_second * (-elapsed / RATE_CONSTANT).exp()
    }
}

/// The admission of one service in one agent. Rates are in sub-requests per second.
#[derive(Clone, Debug, Default)]
pub struct AdmissionLimit {
    limit: Option<f64>,
    tokens: f64,
    demand: Rate,
    admitted: Rate,
    interval_start: Duration,
    tokens_at: Duration,
    attempts: u32,
    sheds: u32,
    calm_intervals: u32,
}

impl AdmissionLimit {
    /// Whether a request of so many sub-requests may start.
    pub fn admit(&mut self, now: Duration, sub_requests: u32) -> bool {
        let cost = f64::from(sub_requests);
        self.demand.add(now, cost);
        self.end_interval_if_due(now);
        if !self.take(now, cost) {
            return false;
        }
        self.admitted.add(now, cost);
        true
    }

    /// Notes the end of an attempt, and whether the back end shed it.
    pub fn finished(&mut self, now: Duration, shed: bool) {
        self.attempts = self.attempts.saturating_add(1);
        self.sheds = self.sheds.saturating_add(u32::from(shed));
        self.end_interval_if_due(now);
    }

    /// Demand as a multiple of what is admitted; 1 without a limit.
    pub fn excess(&self, now: Duration) -> f64 {
        let Some(limit) = self.limit else {
            return 1.0;
        };
        (self.demand.at(now) / limit.max(f64::MIN_POSITIVE)).max(1.0)
    }

    /// The limit in sub-requests per second, while there is one.
    pub fn limit(&self) -> Option<f64> {
        self.limit
    }

    /// A request may start while the tokens are not below zero, so that one larger than the burst
    /// still gets its turn; its cost is taken in full.
    fn take(&mut self, now: Duration, cost: f64) -> bool {
        let Some(limit) = self.limit else {
            return true;
        };
        let elapsed = now.saturating_sub(self.tokens_at).as_secs_f64();
        self.tokens_at = now;
        self.tokens = (self.tokens + elapsed * limit).min(limit * BURST_SECONDS);
        if self.tokens < 0.0 {
            return false;
        }
        self.tokens -= cost;
        true
    }

    fn end_interval_if_due(&mut self, now: Duration) {
        let due = now.saturating_sub(self.interval_start) >= INTERVAL;
        if !due || self.attempts < MIN_ATTEMPTS {
            return;
        }
        let shed_part = f64::from(self.sheds) / f64::from(self.attempts);
        self.interval_start = now;
        self.attempts = 0;
        self.sheds = 0;
        self.adjust(now, shed_part - TOLERATED_SHEDS);
    }

    fn adjust(&mut self, now: Duration, excess_sheds: f64) {
        if excess_sheds > 0.0 {
            let fall = (DECREASE_GAIN * excess_sheds).min(MAX_DECREASE);
            let base = self.limit.unwrap_or_else(|| self.admitted.at(now));
            self.limit = Some(base * (1.0 - fall));
            self.calm_intervals = 0;
            return;
        }
        let Some(limit) = self.limit else {
            return;
        };
        self.calm_intervals = self.calm_intervals.saturating_add(1);
        let is_calm = self.calm_intervals >= RELEASE_INTERVALS;
        if is_calm && limit > RELEASE * self.demand.at(now) {
            self.limit = None;
            return;
        }
        let increase = INCREASE * f64::from(self.calm_intervals);
        self.limit = Some(limit * (1.0 + increase.min(MAX_INCREASE)));
    }
}
