//! How long a request waits while no control replica has a part of the quotas, as a pure decision.
//!
//! A first try is told at once when to come back: it may ask another gateway, which reaches a replica. A second try is
//! its caller's last one, and replicas that were all stopped are back within about two seconds; so it waits for part of
//! its caller's time, and has the rest for its servers.

use std::time::Duration;

use super::head::RESEND_WAIT_SHARE;
use crate::resends::CallerTry;

/// Time before replicas are asked again for the first time; doubled each time, so that many requests that wait do not
/// press replicas that have just started.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest time before replicas are asked again: a request loses no more of its time than this once one has a part.
const LONGEST_PAUSE: Duration = Duration::from_millis(200);

/// The wait of one request.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenWait {
    limit: Duration,
    pause: Duration,
}

impl TokenWait {
    /// The wait of a request whose caller has `left`, where it says so.
    pub(super) fn new(caller_try: CallerTry, left: Option<Duration>) -> Self {
        let limit = match (caller_try, left) {
            (CallerTry::Resend, Some(left)) => left.mul_f64(RESEND_WAIT_SHARE),
            _ => Duration::ZERO,
        };
        Self {
            limit,
            pause: FIRST_PAUSE,
        }
    }

    /// How long to pause before replicas are asked again, `waited` after they first were; `None` where that is too late.
    pub(super) fn next_pause(&mut self, waited: Duration) -> Option<Duration> {
        let pause = self.pause;
        if waited + pause > self.limit {
            return None;
        }
        self.pause = (2 * pause).min(LONGEST_PAUSE);
        Some(pause)
    }
}

#[cfg(test)]
mod tests;
