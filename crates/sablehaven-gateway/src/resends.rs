//! Tells callers' resends from their first tries. Does no I/O and reads no clock.
//!
//! A caller that resends a request has less time left than at its first try, and the first tries with one key
//! (host and parent path) have the same time limit. So a request that arrives with noticeably less time than the
//! maximum seen for its key lately is classified as a resend. A resend is often the caller's last try: refusing
//! it fails the caller, while a refused first try is sent again.

use std::{collections::HashMap, time::Duration};

/// A resend has less than this fraction of the time of a first try. First tries differ by less than this.
const RESEND_TIME_FRACTION: f64 = 0.98;
/// Time after which a maximum that no request has reached expires, since callers may have changed their time
/// limits.
const RETENTION: Duration = Duration::from_secs(10);
/// Maximum number of keys. When it is reached, expired keys are removed; if none has expired, new keys are not
/// tracked.
const MAX_KEYS: usize = 256;

/// Whether a request is a caller's first try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallerTry {
    First,
    Resend,
}

/// The maximum time that callers had left lately, by key.
#[derive(Clone, Debug, Default)]
pub(crate) struct ResendDetector {
    max_times: HashMap<String, MaxTimeLeft>,
}

#[derive(Clone, Copy, Debug)]
struct MaxTimeLeft {
    time: Duration,
    seen_at: Duration,
}

impl ResendDetector {
    /// Classifies a request whose caller has `time_left`, and records that time. `now` is a reading of a
    /// monotonic clock.
    pub(crate) fn observe(&mut self, now: Duration, key: &str, time_left: Duration) -> CallerTry {
        let is_recent = |longest: &MaxTimeLeft| now.saturating_sub(longest.seen_at) < RETENTION;
        let Some(longest) = self.max_times.get_mut(key) else {
            if self.max_times.len() >= MAX_KEYS {
                self.max_times.retain(|_, longest| is_recent(longest));
            }
            if self.max_times.len() < MAX_KEYS {
                let time = MaxTimeLeft {
                    time: time_left,
                    seen_at: now,
                };
                self.max_times.insert(key.to_owned(), time);
            }
            return CallerTry::First;
        };
        let is_shorter = time_left < longest.time.mul_f64(RESEND_TIME_FRACTION);
        if is_shorter && is_recent(longest) {
            return CallerTry::Resend;
        }
        // A time slightly below the maximum confirms it. A much shorter one replaces a maximum that has expired.
        let time = if is_shorter {
            time_left
        } else {
            longest.time.max(time_left)
        };
        *longest = MaxTimeLeft { time, seen_at: now };
        CallerTry::First
    }

    /// How much time passed at the caller and on the network before a first try arrived with `time_left`, for
    /// example while a connection was opened. It is the difference to the maximum for the key.
    pub(crate) fn elapsed_before_arrival(&self, key: &str, time_left: Duration) -> Duration {
        let longest = self.max_times.get(key).map(|longest| longest.time);
        longest.unwrap_or_default().saturating_sub(time_left)
    }
}

#[cfg(test)]
mod tests;
