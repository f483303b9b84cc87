//! One replica's part of a tenant's token bucket.

use std::{collections::VecDeque, time::Duration};

use crate::allowance::PartAllowance;

/// The longest wait that is reported to a refused caller. Tokens are promised at most this far ahead, since callers
/// that have to wait longer have given up by then.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// Tolerance for rounding errors: the sum of many small refills may be slightly less than a whole token. The value is
/// far too small to matter in any window.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// A loan that arrives later than this after it was requested is dropped. The lender keeps the room of the lent tokens
/// blocked for the same time.
pub(crate) const LOAN_LIFETIME: Duration = Duration::from_millis(100);

/// One part of a tenant's token bucket; it starts empty. The sum of its tokens and its blocked room never exceeds the
/// depth.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    allowance: PartAllowance,
    /// May be negative after the limit was lowered.
    tokens: f64,
    /// Lent tokens that may not have arrived yet, whose room is blocked. Each entry holds the time until which they may
    /// arrive and their number.
    lent: VecDeque<(Duration, u32)>,
    refilled_at: Duration,
    started_at: Duration,
    /// The time at which the last token promised to a refused caller becomes available.
    promised_until: Duration,
}

impl TokenBucket {
    /// Creates an empty part. It does not refill while loans of a previous part of this replica may not have arrived
    /// yet.
    pub(crate) fn new(now: Duration, allowance: PartAllowance) -> Self {
        Self {
            allowance,
            tokens: 0.0,
            lent: VecDeque::new(),
            refilled_at: now + LOAN_LIFETIME,
            started_at: now + LOAN_LIFETIME,
            promised_until: Duration::ZERO,
        }
    }

    /// Applies a new allowance. Where the depth decreases, the number of tokens missing from a full part does not
    /// change, but the part owes at most what it refills in a span.
    pub(crate) fn resize(&mut self, now: Duration, allowance: PartAllowance) {
        self.refill(now);
        let removed = (self.allowance.depth - allowance.depth).max(0.0);
        self.tokens = (self.tokens - removed).max(-allowance.refill_per_span);
        self.allowance = allowance;
        self.promised_until = Duration::ZERO;
    }

    /// Takes up to `wanted` whole tokens, and returns how many were taken.
    pub(crate) fn take(&mut self, now: Duration, wanted: u32) -> u32 {
        self.take_above_reserve(now, wanted, 0.0)
    }

    /// Takes up to `wanted` whole tokens but leaves one for other requests. If the depth is below two tokens, it leaves
    /// only `depth - 1`, since the bucket could otherwise never hold a token to spare.
    pub(crate) fn take_spare(&mut self, now: Duration, wanted: u32) -> u32 {
        let reserve = (self.allowance.depth - 1.0).clamp(0.0, 1.0);
        self.take_above_reserve(now, wanted, reserve)
    }

    /// Takes up to `wanted` whole tokens, and leaves at least `reserve` tokens.
    fn take_above_reserve(&mut self, now: Duration, wanted: u32, reserve: f64) -> u32 {
        self.refill(now);
        let taken = wanted.min((self.tokens - reserve + ROUNDING_TOLERANCE).max(0.0) as u32);
        self.tokens -= f64::from(taken);
        taken
    }

    /// Takes up to `wanted` whole tokens for another part, and leaves at least `reserve` tokens.
    pub(crate) fn lend(&mut self, now: Duration, wanted: u32, reserve: f64) -> u32 {
        let tokens = self.take_above_reserve(now, wanted, reserve);
        if tokens > 0 {
            self.lent.push_back((now + LOAN_LIFETIME, tokens));
        }
        tokens
    }

    /// Adds tokens lent by another part, as far as there is room for them.
    pub(crate) fn deposit(&mut self, now: Duration, tokens: u32) {
        let accepted = f64::from(tokens).min(self.room(now));
        self.tokens += accepted.max(0.0);
    }

    /// Returns the room that is left for tokens.
    pub(crate) fn room(&mut self, now: Duration) -> f64 {
        self.refill(now);
        self.allowance.depth - self.blocked_room() - self.tokens
    }

    /// Returns the number of available tokens.
    pub(crate) fn tokens(&mut self, now: Duration) -> f64 {
        self.refill(now);
        self.tokens.max(0.0)
    }

    /// Returns whether at least one whole token is available.
    pub(crate) fn has_token(&mut self, now: Duration) -> bool {
        self.refill(now);
        self.tokens + ROUNDING_TOLERANCE >= 1.0
    }

    /// Returns the refill rate in tokens per second.
    pub(crate) fn per_second(&self) -> f64 {
        self.allowance.per_second
    }

    /// Returns whether this part started too recently to tell whether its own tokens will be needed.
    pub(crate) fn is_new(&self, now: Duration) -> bool {
        now.saturating_sub(self.started_at) < self.time_to_refill(2.0)
    }

    /// Returns the time within which all other parts should be asked in turn, so that none of them stays full while
    /// this one needs tokens.
    pub(crate) fn time_to_ask_all(&self) -> Duration {
        self.time_to_refill(self.allowance.depth) / 2
    }

    /// Returns the number of parts into which the quota is divided.
    pub(crate) fn parts(&self) -> f64 {
        self.allowance.parts
    }

    /// Promises the next token that is not promised yet to a refused caller, and returns the time until it is
    /// available. Without this, all refused callers would come back for the same token.
    pub(crate) fn promise_token(&mut self, now: Duration) -> Duration {
        self.refill(now);
        let missing = (1.0 - self.tokens).max(0.0);
        let first = now.max(self.refilled_at) + self.time_to_refill(missing);
        let next = self.promised_until + self.time_to_refill(1.0);
        let promised = if self.promised_until > now {
            first.max(next)
        } else {
            first
        };
        let latest = now + MAX_WAIT;
        if promised > latest {
            return MAX_WAIT;
        }
        self.promised_until = promised;
        promised - now
    }

    /// Returns the time it takes to refill this many tokens, at most twice [`MAX_WAIT`].
    fn time_to_refill(&self, tokens: f64) -> Duration {
        let seconds = tokens / self.allowance.per_second;
        Duration::try_from_secs_f64(seconds)
            .unwrap_or(MAX_WAIT)
            .min(MAX_WAIT * 2)
    }

    /// Adds the tokens refilled until now. The room of a loan starts to refill when the loan can no longer arrive.
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

    /// Returns the room of lent tokens that may not have arrived yet.
    fn blocked_room(&self) -> f64 {
        let lent: u32 = self.lent.iter().map(|(_, tokens)| tokens).sum();
        f64::from(lent)
    }
}
