//! Decides when a part of a tenant's quota requests tokens from other parts, and how many it lends.
//!
//! Demand is rarely distributed as evenly as the parts. A part requests tokens ahead of time, before it is empty, and
//! lends the tokens that its own demand does not need. It lends only what it holds above its low watermark, below which
//! it would request tokens itself, so that two parts never pass the same tokens back and forth.

use std::time::Duration;

use crate::{
    bucket::{LOAN_LIFETIME, TokenBucket},
    demand::DemandRate,
};

/// Half-life of the demand that decides on loan requests: short, since a part has to follow shifting demand.
const DEMAND_HALF_LIFE: Duration = Duration::from_millis(500);
/// A part requests tokens when it holds fewer than its demand during this time, which is a few round trips between
/// distant replicas.
const LOW_WATERMARK_TIME: Duration = Duration::from_millis(150);
/// Like [`LOW_WATERMARK_TIME`], for rare demand, whose requests come one at a time.
const RARE_LOW_WATERMARK_TIME: Duration = Duration::from_millis(1_000);
/// A part requests the tokens that its demand will need during this time.
const REQUEST_AHEAD: Duration = Duration::from_millis(250);
/// On top of its low watermark, a lender keeps the tokens that its demand needs beyond its own refill during this time.
const LENDER_RESERVE_TIME: Duration = Duration::from_millis(500);
/// Half-life of rare demand, for loan requests; it has to follow shifting demand, too.
const RARE_DEMAND_HALF_LIFE: Duration = Duration::from_secs(2);
/// Minimum rate of rare demand for which loans are requested ahead, in requests per second. The estimate after a single
/// request stays below it.
const MIN_RARE_RATE_PER_SECOND: f64 = 0.45;
/// Half-life of demand for lending, so that a lender still keeps a token for demand that it has not seen for a few
/// seconds.
const LENDER_DEMAND_HALF_LIFE: Duration = Duration::from_secs(5);
/// If fewer requests than this are expected until the next token is refilled, a lender keeps no token for itself.
const NEGLIGIBLE_REQUESTS: f64 = 0.1;
/// The expected time until a loan arrives. A part counts on the room that its demand will have freed by then.
const EXPECTED_ROUND_TRIP: Duration = Duration::from_millis(30);
/// The maximum number of open loan requests of a tenant. There are several at a time because parts of small quotas have
/// only one or two tokens to lend, and asking one part after the other takes too long.
const MAX_OPEN_REQUESTS: usize = 4;
/// The first delay before the next request after a loan was empty or did not arrive; doubled each time.
const MIN_BACKOFF: Duration = Duration::from_millis(5);
/// The longest delay before the next request.
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// After this many loan requests in a row without any tokens, callers are no longer kept waiting for a loan.
const MAX_CONSECUTIVE_EMPTY: u32 = 10;
/// After this time without another empty loan, the previous ones no longer count.
const EMPTY_LOAN_EXPIRY: Duration = Duration::from_secs(1);
/// A part that received no request for this long needs no loans.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// The number of low bits of a request number that are a counter. The other bits start as a random salt.
const COUNTER_BITS: u32 = 11;

/// A loan request to send to another part.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OutgoingLoanRequest {
    pub(crate) number: u64,
    pub(crate) wanted: u32,
}

/// A loan request that has not been answered yet.
#[derive(Clone, Copy, Debug)]
struct OpenLoanRequest {
    number: u64,
    wanted: u32,
    requested_at: Duration,
}

/// One part's loan requests and demand for one tenant.
#[derive(Clone, Debug)]
pub(crate) struct LoanState {
    demand: DemandRate,
    rare_demand: DemandRate,
    lender_demand: DemandRate,
    last_request: Duration,
    /// Whether the last request found no token.
    is_exhausted: bool,
    open: Vec<OpenLoanRequest>,
    backoff: Duration,
    next_request_at: Duration,
    /// The number of loan requests in a row that brought no tokens, and the time of the last one.
    consecutive_empty: u32,
    last_empty_at: Duration,
    /// The number of the last loan request; a random salt at first, or 0 before the first request for tokens.
    last_number: u64,
}

impl LoanState {
    /// Creates the state of a part without demand.
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
            last_number: 0,
        }
    }

    /// Records a request for tokens. The first `draw`, a uniformly distributed random number from 0 to 1, determines
    /// where this replica's request numbers start. A loan sent to this replica before a restart therefore answers none
    /// of its requests after the restart.
    pub(crate) fn record_request(&mut self, now: Duration, wanted: u32, draw: f64) {
        if self.last_number == 0 {
            self.last_number = draw.to_bits() << COUNTER_BITS;
        }
        self.demand.add(now, wanted);
        self.rare_demand.add(now, wanted);
        self.lender_demand.add(now, wanted);
        self.last_request = now;
    }

    /// Records whether a request was refused because no token was available.
    pub(crate) fn note_refused(&mut self, is_refused: bool) {
        self.is_exhausted = is_refused;
    }

    /// Returns whether the part is out of tokens or soon will be, while requests keep coming that need more than its
    /// own tokens.
    pub(crate) fn is_short(&self, now: Duration, bucket: &mut TokenBucket) -> bool {
        let is_recent = now.saturating_sub(self.last_request) < IDLE_TIMEOUT;
        let needs_tokens = self.is_exhausted || self.exceeds_refill(now, bucket);
        is_recent && needs_tokens && bucket.tokens(now) < self.low_watermark(now)
    }

    /// Returns the number of tokens below which a part requests a loan if its demand exceeds its refill.
    fn low_watermark(&self, now: Duration) -> f64 {
        let frequent = self.demand.per_second(now) * LOW_WATERMARK_TIME.as_secs_f64();
        let rare = self.rare_demand.per_second(now) * RARE_LOW_WATERMARK_TIME.as_secs_f64();
        frequent.max(rare).max(1.0)
    }

    /// Returns whether the demand exceeds this part's refill rate.
    pub(crate) fn exceeds_refill(&self, now: Duration, bucket: &TokenBucket) -> bool {
        let rate = self.demand.per_second(now);
        let is_frequent = rate * LOW_WATERMARK_TIME.as_secs_f64() >= 1.0;
        let rare_rate = self.rare_demand.per_second(now);
        rare_rate > bucket.per_second().max(MIN_RARE_RATE_PER_SECOND)
            || is_frequent && rate > bucket.per_second()
    }

    /// Opens a loan request if one is due, and returns what to send.
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
        self.last_number = self.last_number.wrapping_add(1);
        let number = self.last_number;
        self.open.push(OpenLoanRequest {
            number,
            wanted,
            requested_at: now,
        });
        Some(OutgoingLoanRequest { number, wanted })
    }

    /// Returns the number of tokens to request from one other part: the tokens that this part needs beyond those it has
    /// already requested, spread over several other parts.
    fn tokens_per_request(&self, now: Duration, bucket: &mut TokenBucket) -> u32 {
        let per_second = self.demand.per_second(now);
        let upcoming = per_second * REQUEST_AHEAD.as_secs_f64();
        let outstanding = self.outstanding();
        let needed = upcoming.max(self.low_watermark(now)) - bucket.tokens(now);
        let freed_room = (per_second - bucket.per_second()) * EXPECTED_ROUND_TRIP.as_secs_f64();
        let room = bucket.room(now) + freed_room.max(0.0).floor();
        let missing = needed.max(1.0).min(room) - outstanding;
        let remaining_requests = (MAX_OPEN_REQUESTS - self.open.len()) as f64;
        let min_tokens = if missing >= 1.0 { 1.0 } else { 0.0 };
        (missing / remaining_requests)
            .ceil()
            .min(missing)
            .max(min_tokens) as u32
    }

    /// Returns the number of tokens that the open requests may bring.
    fn outstanding(&self) -> f64 {
        self.open.iter().map(|open| f64::from(open.wanted)).sum()
    }

    /// Adds the tokens of a loan if it answers an open request and is not late.
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

    /// Returns whether other parts may have tokens to lend, which is false only if the last [`MAX_CONSECUTIVE_EMPTY`]
    /// requests brought none and the last of them is recent.
    pub(crate) fn may_receive_loan(&self, now: Duration) -> bool {
        let is_long_ago = now.saturating_sub(self.last_empty_at) > EMPTY_LOAN_EXPIRY;
        self.consecutive_empty < MAX_CONSECUTIVE_EMPTY || is_long_ago
    }

    /// Takes tokens for another part, as far as this part's own demand does not need them.
    pub(crate) fn lend(&self, now: Duration, bucket: &mut TokenBucket, wanted: u32) -> u32 {
        let expected_requests = self.lender_demand.per_second(now) / bucket.per_second();
        if expected_requests < NEGLIGIBLE_REQUESTS && !bucket.is_new(now) {
            return bucket.lend(now, wanted, 0.0);
        }
        let deficit = self.demand.per_second(now) - bucket.per_second();
        let deficit = deficit.max(0.0) * LENDER_RESERVE_TIME.as_secs_f64();
        let reserve = match self.exceeds_refill(now, bucket) {
            true => self.low_watermark(now) + deficit,
            false => 1.0,
        };
        bucket.lend(now, wanted, reserve)
    }

    /// Drops open requests whose loans would be too late by now.
    fn drop_expired(&mut self, now: Duration, bucket: &TokenBucket) {
        let before = self.open.len();
        let is_expired =
            |open: &OpenLoanRequest| now.saturating_sub(open.requested_at) > LOAN_LIFETIME;
        self.open.retain(|open| !is_expired(open));
        if self.open.len() < before {
            self.back_off(now, bucket);
        }
    }

    /// Records a request that brought no tokens, and delays the next one.
    fn back_off(&mut self, now: Duration, bucket: &TokenBucket) {
        self.consecutive_empty = self.consecutive_empty.saturating_add(1);
        self.last_empty_at = now;
        let max_backoff = bucket.time_to_ask_all().div_f64(bucket.parts());
        let max_backoff = max_backoff.clamp(MIN_BACKOFF, MAX_BACKOFF);
        self.next_request_at = now + self.backoff.min(max_backoff);
        self.backoff = (self.backoff * 2).min(max_backoff);
    }
}
