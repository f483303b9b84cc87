//! The rate and the depth of one part of a tenant's token bucket, and the lifetime of a token.
//!
//! # Why no window exceeds the bound
//!
//! A request counts in a window if its caller sent it and it arrived at a server within that window. Its token is spent
//! between these two moments, and no later than `token_lifetime` after the gateway requested the token. The token was
//! therefore granted within the window, or within one token lifetime before it: within a *span* that is as long as the
//! window plus the token lifetime. In a span, all parts together grant at most the tokens that they held at its start,
//! plus the refill, plus the tokens received on loan, minus the tokens lent.
//!
//! - A part that lends tokens keeps the room of these tokens blocked for the lifetime of the loan. Its tokens and the
//!   blocked room together never exceed its depth.
//! - A loan is received only once, and only if it answers an open request that is no older than the lifetime of a loan.
//!   The tokens were lent after that request was sent, so the lender's room is still blocked when they arrive. A lender
//!   that restarted in the meantime gains no tokens for one loan lifetime after its start.
//!
//! Therefore, at any time, the tokens that are held and those that may still be received together do not exceed the sum
//! of all depths. In a span, the parts grant at most that sum plus the refill of the span, no matter which loans are
//! late, lost or duplicated. Each part maintains `depth + rate * span <= bound / parts` for the number of parts and the
//! quota that it knows. Replicas may differ in these; the greater bound then holds, provided that the group changes by
//! one member at a time.
//!
//! A part whose depth is below one token grants nothing. This happens if the bound leaves fewer tokens above the
//! quota's rate than there are parts. For quotas without a burst, the tolerance's slack must therefore be at least the
//! number of parts.
//!
//! When the depth of a part is lowered, the number of tokens that it lacks to be full does not change. Otherwise the
//! part could grant its previous depth just before the change, and refill at a higher rate just after it. What it owes
//! after the change is limited to the refill of a span: with that it grants nothing in any span that contains the
//! change, and tokens granted earlier count in no later span. A part is empty after a start, since the tokens granted
//! before a restart count in the same span.

use std::time::Duration;

use sablehaven_types::{QuotaTolerance, RequestQuota};

/// The longest lifetime of a granted token: about as far ahead as a gateway can predict its demand.
const MAX_TOKEN_LIFETIME: Duration = Duration::from_millis(500);
/// The fraction of the tolerated excess that is spent on the lifetime of tokens. The rest compensates for uneven demand
/// on equal parts.
const LIFETIME_EXCESS_FRACTION: f64 = 0.08;
/// Each part is at least deep enough for the demand of the whole quota during this time, which is one round trip
/// between replicas. If all requests come to one replica, it can then receive all of their tokens as loans.
const MIN_DEPTH_DEMAND_TIME: Duration = Duration::from_millis(36);
/// The minimum fraction of the room between the quota's rate and the bound that goes into the depth. Requests come in
/// bursts, and a shallow part has no tokens to lend.
const MIN_DEPTH_FRACTION: f64 = 0.6;

/// Returns the time for which a granted token may be spent. A token that is spent late counts in a window that began
/// after the token was granted, and the tolerance has to cover this. Without any tolerated excess the lifetime is zero:
/// each token is only for the request that waits for it.
pub(crate) fn token_lifetime(tolerance: &QuotaTolerance) -> Duration {
    let tolerated = tolerance
        .window()
        .mul_f64(tolerance.excess() * LIFETIME_EXCESS_FRACTION);
    tolerated.min(MAX_TOKEN_LIFETIME)
}

/// The greatest rate per second, and the greatest burst, with which a part is computed. Beside greater ones a single token
/// is lost in rounding, and the depth could come out below one token. No tenant reaches this rate, so it limits nothing.
const MAX_COMPUTED_REQUESTS: f64 = 1e9;

/// The rate and depth of one part of a tenant's token bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct PartAllowance {
    /// The refill rate in tokens per second.
    pub(crate) per_second: f64,
    /// The maximum number of tokens that the part holds.
    pub(crate) depth: f64,
    /// The number of parts into which the quota is divided.
    pub(crate) parts: f64,
    /// The tokens that the part refills in a span.
    pub(crate) refill_per_span: f64,
}

impl PartAllowance {
    /// Computes the allowance of one of `parts` equal parts.
    ///
    /// The bound leaves room above the quota's rate, which is used in this order:
    ///
    /// 1. The depth covers the burst, one token per part, and the minimum depths given by [`MIN_DEPTH_DEMAND_TIME`] and
    ///    [`MIN_DEPTH_FRACTION`].
    /// 2. The rate is raised so that all parts but one, which is a spare, together refill at the rate of the whole
    ///    quota, and so that each part has its first token within one window after its start.
    /// 3. The rest of the room increases the depth.
    pub(crate) fn new(tolerance: &QuotaTolerance, quota: RequestQuota, parts: u32) -> Self {
        let quota = RequestQuota {
            per_second: quota.per_second.min(MAX_COMPUTED_REQUESTS),
            burst: quota.burst.min(MAX_COMPUTED_REQUESTS),
        };
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
            refill_per_span: per_second * span,
        }
    }
}
