//! One budget for the hedges and retries of a service, as a share of the work that queries need.
//!
//! Tokens come only from needed work and start at zero, so the extra load since the start never
//! exceeds the share. The first shed shrinks the budget at once; it recovers slowly.

use std::time::Duration;

use crate::interface::ExtraKind;

/// Tokens that may be saved up, in seconds of the current needed work.
const SAVED_SECONDS: f64 = 1.0;
/// Fewest tokens that may be saved up.
const MIN_SAVED: f64 = 2.0;
/// What is left of the budget after each interval with sheds.
const SHRINK: f64 = 0.5;
/// Least that is left: enough to retry what single back ends shed.
const MIN_FACTOR: f64 = 0.2;
/// Below this factor no hedges are sent; what is left is for retries.
const HEDGE_FACTOR: f64 = 0.5;
/// Growth of the factor in each second without sheds.
const RECOVERY_PER_SECOND: f64 = 0.05;
/// Shortest time between two shrinks, so that sheds of one burst count once.
const SHRINK_INTERVAL: Duration = Duration::from_millis(100);
/// Time constant of the rate of needed work.
const RATE_CONSTANT: f64 = 1.0;

/// The budget of one service in one agent.
#[derive(Clone, Debug)]
pub struct ExtraBudget {
    share: f64,
    factor: f64,
    tokens: f64,
    needed_per_second: f64,
    updated_at: Duration,
    shrunk_at: Option<Duration>,
}

impl ExtraBudget {
    /// An empty budget that earns `share` tokens for each sub-request that a query needs.
    pub fn new(share: f64) -> Self {
        Self {
            share,
            factor: 1.0,
            tokens: 0.0,
            needed_per_second: 0.0,
            updated_at: Duration::ZERO,
            shrunk_at: None,
        }
    }

    /// Changes the share.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// The part of the budget that sheds have left, from 0.2 to 1.
    pub fn factor(&self) -> f64 {
        self.factor
    }

    /// Earns for work that a query needs.
    pub fn earn(&mut self, now: Duration, sub_requests: u32) {
        self.advance(now);
        let needed = f64::from(sub_requests);
        self.needed_per_second += needed / RATE_CONSTANT;
        self.tokens = (self.tokens + needed * self.share * self.factor).min(self.cap());
    }

    /// Takes one hedge or retry; `false` means not allowed.
    pub fn take(&mut self, now: Duration, kind: ExtraKind) -> bool {
        self.advance(now);
        if kind == ExtraKind::Hedge && self.factor < HEDGE_FACTOR {
            return false;
        }
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Shrinks the budget, because a back end shed.
    pub fn shed(&mut self, now: Duration) {
        self.advance(now);
        let recently = self
            .shrunk_at
            .is_some_and(|at| now.saturating_sub(at) < SHRINK_INTERVAL);
        if recently {
            return;
        }
        self.shrunk_at = Some(now);
        self.factor = (self.factor * SHRINK).max(MIN_FACTOR);
        self.tokens = self.tokens.min(self.cap());
    }

    fn cap(&self) -> f64 {
        let saved = self.needed_per_second * self.share * SAVED_SECONDS;
        (saved * self.factor).max(MIN_SAVED)
    }

    fn advance(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        if elapsed == 0.0 {
            return;
        }
        self.updated_at = now;
        self.needed_per_second *= (-elapsed / RATE_CONSTANT).exp();
        self.factor = (self.factor + RECOVERY_PER_SECOND * elapsed).min(1.0);
    }
}
