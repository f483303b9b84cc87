//! How much one part of a tenant's quota may grant: its rate, its depth, and the life of a token.
//!
//! # Why no window goes over the bound
//!
//! A request counts in a window where it was sent by its caller and arrived at a server within it. Its token is spent
//! between the two and is never older than `token_lifetime` since it was asked for, so it was granted in the window or in that
//! life before it: within a *span* of window plus life. What all parts grant in a span is what they held at its start,
//! what refilled, and what they received on loan, less what they lent.
//!
//! - A part that lends keeps the room of what it lent blocked for the life of a loan: its tokens and that room never
//!   exceed its depth.
//! - A loan is received once, where it answers an open request that is no older than the life of a loan. It was lent after
//!   that request, so the lender's room is still blocked. A lender that was restarted meanwhile gains nothing for that
//!   time.
//!
//! At any time, therefore, all tokens that are held or may still be received are no more than the sum of the depths.
//! The parts grant at most that sum and what refills over a span, however late, lost or doubled loans are. Each part keeps
//! `depth + rate * span <= bound / parts`, whatever number of parts and quota it knows of; where replicas differ in these,
//! the greater bound holds while the group changes by one member at a time.
//!
//! A part whose depth is below one token grants none. That is where the bound leaves fewer tokens beyond the rate than
//! there are parts: the tolerance's slack has to be at least the number of parts for quotas without a burst.
//!
//! When a part gets less depth, what it lacks to be full stays lacking: otherwise it could grant its former depth just
//! before and refill at a higher rate just after. After a start, nothing is held: what was granted before counts in the
//! same span.

use std::time::Duration;

use sablehaven_types::{QuotaTolerance, RequestQuota};

/// The longest time for which a granted token is good: about as long as a gateway foresees what it will need.
const MAX_TOKEN_LIFETIME: Duration = Duration::from_millis(500);
/// Part of the tolerated excess that the life of tokens uses up; the rest makes up for unequal demand on equal parts.
const LIFETIME_EXCESS_FRACTION: f64 = 0.08;
/// The depth of each part covers the whole quota's demand in this time, a message and its answer between replicas: all
/// of it can then come to one replica as loans.
const MIN_DEPTH_DEMAND_TIME: Duration = Duration::from_millis(36);
/// Least part of what the bound leaves beyond the quota's rate that goes into the depth. Demand comes in bunches, and a
/// shallow part has nothing to lend.
const MIN_DEPTH_FRACTION: f64 = 0.6;

/// Time for which a granted token is good. A token that is spent late counts in a window that began after it was
/// granted, which the tolerance has to bear: without any, tokens are for the request that waits alone.
pub(crate) fn token_lifetime(tolerance: &QuotaTolerance) -> Duration {
    let tolerated = tolerance
        .window()
        .mul_f64(tolerance.excess() * LIFETIME_EXCESS_FRACTION);
    tolerated.min(MAX_TOKEN_LIFETIME)
}

/// What one part may grant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct PartAllowance {
    /// Tokens that the part gains a second.
    pub(crate) per_second: f64,
    /// The most tokens that it holds.
    pub(crate) depth: f64,
    /// The number of parts.
    pub(crate) parts: f64,
}

impl PartAllowance {
    /// The allowance of one of `parts`.
    ///
    /// Of what the bound leaves beyond the quota's rate, the burst and a token for each part come first; then the
    /// rate rises, so that the parts that are in use give the whole quota without the one more part, and each
    /// has its first token within a window of its start; what is left deepens the part.
    pub(crate) fn new(tolerance: &QuotaTolerance, quota: RequestQuota, parts: u32) -> Self {
        let parts = f64::from(parts.max(1));
        let window = tolerance.window().as_secs_f64();
        let span = window + token_lifetime(tolerance).as_secs_f64();
        let bound = tolerance.bound(quota) / parts;
        let fair_rate = quota.per_second / parts;
        let room = (bound - fair_rate * span).max(0.0);
        let min_depth = (quota.burst / parts)
            .max(quota.per_second * MIN_DEPTH_DEMAND_TIME.as_secs_f64())
            .max(1.0)
            .max(room * MIN_DEPTH_FRACTION)
            .min(room);
        let used_rate = quota.per_second / (parts - 1.0).max(1.0);
        let first_token_rate = 1.0 / window.max(f64::MIN_POSITIVE);
        let added_rate = used_rate.max(first_token_rate) - fair_rate;
        let added_rate = added_rate.max(0.0).min((room - min_depth) / span);
        let per_second = fair_rate + added_rate;
        Self {
            per_second,
            depth: (bound - per_second * span).max(0.0),
            parts,
        }
    }
}
