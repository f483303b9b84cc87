//! Budget for the hedges and retries of a service, as a share of the sub-requests that queries
//! need.
//!
//! Only needed sub-requests add tokens, and the budget starts empty, so the extra load since the
//! start never exceeds the share. Each shed attempt, including the first, immediately lowers a
//! factor that scales the budget, by the equivalent of one extra attempt per second. The factor
//! recovers slowly.

use std::time::Duration;

use crate::interface::ExtraAttemptKind;

/// Capacity of the budget, in seconds of its income at the current rate of needed sub-requests.
const BURST_SECONDS: f64 = 0.15;
/// Smallest capacity of the budget.
const MIN_BURST_TOKENS: f64 = 2.0;
/// Extra attempts per second for which one shed attempt lowers the factor: it falls by this penalty
/// divided by the extra attempts earned per second. When the sheds per second reach
/// [`RECOVERY_PER_SECOND`] times the extra attempts earned per second, divided by this penalty, the
/// factor falls to 0 and only the minimum budget remains.
const SHED_PENALTY: f64 = 1.0;
/// Fraction of the budget that remains when the factor is 0. Retrying an attempt that one back end
/// shed at another one with spare capacity costs the back ends little and turns partial replies
/// into complete ones.
const MIN_SHARE_FACTOR: f64 = 0.8;
/// Factor below which no hedges are sent, since a hedge executes the same work twice.
const MIN_HEDGE_FACTOR: f64 = 0.5;
/// Largest number of attempts reserved for probes.
const MAX_RESERVED_ATTEMPTS: u32 = 2;
/// Increase of the factor per second.
const RECOVERY_PER_SECOND: f64 = 0.1;
/// Time constant of the moving average of the rate of needed sub-requests.
const RATE_TIME_CONSTANT_SECONDS: f64 = 1.0;

/// Budget of one service in one agent.
#[derive(Clone, Debug)]
pub struct ExtraAttemptBudget {
    share: f64,
    factor: f64,
    tokens: f64,
    reserved: u32,
    needed_per_second: f64,
    updated_at: Duration,
}

impl ExtraAttemptBudget {
    /// Creates an empty budget that earns `share` tokens per needed sub-request.
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

    /// Sets the number of tokens earned per needed sub-request.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Returns the current factor: 1 without shedding, reduced by shed attempts down to 0. Hedges
    /// stop below 0.5; at 0 the budget is a fifth smaller.
    pub fn factor(&self) -> f64 {
        self.factor
    }

    /// Adds tokens for sub-requests that a query needs.
    pub fn deposit(&mut self, now: Duration, sub_requests: u32) {
        self.advance(now);
        let needed = f64::from(sub_requests);
        self.needed_per_second += needed / RATE_TIME_CONSTANT_SECONDS;
        self.tokens = (self.tokens + needed * self.effective_share()).min(self.max_tokens());
    }

    /// Reserves one attempt for a request that serves as a probe. Its back end may well not answer,
    /// and the request then needs a hedge regardless of the state of the budget at that time.
    /// Returns `false` when the budget does not allow a probe now.
    pub fn reserve(&mut self, now: Duration) -> bool {
        self.advance(now);
        if self.reserved >= MAX_RESERVED_ATTEMPTS {
            return false;
        }
        let is_reserved = self.withdraw_unreserved(ExtraAttemptKind::Hedge);
        self.reserved += u32::from(is_reserved);
        is_reserved
    }

    /// Returns the token reserved for a probe, unless a hedge has used it.
    pub fn release(&mut self) {
        if let Some(remaining) = self.reserved.checked_sub(1) {
            self.reserved = remaining;
            self.tokens = (self.tokens + 1.0).min(self.max_tokens());
        }
    }

    /// Takes a token for one hedge or retry, or a reserved one if no other may be used. Returns
    /// `false` if there is none.
    pub fn withdraw(&mut self, now: Duration, kind: ExtraAttemptKind) -> bool {
        self.advance(now);
        if self.withdraw_unreserved(kind) {
            return true;
        }
        let remaining = self.reserved.checked_sub(1);
        self.reserved = remaining.unwrap_or(0);
        remaining.is_some()
    }

    fn withdraw_unreserved(&mut self, kind: ExtraAttemptKind) -> bool {
        if kind == ExtraAttemptKind::Hedge && self.factor < MIN_HEDGE_FACTOR {
            return false;
        }
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Reduces the budget because a back end shed an attempt.
    pub fn record_shed(&mut self, now: Duration) {
        self.advance(now);
        let budget_per_second = self.needed_per_second * self.share;
        let reduction = SHED_PENALTY / budget_per_second.max(SHED_PENALTY);
        self.factor = (self.factor - reduction).max(0.0);
        self.tokens = self.tokens.min(self.max_tokens());
    }

    fn max_tokens(&self) -> f64 {
        let burst = self.needed_per_second * self.effective_share() * BURST_SECONDS;
        burst.max(MIN_BURST_TOKENS)
    }

    fn effective_share(&self) -> f64 {
        self.share * (MIN_SHARE_FACTOR + (1.0 - MIN_SHARE_FACTOR) * self.factor)
    }

    fn advance(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        if elapsed == 0.0 {
            return;
        }
        self.updated_at = now;
        self.needed_per_second *= (-elapsed / RATE_TIME_CONSTANT_SECONDS).exp();
        self.factor = (self.factor + RECOVERY_PER_SECOND * elapsed).min(1.0);
    }
}
