//! When a part of a tenant's quota asks another one for tokens, and what it lends.
//!
//! Demand is rarely spread as the parts are. A part asks ahead, before it is empty, and lends what its own demand does not need. It
//! lends only from above the level at which it would ask itself, so that two parts never pass the same tokens back and forth.

use std::time::Duration;

use crate::{
    bucket::{LOAN_LIFE, TokenBucket},
    demand::DemandRate,
};

/// Memory of demand for loans: short, since a part has to follow demand that moves.
const DEMAND_HALF_LIFE: Duration = Duration::from_millis(500);
/// A part asks when it holds less than its demand over this time, a few round trips between distant replicas.
const ASK_BELOW: Duration = Duration::from_millis(150);
/// A part asks for what its demand will need in this time.
const ASK_FOR: Duration = Duration::from_millis(250);
/// A lender keeps what its demand needs in this time: longer than the one under which it asks itself.
const KEEP_FOR: Duration = Duration::from_millis(500);
/// Memory of demand that is rare, for which a lender keeps one token.
const RARE_DEMAND_HALF_LIFE: Duration = Duration::from_secs(5);
/// Requests expected until the next token comes, below which a lender keeps nothing for itself.
const NEGLIGIBLE_NEED: f64 = 0.1;
/// A loan is expected after this time; room that demand will have made by then is counted on.
const USUAL_ROUND_TRIP: Duration = Duration::from_millis(30);
/// Time between two requests of a tenant while loans come.
const PAUSE: Duration = Duration::from_millis(2);
/// Time before the next request when a loan was empty or did not come; it doubles up to the longest.
const EMPTY_PAUSE: Duration = Duration::from_millis(5);
const LONGEST_PAUSE: Duration = Duration::from_millis(800);
/// A part without a request for this long has no need of loans.
const NEED_LASTS: Duration = Duration::from_secs(2);

/// Requests for loans are numbered in the low bits, from a salt in the others.
const NUMBER_BITS: u32 = 11;

/// What is to be asked of another part.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoanAsk {
    pub(crate) number: u64,
    pub(crate) wanted: u32,
}

/// The open request for a loan.
#[derive(Clone, Copy, Debug)]
struct OpenLoan {
    number: u64,
    asked_at: Duration,
}

/// One tenant's loans at one part.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoanNeed {
    demand: DemandRate,
    rare_demand: DemandRate,
    last_request: Duration,
    /// Whether a request was refused since a token was there.
    is_used_up: bool,
    open: Option<OpenLoan>,
    pause: Duration,
    ask_after: Duration,
    /// Of the next request; a salt at first.
    next_number: u64,
}

impl LoanNeed {
    /// No demand yet.
    pub(crate) fn new(now: Duration) -> Self {
        Self {
            demand: DemandRate::new(DEMAND_HALF_LIFE, now),
            rare_demand: DemandRate::new(RARE_DEMAND_HALF_LIFE, now),
            last_request: now,
            is_used_up: false,
            open: None,
            pause: EMPTY_PAUSE,
            ask_after: Duration::ZERO,
            next_number: 0,
        }
    }

    /// Counts a request for tokens. The first `draw`, uniform from 0 to 1, decides where this replica's numbers begin, so that a
    /// loan to the same replica before its restart answers none of its requests.
    pub(crate) fn count(&mut self, now: Duration, wanted: u32, draw: f64) {
        if self.next_number == 0 {
            self.next_number = draw.to_bits() << NUMBER_BITS;
        }
        self.demand.add(now, wanted);
        self.rare_demand.add(now, wanted);
        self.last_request = now;
    }

    /// Notes whether a request was refused for want of tokens.
    pub(crate) fn note_refused(&mut self, is_refused: bool) {
        self.is_used_up = is_refused;
    }

    /// Whether the part will be used up soon while requests come: often, or more of them than its own tokens.
    pub(crate) fn is_short(&self, now: Duration, bucket: &mut TokenBucket) -> bool {
        let is_recent = now.saturating_sub(self.last_request) < NEED_LASTS;
        let needed = self.demand.per_second(now) * ASK_BELOW.as_secs_f64();
        let is_rare_need =
            self.is_used_up || self.rare_demand.per_second(now) > bucket.per_second();
        let tokens = bucket.tokens(now);
        is_recent && (tokens < needed || tokens < 1.0 && is_rare_need)
    }

    /// Opens a request if it is time for one; returns what to ask for.
    pub(crate) fn ask(&mut self, now: Duration, bucket: &mut TokenBucket) -> Option<LoanAsk> {
        self.drop_late(now, bucket);
        if self.open.is_some() || now < self.ask_after || !self.is_short(now, bucket) {
            return None;
        }
        let per_second = self.demand.per_second(now);
        let needed = per_second * ASK_FOR.as_secs_f64() - bucket.tokens(now);
        let freed = (per_second - bucket.per_second()) * USUAL_ROUND_TRIP.as_secs_f64();
        let room = bucket.room(now) + freed.max(0.0);
        let wanted = needed.ceil().max(1.0).min(room) as u32;
        if wanted == 0 {
            return None;
        }
        self.next_number = self.next_number.wrapping_add(1);
        let number = self.next_number;
        self.open = Some(OpenLoan {
            number,
            asked_at: now,
        });
        Some(LoanAsk { number, wanted })
    }

    /// Takes a loan if it answers the open request and is not late.
    pub(crate) fn receive(
        &mut self,
        now: Duration,
        bucket: &mut TokenBucket,
        number: u64,
        tokens: u32,
    ) {
        self.drop_late(now, bucket);
        let answered = self.open.take_if(|open| open.number == number);
        if answered.is_none() {
            return;
        }
        bucket.put(now, tokens);
        if tokens == 0 {
            self.wait_longer(now, bucket);
            return;
        }
        self.pause = EMPTY_PAUSE;
        self.ask_after = now + PAUSE;
    }

    /// Takes tokens out of the part for another one, as far as its own demand can spare them.
    pub(crate) fn lend(&self, now: Duration, bucket: &mut TokenBucket, wanted: u32) -> u32 {
        let needed = self.demand.per_second(now) * KEEP_FOR.as_secs_f64();
        let rare_need = self.rare_demand.per_second(now) / bucket.per_second();
        let is_negligible = rare_need < NEGLIGIBLE_NEED && !bucket.is_new(now);
        let kept = if is_negligible { 0.0 } else { needed.max(1.0) };
        bucket.lend(now, wanted, kept)
    }

    fn drop_late(&mut self, now: Duration, bucket: &TokenBucket) {
        let is_late = |open: &mut OpenLoan| now.saturating_sub(open.asked_at) > LOAN_LIFE;
        if self.open.take_if(is_late).is_some() {
            self.wait_longer(now, bucket);
        }
    }

    fn wait_longer(&mut self, now: Duration, bucket: &TokenBucket) {
        let longest = bucket.time_to_ask_all().div_f64(bucket.parts());
        let longest = longest.clamp(EMPTY_PAUSE, LONGEST_PAUSE);
        self.ask_after = now + self.pause.min(longest);
        self.pause = (self.pause * 2).min(longest);
    }
}
