//! The retry budget of one service: this gateway's share of the extra attempts that all gateways together may send.
//!
//! Extra attempts are those beyond the first one of a request, that is, retries and hedges.

use std::{collections::VecDeque, time::Duration};

use crate::RetryBounds;

/// Buckets of the sliding window. A bucket expires as a whole.
const BUCKETS: u32 = 20;
/// Fraction of the bound that is used. The rest is a margin, because the window over which the bound is checked may
/// start inside a bucket.
const USABLE_FRACTION: f64 = 0.85;

/// Counts of one bucket of the window.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    requests: u32,
    extra_attempts: u32,
}

/// The limit and the use of a budget at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct BudgetLevel {
    /// Extra attempts that are allowed in the window.
    allowed: f64,
    /// Extra attempts that were sent in the window.
    used: f64,
}

impl BudgetLevel {
    /// Extra attempts that remain; may be fractional.
    pub(crate) fn remaining(&self) -> f64 {
        self.allowed - self.used
    }

    /// Whether one more attempt is allowed that leaves the fraction `reserve` (0 to 1) of the budget to other attempts.
    pub(crate) fn allows(&self, reserve: f64) -> bool {
        self.used + 1.0 <= self.allowed * (1.0 - reserve)
    }
}

/// One gateway's retry budget for one service.
#[derive(Clone, Debug)]
pub(crate) struct RetryBudget {
    bounds: RetryBounds,
    buckets: VecDeque<Bucket>,
    requests: u32,
    extra_attempts: u32,
}

impl RetryBudget {
    pub(crate) fn new(bounds: RetryBounds) -> Self {
        Self {
            bounds,
            buckets: VecDeque::new(),
            requests: 0,
            extra_attempts: 0,
        }
    }

    /// Counts a request to the service. `now` is the time since the gateway started.
    pub(crate) fn record_request(&mut self, now: Duration) {
        self.current_bucket(now).requests += 1;
        self.requests += 1;
    }

    /// The current limit and use. `gateways` is the number of gateways that share the slack; `None` gives this gateway
    /// no share of it.
    pub(crate) fn level(&mut self, now: Duration, gateways: Option<u32>) -> BudgetLevel {
        self.expire(now);
        let is_slack_usable = now >= Duration::from_millis(self.bounds.slack_pause_ms);
        let gateways = gateways.filter(|_| is_slack_usable);
        let slack_share = |gateways: u32| self.bounds.slack / f64::from(gateways.max(1));
        let slack = gateways.map_or(0.0, slack_share);
        BudgetLevel {
            allowed: USABLE_FRACTION * (self.bounds.ratio * f64::from(self.requests) + slack),
            used: f64::from(self.extra_attempts),
        }
    }

    /// Takes one extra attempt from the budget if that leaves the fraction `reserve` of it; returns `false` if the
    /// budget does not allow the attempt.
    pub(crate) fn try_take(&mut self, now: Duration, gateways: Option<u32>, reserve: f64) -> bool {
        if !self.level(now, gateways).allows(reserve) {
            return false;
        }
        self.current_bucket(now).extra_attempts += 1;
        self.extra_attempts += 1;
        true
    }

    fn current_bucket(&mut self, now: Duration) -> &mut Bucket {
        self.expire(now);
        let number = self.bucket_number(now);
        if self
            .buckets
            .back()
            .is_none_or(|bucket| bucket.number != number)
        {
            self.buckets.push_back(Bucket {
                number,
                ..Bucket::default()
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }

    fn expire(&mut self, now: Duration) {
        let number = self.bucket_number(now);
        while let Some(oldest) = self.buckets.front()
            && oldest.number + u64::from(BUCKETS) < number
        {
            self.requests -= oldest.requests;
            self.extra_attempts -= oldest.extra_attempts;
            self.buckets.pop_front();
        }
    }

    fn bucket_number(&self, now: Duration) -> u64 {
        let bucket_ms = (self.bounds.window_ms / u64::from(BUCKETS)).max(1);
        now.as_millis() as u64 / bucket_ms
    }
}

#[cfg(test)]
mod tests;
