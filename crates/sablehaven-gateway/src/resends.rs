//! Tells callers' second tries from their first ones, as a pure decision.
//!
//! A caller that tries again has less time left than it had at first, and the first tries for one place
//! have the same time. So a request that comes with noticeably less than the longest time that was seen
//! for its place lately is taken for a second try. It is often its caller's last one: refusing it fails
//! the caller, while a first try that is refused comes again.

use std::{collections::HashMap, time::Duration};

/// A second try has less than this share of the time of a first one; first tries differ by less.
const RESEND_SHARE: f64 = 0.98;
/// Time after which the longest time is forgotten when no request had it: callers may have changed.
const KEPT_FOR: Duration = Duration::from_secs(10);
/// Places that are kept; beyond them those that nobody asked for lately are forgotten.
const KEPT_PLACES: usize = 256;

/// Whether a caller asks for the first time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallerTry {
    First,
    Resend,
}

/// The longest times that callers had lately, by place.
#[derive(Clone, Debug, Default)]
pub(crate) struct ResendDetector {
    places: HashMap<String, LongestTime>,
}

#[derive(Clone, Copy, Debug)]
struct LongestTime {
    time: Duration,
    seen_at: Duration,
}

impl ResendDetector {
    /// Takes in a request for a place whose caller has `left`. `now` is any steady time.
    pub(crate) fn observe(&mut self, now: Duration, place: &str, left: Duration) -> CallerTry {
        let is_kept = |longest: &LongestTime| now.saturating_sub(longest.seen_at) < KEPT_FOR;
        let Some(longest) = self.places.get_mut(place) else {
            if self.places.len() >= KEPT_PLACES {
                self.places.retain(|_, longest| is_kept(longest));
            }
            if self.places.len() < KEPT_PLACES {
                let time = LongestTime {
                    time: left,
                    seen_at: now,
                };
                self.places.insert(place.to_owned(), time);
            }
            return CallerTry::First;
        };
        let is_less = left < longest.time.mul_f64(RESEND_SHARE);
        if is_less && is_kept(longest) {
            return CallerTry::Resend;
        }
        // A little less than the longest confirms it; much less replaces one that is not seen any more.
        let time = if is_less {
            left
        } else {
            longest.time.max(left)
        };
        *longest = LongestTime { time, seen_at: now };
        CallerTry::First
    }

    /// What passed at the caller and on its way before a first try that has `left` arrived, such as opening a
    /// connection: what it has less than the longest time for its place.
    pub(crate) fn spent(&self, place: &str, left: Duration) -> Duration {
        let longest = self.places.get(place).map(|longest| longest.time);
        longest.unwrap_or_default().saturating_sub(left)
    }
}

#[cfg(test)]
mod tests;
