//! Delay before a second attempt is sent while the first is still running.
//!
//! Hedging after a quantile of the observed latency bounds the extra load to one minus the quantile
//! (Dean and Barroso, "The Tail at Scale", 2013).

use std::time::Duration;

/// Shortest delay of a hedge: below it the hedge costs more than waiting.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(1);

/// Returns the time after sending an attempt at which a hedge may be sent, or `None` for no hedge.
///
/// `quantile` is a quantile of the observed latency; `alternative_load` is the estimated load of
/// the least loaded other replica, `None` without one; `slots` is the number of requests that a
/// back end runs concurrently. A hedge to a back end without a free slot is not sent: it would
/// queue there behind requests that queries need, and so increase the tail latency at high
/// utilisation.
pub fn hedge_after(
    quantile: Option<Duration>,
    alternative_load: Option<f64>,
    slots: u32,
) -> Option<Duration> {
    let load = alternative_load?;
    if load >= f64::from(slots) {
        return None;
    }
    quantile.map(|delay| delay.max(MIN_HEDGE_DELAY))
}
