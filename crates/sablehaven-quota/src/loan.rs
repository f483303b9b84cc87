//! When a part of a tenant's quota asks another one for tokens, and what it lends.
//!
//! Demand is rarely spread as the parts are. A part asks ahead, before it is empty, and lends what its own demand does
//! not need. It lends only from above the level at which it would ask itself, so that two parts never pass the same
//! tokens back and forth.

use std::time::Duration;

use crate::{
    bucket::{LOAN_LIFE, TokenBucket},
    demand::DemandRate,
};

/// Memory of demand for loans: short, since a part has to follow demand that moves.
const DEMAND_HALF_LIFE: Duration = Duration::from_millis(500);
/// A part asks when it holds less than its demand over this time, a few round trips between distant replicas.
const ASK_BELOW: Duration = Duration::from_millis(150);
/// The same for rare demand, whose requests come one by one.
const ASK_RARELY_BELOW: Duration = Duration::from_millis(1_000);
/// A part asks for what its demand will need in this time.
const ASK_FOR: Duration = Duration::from_millis(250);
/// A lender keeps what its demand needs beyond its own refill in this time, on top of the level at which it asks itself.
const KEEP_FOR: Duration = Duration::from_millis(500);
/// Memory of rare demand, for asking: it has to follow demand that moves, too.
const RARE_DEMAND_HALF_LIFE: Duration = Duration::from_secs(2);
/// Rare demand, in requests a second, that the estimate after a single request does not reach.
const NO_SINGLE_REQUEST: f64 = 0.45;
/// Memory of demand for lending: a lender keeps a token for demand that it has not seen for some seconds.
const KEPT_DEMAND_HALF_LIFE: Duration = Duration::from_secs(5);
/// Requests expected until the next token comes, below which a lender keeps nothing for itself.
const NEGLIGIBLE_NEED: f64 = 0.1;
/// A loan is expected after this time; room that demand will have made by then is counted on.
const USUAL_ROUND_TRIP: Duration = Duration::from_millis(30);
/// The most open requests of a tenant. Parts of small quotas have a token or two to lend, which come too slowly where
/// one part is asked after the other.
const MOST_OPEN: usize = 4;
/// Time before the next request when a loan was empty or did not come; doubled each time.
const EMPTY_PAUSE: Duration = Duration::from_millis(5);
/// The longest time before the next request.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// Requests in a row that brought nothing, after which no caller is kept waiting for a loan.
const MOST_EMPTY: u32 = 10;
/// Time for which requests that brought nothing count.
const EMPTY_LASTS: Duration = Duration::from_secs(1);
/// A part without a request for this long has no need of loans.
const NEED_LASTS: Duration = Duration::from_secs(2);

/// Low bits of a number that count requests for loans; the others begin as a random salt.
const NUMBER_BITS: u32 = 11;

/// What is to be asked of another part.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoanAsk {
    pub(crate) number: u64,
    pub(crate) wanted: u32,
}

/// An open request for a loan.
#[derive(Clone, Copy, Debug)]
struct OpenLoan {
    number: u64,
    wanted: u32,
    asked_at: Duration,
}

/// One tenant's loans at one part.
#[derive(Clone, Debug)]
pub(crate) struct LoanNeed {
    demand: DemandRate,
    rare_demand: DemandRate,
    kept_demand: DemandRate,
    last_request: Duration,
    /// Whether a request was refused since a token was there.
    is_used_up: bool,
    open: Vec<OpenLoan>,
    pause: Duration,
    ask_after: Duration,
    /// Requests in a row that brought nothing, and the last of them.
    empty: u32,
    empty_at: Duration,
    /// Of the next request; a salt at first.
    next_number: u64,
}

impl LoanNeed {
    /// No demand yet.
    pub(crate) fn new(now: Duration) -> Self {
        Self {
            demand: DemandRate::new(DEMAND_HALF_LIFE, now),
            rare_demand: DemandRate::new(RARE_DEMAND_HALF_LIFE, now),
            kept_demand: DemandRate::new(KEPT_DEMAND_HALF_LIFE, now),
            last_request: now,
            is_used_up: false,
            open: Vec::new(),
            pause: EMPTY_PAUSE,
            ask_after: Duration::ZERO,
            empty: 0,
            empty_at: Duration::ZERO,
            next_number: 0,
        }
    }

    /// Counts a request for tokens. The first `draw`, uniform from 0 to 1, decides where this replica's numbers begin, so
    /// that a loan to the same replica before its restart answers none of its requests.
    pub(crate) fn count(&mut self, now: Duration, wanted: u32, draw: f64) {
        if self.next_number == 0 {
            self.next_number = draw.to_bits() << NUMBER_BITS;
        }
        self.demand.add(now, wanted);
        self.rare_demand.add(now, wanted);
        self.kept_demand.add(now, wanted);
        self.last_request = now;
    }

    /// Notes whether a request was refused for want of tokens.
    pub(crate) fn note_refused(&mut self, is_refused: bool) {
        self.is_used_up = is_refused;
    }

    /// Whether the part will be used up soon while requests come, more of them than its own tokens.
    pub(crate) fn is_short(&self, now: Duration, bucket: &mut TokenBucket) -> bool {
        let is_recent = now.saturating_sub(self.last_request) < NEED_LASTS;
        let has_need = self.is_used_up || self.is_above_refill(now, bucket);
        is_recent && has_need && bucket.tokens(now) < self.needed_soon(now)
    }

    /// Tokens under which a part asks where its demand is above its refill.
    fn needed_soon(&self, now: Duration) -> f64 {
        let often = self.demand.per_second(now) * ASK_BELOW.as_secs_f64();
        let rarely = self.rare_demand.per_second(now) * ASK_RARELY_BELOW.as_secs_f64();
        often.max(rarely).max(1.0)
    }

    /// Whether more is asked for than this part refills.
    pub(crate) fn is_above_refill(&self, now: Duration, bucket: &TokenBucket) -> bool {
        let often = self.demand.per_second(now);
        let is_often = often * ASK_BELOW.as_secs_f64() >= 1.0;
        let rarely = self.rare_demand.per_second(now);
        rarely > bucket.per_second().max(NO_SINGLE_REQUEST)
            || is_often && often > bucket.per_second()
    }

    /// Opens a request if it is time for one; returns what to ask for.
    pub(crate) fn ask(&mut self, now: Duration, bucket: &mut TokenBucket) -> Option<LoanAsk> {
        self.drop_late(now, bucket);
        let is_time = self.open.len() < MOST_OPEN && now >= self.ask_after;
        if !is_time || !self.is_short(now, bucket) {
            return None;
        }
        let wanted = self.wanted_of_each(now, bucket);
        if wanted == 0 {
            return None;
        }
        self.next_number = self.next_number.wrapping_add(1);
        let number = self.next_number;
        self.open.push(OpenLoan {
            number,
            wanted,
            asked_at: now,
        });
        Some(LoanAsk { number, wanted })
    }

    /// What the part lacks beyond what it has asked for, spread over several others.
    fn wanted_of_each(&self, now: Duration, bucket: &mut TokenBucket) -> u32 {
        let per_second = self.demand.per_second(now);
        let often = per_second * ASK_FOR.as_secs_f64();
        let coming = self.coming();
        let needed = often.max(self.needed_soon(now)) - bucket.tokens(now);
        let freed = (per_second - bucket.per_second()) * USUAL_ROUND_TRIP.as_secs_f64();
        let room = bucket.room(now) + freed.max(0.0).floor();
        let lacking = needed.max(1.0).min(room) - coming;
        let others = (MOST_OPEN - self.open.len()) as f64;
        let least = if lacking >= 1.0 { 1.0 } else { 0.0 };
        (lacking / others).ceil().min(lacking).max(least) as u32
    }

    /// Tokens that open requests may bring.
    fn coming(&self) -> f64 {
        self.open.iter().map(|open| f64::from(open.wanted)).sum()
    }

    /// Takes a loan if it answers an open request and is not late.
    pub(crate) fn receive(
        &mut self,
        now: Duration,
        bucket: &mut TokenBucket,
        number: u64,
        tokens: u32,
    ) {
        self.drop_late(now, bucket);
        let answered = self.open.iter().position(|open| open.number == number);
        let Some(answered) = answered else {
            return;
        };
        self.open.swap_remove(answered);
        bucket.put(now, tokens);
        if tokens == 0 {
            self.wait_longer(now, bucket);
            return;
        }
        self.pause = EMPTY_PAUSE;
        self.empty = 0;
    }

    /// Whether others may have tokens to lend: not all of those that were asked lately had none.
    pub(crate) fn may_come(&self, now: Duration) -> bool {
        let is_long_ago = now.saturating_sub(self.empty_at) > EMPTY_LASTS;
        self.empty < MOST_EMPTY || is_long_ago
    }

    /// Takes tokens out of the part for another one, as far as its own demand can spare them.
    pub(crate) fn lend(&self, now: Duration, bucket: &mut TokenBucket, wanted: u32) -> u32 {
        let rare_need = self.kept_demand.per_second(now) / bucket.per_second();
        if rare_need < NEGLIGIBLE_NEED && !bucket.is_new(now) {
            return bucket.lend(now, wanted, 0.0);
        }
        let lacking = self.demand.per_second(now) - bucket.per_second();
        let lacking = lacking.max(0.0) * KEEP_FOR.as_secs_f64();
        let kept = match self.is_above_refill(now, bucket) {
            true => self.needed_soon(now) + lacking,
            false => 1.0,
        };
        bucket.lend(now, wanted, kept)
    }

    /// Drops open requests whose loans would be refused by now.
    fn drop_late(&mut self, now: Duration, bucket: &TokenBucket) {
        let before = self.open.len();
        let is_late = |open: &OpenLoan| now.saturating_sub(open.asked_at) > LOAN_LIFE;
        self.open.retain(|open| !is_late(open));
        if self.open.len() < before {
            self.wait_longer(now, bucket);
        }
    }

    /// Notes a request that brought nothing, and puts off the next one.
    fn wait_longer(&mut self, now: Duration, bucket: &TokenBucket) {
        self.empty = self.empty.saturating_add(1);
        self.empty_at = now;
        let longest = bucket.time_to_ask_all().div_f64(bucket.parts());
        let longest = longest.clamp(EMPTY_PAUSE, LONGEST_PAUSE);
        self.ask_after = now + self.pause.min(longest);
        self.pause = (self.pause * 2).min(longest);
    }
}
