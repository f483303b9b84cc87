//! When a part of a tenant's quota asks another one for tokens, and what it lends.
//!
//! Demand is rarely spread as the parts are. A part asks ahead, before it is empty, and lends what its own demand does
//! not need. It lends only from above the level at which it would ask itself, so that two parts never pass the same
//! tokens back and forth.

use std::time::Duration;

use crate::{
    bucket::{LOAN_LIFETIME, TokenBucket},
    demand::DemandRate,
};

/// Memory of demand for loans: short, since a part has to follow demand that moves.
const DEMAND_HALF_LIFE: Duration = Duration::from_millis(500);
/// A part asks when it holds less than its demand over this time, a few round trips between distant replicas.
const LOW_WATERMARK_TIME: Duration = Duration::from_millis(150);
/// The same for rare demand, whose requests come one by one.
const RARE_LOW_WATERMARK_TIME: Duration = Duration::from_millis(1_000);
/// A part asks for what its demand will need in this time.
const REQUEST_AHEAD: Duration = Duration::from_millis(250);
/// A lender keeps what its demand needs beyond its own refill in this time, on top of the level at which it asks itself.
const LENDER_RESERVE_TIME: Duration = Duration::from_millis(500);
/// Memory of rare demand, for asking: it has to follow demand that moves, too.
const RARE_DEMAND_HALF_LIFE: Duration = Duration::from_secs(2);
/// Rare demand, in requests a second, that the estimate after a single request does not reach.
const MIN_RARE_RATE_PER_SECOND: f64 = 0.45;
/// Memory of demand for lending: a lender keeps a token for demand that it has not seen for some seconds.
const LENDER_DEMAND_HALF_LIFE: Duration = Duration::from_secs(5);
/// Requests expected until the next token comes, below which a lender keeps nothing for itself.
const NEGLIGIBLE_REQUESTS: f64 = 0.1;
/// A loan is expected after this time; room that demand will have made by then is counted on.
const EXPECTED_ROUND_TRIP: Duration = Duration::from_millis(30);
/// The most open requests of a tenant. Parts of small quotas have a token or two to lend, which come too slowly where
/// one part is asked after the other.
const MAX_OPEN_REQUESTS: usize = 4;
/// Time before the next request when a loan was empty or did not come; doubled each time.
const MIN_BACKOFF: Duration = Duration::from_millis(5);
/// The longest time before the next request.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Requests in a row that brought nothing, after which no caller is kept waiting for a loan.
const MAX_CONSECUTIVE_EMPTY: u32 = 10;
/// Time for which requests that brought nothing count.
const EMPTY_MEMORY: Duration = Duration::from_secs(1);
/// A part without a request for this long has no need of loans.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Low bits of a number that count requests for loans; the others begin as a random salt.
const COUNTER_BITS: u32 = 11;

/// What is to be asked of another part.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OutgoingLoanRequest {
    pub(crate) number: u64,
    pub(crate) wanted: u32,
}

/// An open request for a loan.
#[derive(Clone, Copy, Debug)]
struct OpenLoanRequest {
    number: u64,
    wanted: u32,
    asked_at: Duration,
}

/// One tenant's loans at one part.
#[derive(Clone, Debug)]
pub(crate) struct LoanState {
    demand: DemandRate,
    rare_demand: DemandRate,
    lender_demand: DemandRate,
    last_request: Duration,
    /// Whether a request was refused since a token was there.
    is_exhausted: bool,
    open: Vec<OpenLoanRequest>,
    backoff: Duration,
    next_request_at: Duration,
    /// Requests in a row that brought nothing, and the last of them.
    consecutive_empty: u32,
    last_empty_at: Duration,
    /// Of the next request; a salt at first.
    next_number: u64,
}

impl LoanState {
    /// No demand yet.
    pub(crate) fn new(now: Duration) -> Self {
        Self {
            demand: DemandRate::new(DEMAND_HALF_LIFE, now),
            rare_demand: DemandRate::new(RARE_DEMAND_HALF_LIFE, now),
            lender_demand: DemandRate::new(LENDER_DEMAND_HALF_LIFE, now),
            last_request: now,
            is_exhausted: false,
            open: Vec::new(),
            backoff: MIN_BACKOFF,
            next_request_at: Duration::ZERO,
            consecutive_empty: 0,
            last_empty_at: Duration::ZERO,
            next_number: 0,
        }
    }

    /// Counts a request for tokens. The first `draw`, uniform from 0 to 1, decides where this replica's numbers begin, so
    /// that a loan to the same replica before its restart answers none of its requests.
    pub(crate) fn record_request(&mut self, now: Duration, wanted: u32, draw: f64) {
        if self.next_number == 0 {
            self.next_number = draw.to_bits() << COUNTER_BITS;
        }
        self.demand.add(now, wanted);
        self.rare_demand.add(now, wanted);
        self.lender_demand.add(now, wanted);
        self.last_request = now;
    }

    /// Notes whether a request was refused for want of tokens.
    pub(crate) fn note_refused(&mut self, is_refused: bool) {
        self.is_exhausted = is_refused;
    }

    /// Whether the part will be used up soon while requests come, more of them than its own tokens.
    pub(crate) fn is_short(&self, now: Duration, bucket: &mut TokenBucket) -> bool {
        let is_recent = now.saturating_sub(self.last_request) < IDLE_TIMEOUT;
        let needs_tokens = self.is_exhausted || self.exceeds_refill(now, bucket);
        is_recent && needs_tokens && bucket.tokens(now) < self.low_watermark(now)
    }

    /// Tokens under which a part asks where its demand is above its refill.
    fn low_watermark(&self, now: Duration) -> f64 {
        let frequent = self.demand.per_second(now) * LOW_WATERMARK_TIME.as_secs_f64();
        let rare = self.rare_demand.per_second(now) * RARE_LOW_WATERMARK_TIME.as_secs_f64();
        frequent.max(rare).max(1.0)
    }

    /// Whether more is asked for than this part refills.
    pub(crate) fn exceeds_refill(&self, now: Duration, bucket: &TokenBucket) -> bool {
        let frequent = self.demand.per_second(now);
        let is_frequent = frequent * LOW_WATERMARK_TIME.as_secs_f64() >= 1.0;
        let rare = self.rare_demand.per_second(now);
        rare > bucket.per_second().max(MIN_RARE_RATE_PER_SECOND)
            || is_frequent && frequent > bucket.per_second()
    }

    /// Opens a request if it is time for one; returns what to ask for.
    pub(crate) fn open_request(
        &mut self,
        now: Duration,
        bucket: &mut TokenBucket,
    ) -> Option<OutgoingLoanRequest> {
        self.drop_expired(now, bucket);
        let is_time = self.open.len() < MAX_OPEN_REQUESTS && now >= self.next_request_at;
        if !is_time || !self.is_short(now, bucket) {
            return None;
        }
        let wanted = self.tokens_per_request(now, bucket);
        if wanted == 0 {
            return None;
        }
        self.next_number = self.next_number.wrapping_add(1);
        let number = self.next_number;
        self.open.push(OpenLoanRequest {
            number,
            wanted,
            asked_at: now,
        });
        Some(OutgoingLoanRequest { number, wanted })
    }

    /// What the part lacks beyond what it has asked for, spread over several others.
    fn tokens_per_request(&self, now: Duration, bucket: &mut TokenBucket) -> u32 {
        let per_second = self.demand.per_second(now);
        let frequent = per_second * REQUEST_AHEAD.as_secs_f64();
        let outstanding = self.outstanding();
        let needed = frequent.max(self.low_watermark(now)) - bucket.tokens(now);
        let expected_room = (per_second - bucket.per_second()) * EXPECTED_ROUND_TRIP.as_secs_f64();
        let room = bucket.room(now) + expected_room.max(0.0).floor();
        let missing = needed.max(1.0).min(room) - outstanding;
        let remaining_requests = (MAX_OPEN_REQUESTS - self.open.len()) as f64;
        let min_tokens = if missing >= 1.0 { 1.0 } else { 0.0 };
        (missing / remaining_requests)
            .ceil()
            .min(missing)
            .max(min_tokens) as u32
    }

    /// Tokens that open requests may bring.
    fn outstanding(&self) -> f64 {
        self.open.iter().map(|open| f64::from(open.wanted)).sum()
    }

    /// Takes a loan if it answers an open request and is not late.
    pub(crate) fn receive_loan(
        &mut self,
        now: Duration,
        bucket: &mut TokenBucket,
        number: u64,
        tokens: u32,
    ) {
        self.drop_expired(now, bucket);
        let answered = self.open.iter().position(|open| open.number == number);
        let Some(answered) = answered else {
            return;
        };
        self.open.swap_remove(answered);
        bucket.deposit(now, tokens);
        if tokens == 0 {
            self.back_off(now, bucket);
            return;
        }
        self.backoff = MIN_BACKOFF;
        self.consecutive_empty = 0;
    }

    /// Whether others may have tokens to lend: not all of those that were asked lately had none.
    pub(crate) fn may_receive_loan(&self, now: Duration) -> bool {
        let is_long_ago = now.saturating_sub(self.last_empty_at) > EMPTY_MEMORY;
        self.consecutive_empty < MAX_CONSECUTIVE_EMPTY || is_long_ago
    }

    /// Takes tokens out of the part for another one, as far as its own demand can spare them.
    pub(crate) fn lend(&self, now: Duration, bucket: &mut TokenBucket, wanted: u32) -> u32 {
        let expected_requests = self.lender_demand.per_second(now) / bucket.per_second();
        if expected_requests < NEGLIGIBLE_REQUESTS && !bucket.is_new(now) {
            return bucket.lend(now, wanted, 0.0);
        }
        let missing = self.demand.per_second(now) - bucket.per_second();
        let missing = missing.max(0.0) * LENDER_RESERVE_TIME.as_secs_f64();
        let reserve = match self.exceeds_refill(now, bucket) {
            true => self.low_watermark(now) + missing,
            false => 1.0,
        };
        bucket.lend(now, wanted, reserve)
    }

    /// Drops open requests whose loans would be refused by now.
    fn drop_expired(&mut self, now: Duration, bucket: &TokenBucket) {
        let before = self.open.len();
        let is_expired = |open: &OpenLoanRequest| now.saturating_sub(open.asked_at) > LOAN_LIFETIME;
        self.open.retain(|open| !is_expired(open));
        if self.open.len() < before {
            self.back_off(now, bucket);
        }
    }

    /// Notes a request that brought nothing, and puts off the next one.
    fn back_off(&mut self, now: Duration, bucket: &TokenBucket) {
        self.consecutive_empty = self.consecutive_empty.saturating_add(1);
        self.last_empty_at = now;
        let max_backoff = bucket.time_to_ask_all().div_f64(bucket.parts());
        let max_backoff = max_backoff.clamp(MIN_BACKOFF, MAX_BACKOFF);
        self.next_request_at = now + self.backoff.min(max_backoff);
        self.backoff = (self.backoff * 2).min(max_backoff);
    }
}
