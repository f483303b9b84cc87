//! One budget for the hedges and retries of a service, as a share of the work that queries need.
//!
//! Tokens come only from needed work and start at zero, so the extra load since the start never
//! exceeds the share. Each shed, the first one included, at once takes one attempt off what a
//! second of work earns; the budget recovers slowly.

use std::time::Duration;

use crate::interface::ExtraAttemptKind;

/// Tokens that may be saved up, in seconds of the current needed work.
const SAVED_SECONDS: f64 = 0.15;
/// Fewest tokens that may be saved up.
const MIN_SAVED: f64 = 2.0;
/// Extra attempts of one second's budget that one shed takes away: a service whose sheds reach
/// [`RECOVERY_PER_SECOND`] of its budget divided by this keeps only the least.
const SHED_COST: f64 = 1.0;
/// Part of the budget that sheds leave: retries of what one back end shed, at another that has room,
/// cost the back ends little and make whole answers out of partial ones.
const RETRY_PART: f64 = 0.8;
/// Below this factor no hedges are sent: a hedge is work that runs twice.
const HEDGE_FACTOR: f64 = 0.5;
/// Most attempts set aside for probes.
const MAX_RESERVED: u32 = 2;
/// Growth of the factor in each second without sheds.
const RECOVERY_PER_SECOND: f64 = 0.1;
/// Time constant of the rate of needed work.
const RATE_CONSTANT: f64 = 1.0;

/// The budget of one service in one agent.
#[derive(Clone, Debug)]
pub struct ExtraBudget {
    share: f64,
    factor: f64,
    tokens: f64,
    reserved: u32,
    needed_per_second: f64,
    updated_at: Duration,
}

impl ExtraBudget {
    /// An empty budget that earns `share` tokens for each sub-request that a query needs.
    pub fn new(share: f64) -> Self {
        Self {
            share,
            factor: 1.0,
            tokens: 0.0,
            reserved: 0,
            needed_per_second: 0.0,
            updated_at: Duration::ZERO,
        }
    }

    /// Changes the share.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// 1 without sheds; sheds lower it to 0. Below 0.5 there are no hedges, and at 0 a fifth of the
    /// budget is gone.
    pub fn factor(&self) -> f64 {
        self.factor
    }

    /// Earns for work that a query needs.
    pub fn earn(&mut self, now: Duration, sub_requests: u32) {
        self.advance(now);
        let needed = f64::from(sub_requests);
        self.needed_per_second += needed / RATE_CONSTANT;
        self.tokens = (self.tokens + needed * self.effective_share()).min(self.cap());
    }

    /// Sets one attempt aside for the request that serves as a probe: its back end may well not
    /// answer, and then it needs a hedge, whatever the budget is by then. `false` means that the
    /// budget cannot bear a probe now.
    pub fn reserve(&mut self, now: Duration) -> bool {
        self.advance(now);
        if self.reserved >= MAX_RESERVED {
            return false;
        }
        let taken = self.take_unreserved(ExtraAttemptKind::Hedge);
        self.reserved += u32::from(taken);
        taken
    }

    /// Gives back what was set aside for a probe, unless its hedge has taken it.
    pub fn release(&mut self) {
        if let Some(left) = self.reserved.checked_sub(1) {
            self.reserved = left;
            self.tokens = (self.tokens + 1.0).min(self.cap());
        }
    }

    /// Takes one hedge or retry; `false` means not allowed.
    pub fn take(&mut self, now: Duration, kind: ExtraAttemptKind) -> bool {
        self.advance(now);
        if self.take_unreserved(kind) {
            return true;
        }
        let left = self.reserved.checked_sub(1);
        self.reserved = left.unwrap_or(0);
        left.is_some()
    }

    fn take_unreserved(&mut self, kind: ExtraAttemptKind) -> bool {
        if kind == ExtraAttemptKind::Hedge && self.factor < HEDGE_FACTOR {
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
        let full_second = self.needed_per_second * self.share;
        let bite = SHED_COST / full_second.max(SHED_COST);
        self.factor = (self.factor - bite).max(0.0);
        self.tokens = self.tokens.min(self.cap());
    }

    fn cap(&self) -> f64 {
        let saved = self.needed_per_second * self.effective_share() * SAVED_SECONDS;
        saved.max(MIN_SAVED)
    }

    fn effective_share(&self) -> f64 {
        self.share * (RETRY_PART + (1.0 - RETRY_PART) * self.factor)
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
