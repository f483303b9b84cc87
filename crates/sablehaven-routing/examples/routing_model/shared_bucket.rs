//! The budget of hedges and retries as one token bucket shared by all agents.
//!
//! Agents ask a central bucket for tokens ahead of need, for a target period; it grants them at once
//! while it has enough, and otherwise spread over the period, in proportion to each agent's share of
//! the demand. The refill is a share of the needed work that agents report.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// Time for which an agent asks ahead.
const TARGET_PERIOD: Duration = Duration::from_secs(10);
/// An agent asks again when what it has lasts no longer than this at its demand.
const LOW_WATER_SECONDS: f64 = 1.0;
/// Weight of the last second in an agent's average demand.
const DEMAND_WEIGHT: f64 = 0.5;
/// Time from the request to the grant: a round trip between regions.
const ROUND_TRIP: Duration = Duration::from_millis(20);
/// Tokens that the central bucket may save up, in seconds of its refill.
const BURST_SECONDS: f64 = 1.0;
/// Shortest time between two requests of one agent, granted or not.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// The central bucket.
#[derive(Debug)]
struct Central {
    share: f64,
    tokens: f64,
    refill: f64,
    last_report: Duration,
    demands: Vec<f64>,
    messages: u64,
}

/// What an agent is granted.
#[derive(Clone, Copy, Debug)]
struct Grant {
    tokens: f64,
    /// The time over which the tokens trickle in; zero means at once.
    over: Duration,
}

impl Central {
    fn request(
        &mut self,
        now: Duration,
        agent: usize,
        ask: f64,
        demand: f64,
        needed: f64,
    ) -> Grant {
        self.messages += 2;
        self.earn(now, needed);
        if self.demands.len() <= agent {
            self.demands.resize(agent + 1, 0.0);
        }
        self.demands[agent] = demand;
        if self.tokens >= ask {
            self.tokens -= ask;
            return Grant {
                tokens: ask,
                over: Duration::ZERO,
            };
        }
        let total: f64 = self.demands.iter().sum();
        let rate = self.effective_refill() * demand / total.max(f64::MIN_POSITIVE);
        let tokens = ask.min(rate * TARGET_PERIOD.as_secs_f64());
        self.tokens -= tokens;
        Grant {
            tokens,
            over: TARGET_PERIOD.mul_f64(tokens / ask.max(f64::MIN_POSITIVE)),
        }
    }

    fn earn(&mut self, now: Duration, needed: f64) {
        let elapsed = now.saturating_sub(self.last_report).as_secs_f64();
        self.last_report = now;
        let keep = (-elapsed / TARGET_PERIOD.as_secs_f64()).exp();
        self.refill = self.refill * keep + needed * self.share / TARGET_PERIOD.as_secs_f64();
        self.tokens = (self.tokens + needed * self.share).min(self.refill * BURST_SECONDS);
    }

    /// Debt beyond what is granted ahead lowers the rate, to be paid within a period.
    fn effective_refill(&self) -> f64 {
        let period = TARGET_PERIOD.as_secs_f64();
        let systematic = (-self.tokens - self.refill * period).max(0.0);
        (self.refill - systematic / period).max(0.0)
    }
}

/// The central bucket, as agents reach it.
#[derive(Clone, Debug)]
pub struct SharedBucket(Rc<RefCell<Central>>);

impl SharedBucket {
    /// An empty bucket that earns `share` tokens for each needed sub-request.
    pub fn new(share: f64) -> Self {
        Self(Rc::new(RefCell::new(Central {
            share,
            tokens: 0.0,
            refill: 0.0,
            last_report: Duration::ZERO,
            demands: Vec::new(),
            messages: 0,
        })))
    }

    /// Requests and grants that crossed the network.
    pub fn messages(&self) -> u64 {
        self.0.borrow().messages
    }
}

/// One agent's part of the shared bucket.
#[derive(Debug)]
pub struct LocalBucket {
    central: SharedBucket,
    agent: usize,
    tokens: f64,
    trickle: f64,
    trickle_until: Duration,
    pending: Option<(Duration, Grant)>,
    demand: f64,
    demand_in_second: f64,
    second_began: Duration,
    needed: f64,
    advanced_to: Duration,
    asked_at: Duration,
}

impl LocalBucket {
    /// An agent's empty bucket.
    pub fn new(central: SharedBucket, agent: usize) -> Self {
        Self {
            central,
            agent,
            tokens: 0.0,
            trickle: 0.0,
            trickle_until: Duration::ZERO,
            pending: None,
            demand: 0.0,
            demand_in_second: 0.0,
            second_began: Duration::ZERO,
            needed: 0.0,
            advanced_to: Duration::ZERO,
            asked_at: Duration::ZERO,
        }
    }

    /// Notes needed work, and asks for tokens when they run low.
    pub fn needed(&mut self, now: Duration, sub_requests: u32) {
        self.needed += f64::from(sub_requests);
        self.advance(now);
        self.ask_if_low(now);
    }

    /// Takes one token; `false` means not allowed.
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
        let trickles_for = now.min(self.trickle_until).saturating_sub(self.advanced_to);
        self.tokens += self.trickle * trickles_for.as_secs_f64();
        self.advanced_to = now;
        if now.saturating_sub(self.second_began) >= Duration::from_secs(1) {
            self.demand += DEMAND_WEIGHT * (self.demand_in_second - self.demand);
            self.demand_in_second = 0.0;
            self.second_began = now;
        }
        if let Some((_, grant)) = self.pending.take_if(|(at, _)| *at <= now) {
            self.receive(now, grant);
        }
    }

    fn receive(&mut self, now: Duration, grant: Grant) {
        if grant.over.is_zero() {
            self.tokens += grant.tokens;
            return;
        }
        self.trickle = grant.tokens / grant.over.as_secs_f64();
        self.trickle_until = now + grant.over;
    }

    fn ask_if_low(&mut self, now: Duration) {
        let coming = self.trickle * self.trickle_until.saturating_sub(now).as_secs_f64();
        let low = self.tokens + coming < self.demand.max(1.0) * LOW_WATER_SECONDS;
        let waited = now.saturating_sub(self.asked_at) >= MIN_INTERVAL;
        if !low || !waited || self.pending.is_some() {
            return;
        }
        let ask = self.demand.max(1.0) * TARGET_PERIOD.as_secs_f64();
        let needed = std::mem::take(&mut self.needed);
        let demand = self.demand.max(0.1);
        let mut central = self.central.0.borrow_mut();
        let grant = central.request(now, self.agent, ask, demand, needed);
        self.pending = Some((now + ROUND_TRIP, grant));
        self.asked_at = now;
    }
}
