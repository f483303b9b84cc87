//! Decides how long a request waits while no control replica can decide on its quota. The decision is a pure
//! function.
//!
//! A first try is refused at once with the time after which to retry, since it may then reach a replica through
//! another gateway. A resend is its caller's last try, and replicas that were all stopped are back within about two
//! seconds. Therefore a resend waits for a fraction of its caller's time and leaves the rest for its servers.

use std::time::Duration;

use super::head::RESEND_WAIT_SHARE;
use crate::resends::CallerTry;

/// Delay before replicas are asked again for the first time. It doubles each time, so that many waiting requests do
/// not overload replicas that have just started.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum delay before replicas are asked again: once a replica can decide, a request loses no more time than this.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Backoff of one request.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenWait {
    limit: Duration,
    delay: Duration,
}

impl TokenWait {
    /// The backoff of a request whose caller has `time_left`, if the caller says so.
    pub(super) fn new(caller_try: CallerTry, time_left: Option<Duration>) -> Self {
        let limit = match (caller_try, time_left) {
            (CallerTry::Resend, Some(time_left)) => time_left.mul_f64(RESEND_WAIT_SHARE),
            _ => Duration::ZERO,
        };
        Self {
            limit,
            delay: INITIAL_RETRY_DELAY,
        }
    }

    /// The delay before replicas are asked again, given the time `waited` since they were first asked; `None` if the
    /// delay would exceed the limit.
    pub(super) fn next_delay(&mut self, waited: Duration) -> Option<Duration> {
        let delay = self.delay;
        if waited + delay > self.limit {
            return None;
        }
        self.delay = (2 * delay).min(MAX_RETRY_DELAY);
        Some(delay)
    }
}

#[cfg(test)]
mod tests;
