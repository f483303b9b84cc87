//! Tells callers' second tries from their first ones, as a pure decision.
//!
//! A caller that tries again has less time left than it had at first, and the first tries for one place
//! have the same time. So a request that comes with noticeably less than the longest time that was seen
//! for its place lately is taken for a second try. It is often its caller's last one: refusing it fails
//! the caller, while a first try that is refused comes again.

use std::{collections::HashMap, time::Duration};

/// A second try has less than this share of the time of a first one; first tries differ by less.
const RESEND_TIME_FRACTION: f64 = 0.98;
/// Time after which the longest time is forgotten when no request had it: callers may have changed.
const RETENTION: Duration = Duration::from_secs(10);
/// Places that are kept; beyond them those that nobody asked for lately are forgotten.
const MAX_KEYS: usize = 256;

/// Whether a caller asks for the first time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallerTry {
    First,
    Resend,
}

/// The longest times that callers had lately, by place.
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
    /// Takes in a request for a place whose caller has `left`. `now` is any steady time.
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
        // A little less than the longest confirms it; much less replaces one that is not seen any more.
        let time = if is_shorter {
            time_left
        } else {
            longest.time.max(time_left)
        };
        *longest = MaxTimeLeft { time, seen_at: now };
        CallerTry::First
    }

    /// What passed at the caller and on its way before a first try that has `left` arrived, such as opening a
    /// connection: what it has less than the longest time for its place.
    pub(crate) fn elapsed_before_arrival(&self, key: &str, time_left: Duration) -> Duration {
        let longest = self.max_times.get(key).map(|longest| longest.time);
        longest.unwrap_or_default().saturating_sub(time_left)
    }
}

#[cfg(test)]
mod tests;
