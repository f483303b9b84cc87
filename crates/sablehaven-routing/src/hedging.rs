//! When a second attempt may go out beside a slow first one.
//!
//! Hedging after a quantile of the observed latency bounds the extra load to one minus the quantile
//! (Dean and Barroso, "The Tail at Scale", 2013).

use std::time::Duration;

/// Shortest time before a hedge: below it the hedge costs more than the wait.
const MIN_DELAY: Duration = Duration::from_millis(1);

/// Time after sending at which a hedge may go out.
///
/// `quantile` is that of the observed latency; `alternative_load` is the estimated load of the least
/// loaded other replica, `None` without one; `slots` is what a back end runs at the same time.
/// A hedge to a back end without a free slot waits there behind work that queries need, and so makes
/// the tail longer at a high utilisation; it is left out.
pub fn hedge_after(
    quantile: Option<Duration>,
    alternative_load: Option<f64>,
    slots: u32,
) -> Option<Duration> {
    let load = alternative_load?;
    if load >= f64::from(slots) {
        return None;
    }
    quantile.map(|delay| delay.max(MIN_DELAY))
}
