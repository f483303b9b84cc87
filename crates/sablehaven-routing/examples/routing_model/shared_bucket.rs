//! A budget for hedges and retries as one token bucket that all agents share.
//!
//! Agents request tokens from a central bucket in advance, for a target period. The bucket grants
//! them at once while it has enough. Otherwise it spreads them over the period, in proportion to
//! each agent's share of the demand. It is refilled with a share of the needed sub-requests that
//! agents report.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// Period for which an agent requests tokens in advance.
const TARGET_PERIOD: Duration = Duration::from_secs(10);
/// An agent requests tokens again when those it has last less than this at its demand.
const LOW_WATER_SECONDS: f64 = 1.0;
/// Weight of the last second in the moving average of an agent's demand.
const DEMAND_WEIGHT: f64 = 0.5;
/// Time from a request to its grant: a round trip between regions.
const ROUND_TRIP: Duration = Duration::from_millis(20);
/// Capacity of the central bucket, in seconds of its refill.
const BURST_SECONDS: f64 = 1.0;
/// Minimum time between two requests of one agent, whether granted or not.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_secs(1);

/// The bucket that grants tokens to all agents.
#[derive(Debug)]
struct CentralBucket {
    extra_load_share: f64,
    tokens: f64,
    refill_per_second: f64,
    last_report_at: Duration,
    demands: Vec<f64>,
    messages: u64,
}

/// The tokens granted to an agent.
#[derive(Clone, Copy, Debug)]
struct Grant {
    tokens: f64,
    /// The period over which the tokens are released; zero means at once.
    spread_over: Duration,
}

impl CentralBucket {
    fn request(
        &mut self,
        now: Duration,
        agent: usize,
        requested: f64,
        demand: f64,
        needed: f64,
    ) -> Grant {
        self.messages += 2;
        self.refill_tokens(now, needed);
        if self.demands.len() <= agent {
            self.demands.resize(agent + 1, 0.0);
        }
        self.demands[agent] = demand;
        if self.tokens >= requested {
            self.tokens -= requested;
            return Grant {
                tokens: requested,
                spread_over: Duration::ZERO,
            };
        }
        let total: f64 = self.demands.iter().sum();
        let rate = self.effective_refill() * demand / total.max(f64::MIN_POSITIVE);
        let tokens = requested.min(rate * TARGET_PERIOD.as_secs_f64());
        self.tokens -= tokens;
        Grant {
            tokens,
            spread_over: TARGET_PERIOD.mul_f64(tokens / requested.max(f64::MIN_POSITIVE)),
        }
    }

    fn refill_tokens(&mut self, now: Duration, needed: f64) {
        let elapsed = now.saturating_sub(self.last_report_at).as_secs_f64();
        self.last_report_at = now;
        let decay = (-elapsed / TARGET_PERIOD.as_secs_f64()).exp();
        self.refill_per_second = self.refill_per_second * decay
            + needed * self.extra_load_share / TARGET_PERIOD.as_secs_f64();
        self.tokens = (self.tokens + needed * self.extra_load_share)
            .min(self.refill_per_second * BURST_SECONDS);
    }

    /// Returns the refill rate, reduced so that debt beyond the tokens granted in advance is
    /// repaid within one period.
    fn effective_refill(&self) -> f64 {
        let period = TARGET_PERIOD.as_secs_f64();
        let excess_debt = (-self.tokens - self.refill_per_second * period).max(0.0);
        (self.refill_per_second - excess_debt / period).max(0.0)
    }
}

/// A handle to the central bucket.
#[derive(Clone, Debug)]
pub struct SharedBucket(Rc<RefCell<CentralBucket>>);

impl SharedBucket {
    /// Creates an empty bucket that gains `extra_load_share` tokens for each needed sub-request.
    pub fn new(extra_load_share: f64) -> Self {
        Self(Rc::new(RefCell::new(CentralBucket {
            extra_load_share,
            tokens: 0.0,
            refill_per_second: 0.0,
            last_report_at: Duration::ZERO,
            demands: Vec::new(),
            messages: 0,
        })))
    }

    /// Returns the number of requests and grants sent over the network.
    pub fn messages(&self) -> u64 {
        self.0.borrow().messages
    }
}

/// The tokens of one agent, granted by the shared bucket.
#[derive(Debug)]
pub struct LocalBucket {
    central: SharedBucket,
    agent: usize,
    tokens: f64,
    release_per_second: f64,
    release_until: Duration,
    pending: Option<(Duration, Grant)>,
    demand: f64,
    demand_in_second: f64,
    second_started_at: Duration,
    needed: f64,
    advanced_to: Duration,
    requested_at: Duration,
}

impl LocalBucket {
    /// Creates the empty bucket of an agent.
    pub fn new(central: SharedBucket, agent: usize) -> Self {
        Self {
            central,
            agent,
            tokens: 0.0,
            release_per_second: 0.0,
            release_until: Duration::ZERO,
            pending: None,
            demand: 0.0,
            demand_in_second: 0.0,
            second_started_at: Duration::ZERO,
            needed: 0.0,
            advanced_to: Duration::ZERO,
            requested_at: Duration::ZERO,
        }
    }

    /// Records needed sub-requests, and requests tokens if they run low.
    pub fn record_needed(&mut self, now: Duration, sub_requests: u32) {
        self.needed += f64::from(sub_requests);
        self.advance(now);
        self.request_if_low(now);
    }

    /// Takes one token; `false` means that none is left.
    pub fn take(&mut self, now: Duration) -> bool {
        self.demand_in_second += 1.0;
        self.advance(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn advance(&mut self, now: Duration) {
        let released_for = now.min(self.release_until).saturating_sub(self.advanced_to);
        self.tokens += self.release_per_second * released_for.as_secs_f64();
        self.advanced_to = now;
        if now.saturating_sub(self.second_started_at) >= Duration::from_secs(1) {
            self.demand += DEMAND_WEIGHT * (self.demand_in_second - self.demand);
            self.demand_in_second = 0.0;
            self.second_started_at = now;
        }
        if let Some((_, grant)) = self.pending.take_if(|(at, _)| *at <= now) {
            self.receive(now, grant);
        }
    }

    fn receive(&mut self, now: Duration, grant: Grant) {
        if grant.spread_over.is_zero() {
            self.tokens += grant.tokens;
            return;
        }
        self.release_per_second = grant.tokens / grant.spread_over.as_secs_f64();
        self.release_until = now + grant.spread_over;
    }

    fn request_if_low(&mut self, now: Duration) {
        let pending_tokens =
            self.release_per_second * self.release_until.saturating_sub(now).as_secs_f64();
        let is_low = self.tokens + pending_tokens < self.demand.max(1.0) * LOW_WATER_SECONDS;
        let interval_passed = now.saturating_sub(self.requested_at) >= MIN_REQUEST_INTERVAL;
        if !is_low || !interval_passed || self.pending.is_some() {
            return;
        }
        let requested = self.demand.max(1.0) * TARGET_PERIOD.as_secs_f64();
        let needed = std::mem::take(&mut self.needed);
        let demand = self.demand.max(0.1);
        let mut central = self.central.0.borrow_mut();
        let grant = central.request(now, self.agent, requested, demand, needed);
        self.pending = Some((now + ROUND_TRIP, grant));
        self.requested_at = now;
    }
}
