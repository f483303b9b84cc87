//! One replica's part of a tenant's token bucket.

use std::{collections::VecDeque, time::Duration};

use crate::allowance::PartAllowance;

/// The longest wait that is told to a caller that was refused, and up to which tokens are promised: callers that
/// wait longer have given up.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// Sums of small gains fall short of a whole token by rounding; so little is made up for. It is far below
/// what a window can tell apart.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// A loan that comes later than this after it was asked for is dropped. So long the lender's room for it stays blocked.
pub(crate) const LOAN_LIFETIME: Duration = Duration::from_millis(100);

/// One part of a tenant's token bucket; it starts empty. Tokens and blocked room never exceed the depth together.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    allowance: PartAllowance,
    /// Below 0 after a lower limit.
    tokens: f64,
    /// Room of tokens that were lent and may still be on their way, by the time until which they may.
    lent: VecDeque<(Duration, u32)>,
    refilled_at: Duration,
    started_at: Duration,
    /// When the last token comes that is promised to a caller that was refused.
    last_promise_at: Duration,
}

impl TokenBucket {
    /// An empty part. It gains nothing while loans of the former one may be on their way.
    pub(crate) fn new(now: Duration, allowance: PartAllowance) -> Self {
        Self {
            allowance,
            tokens: 0.0,
            lent: VecDeque::new(),
            refilled_at: now + LOAN_LIFETIME,
            started_at: now + LOAN_LIFETIME,
            last_promise_at: Duration::ZERO,
        }
    }

    /// Takes another allowance. What was lacking to a full part stays lacking where the depth goes down.
    pub(crate) fn resize(&mut self, now: Duration, allowance: PartAllowance) {
        self.refill(now);
        self.tokens += (allowance.depth - self.allowance.depth).min(0.0);
        self.allowance = allowance;
        self.last_promise_at = Duration::ZERO;
    }

    /// Takes as many whole tokens as there are, `wanted` at the most.
    pub(crate) fn take(&mut self, now: Duration, wanted: u32) -> u32 {
        self.take_above_reserve(now, wanted, 0.0)
    }

    /// Takes tokens beyond the next one that others will ask for, as far as the part can hold more than that.
    pub(crate) fn take_spare(&mut self, now: Duration, wanted: u32) -> u32 {
        let reserve = (self.allowance.depth - 1.0).clamp(0.0, 1.0);
        self.take_above_reserve(now, wanted, reserve)
    }

    /// Takes as many whole tokens as there are beyond those that are kept, `wanted` at the most.
    fn take_above_reserve(&mut self, now: Duration, wanted: u32, reserve: f64) -> u32 {
        self.refill(now);
        let taken = wanted.min((self.tokens - reserve + ROUNDING_TOLERANCE).max(0.0) as u32);
        self.tokens -= f64::from(taken);
        taken
    }

    /// Takes tokens for another part, as many as there are beyond those that are kept.
    pub(crate) fn lend(&mut self, now: Duration, wanted: u32, reserve: f64) -> u32 {
        let tokens = self.take_above_reserve(now, wanted, reserve);
        if tokens > 0 {
            self.lent.push_back((now + LOAN_LIFETIME, tokens));
        }
        tokens
    }

    /// Takes tokens of another part, as far as there is room.
    pub(crate) fn deposit(&mut self, now: Duration, tokens: u32) {
        let accepted = f64::from(tokens).min(self.room(now));
        self.tokens += accepted.max(0.0);
    }

    /// Room that is left for tokens.
    pub(crate) fn room(&mut self, now: Duration) -> f64 {
        self.refill(now);
        self.allowance.depth - self.blocked_room() - self.tokens
    }

    /// The tokens that are there.
    pub(crate) fn tokens(&mut self, now: Duration) -> f64 {
        self.refill(now);
        self.tokens.max(0.0)
    }

    /// Whether a whole token is there.
    pub(crate) fn has_token(&mut self, now: Duration) -> bool {
        self.refill(now);
        self.tokens + ROUNDING_TOLERANCE >= 1.0
    }

    /// Tokens that come in a second.
    pub(crate) fn per_second(&self) -> f64 {
        self.allowance.per_second
    }

    /// Whether this part is too new to know whether its own tokens will be asked for.
    pub(crate) fn is_new(&self, now: Duration) -> bool {
        now.saturating_sub(self.started_at) < self.time_to_refill(2.0)
    }

    /// Time in which all other parts have to be asked in turn, so that none of them stays full while this one is short.
    pub(crate) fn time_to_ask_all(&self) -> Duration {
        self.time_to_refill(self.allowance.depth) / 2
    }

    /// The number of parts.
    pub(crate) fn parts(&self) -> f64 {
        self.allowance.parts
    }

    /// Promises the next token that is not promised yet to a caller that is refused; returns the time until it is there.
    /// Without this all who are refused would come back for the same token.
    pub(crate) fn promise_token(&mut self, now: Duration) -> Duration {
        self.refill(now);
        let missing = (1.0 - self.tokens).max(0.0);
        let first = now.max(self.refilled_at) + self.time_to_refill(missing);
        let next = self.last_promise_at + self.time_to_refill(1.0);
        let promised = if self.last_promise_at > now {
            first.max(next)
        } else {
            first
        };
        let latest = now + MAX_WAIT;
        if promised > latest {
            return MAX_WAIT;
        }
        self.last_promise_at = promised;
        promised - now
    }

    /// Time in which so many tokens come; twice the longest wait at the most.
    fn time_to_refill(&self, tokens: f64) -> Duration {
        let seconds = tokens / self.allowance.per_second;
        Duration::try_from_secs_f64(seconds)
            .unwrap_or(MAX_WAIT)
            .min(MAX_WAIT * 2)
    }

    /// Adds what refilled until now. The room of a loan refills from when the loan can no longer arrive.
    fn refill(&mut self, now: Duration) {
        while let Some((until, _)) = self.lent.front().copied() {
            if until > now {
                break;
            }
            self.refill_until(until);
            self.lent.pop_front();
        }
        self.refill_until(now);
    }

    fn refill_until(&mut self, time: Duration) {
        let elapsed_seconds = time.saturating_sub(self.refilled_at).as_secs_f64();
        let max_tokens = self.allowance.depth - self.blocked_room();
        let filled = self.tokens + elapsed_seconds * self.allowance.per_second;
        self.tokens = filled.min(max_tokens.max(self.tokens));
        self.refilled_at = self.refilled_at.max(time);
    }

    /// Room of tokens that were lent and may still be on their way.
    fn blocked_room(&self) -> f64 {
        let lent: u32 = self.lent.iter().map(|(_, tokens)| tokens).sum();
        f64::from(lent)
    }
}
