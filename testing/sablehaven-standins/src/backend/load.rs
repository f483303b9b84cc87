//! Load reports: a count that is taken anew only when it is older than the allowed lag.

use std::{
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use super::settings::Behaviour;

/// A load report as a reply carries it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LoadReport {
    pub load: u32,
    pub age: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Count {
    load: u32,
    taken_at: Instant,
}

/// The last count.
#[derive(Debug, Default)]
pub(crate) struct LoadReporter {
    last: Mutex<Option<Count>>,
}

impl LoadReporter {
    /// Reports under `behaviour`, given what the load is `now`.
    pub(crate) fn report(&self, behaviour: &Behaviour, load: u32, now: Instant) -> LoadReport {
        let count = self.count(Duration::from_millis(behaviour.load_lag_ms), load, now);
        let age = match behaviour.load_claims_fresh {
            true => Duration::ZERO,
            false => now.saturating_duration_since(count.taken_at),
        };
        LoadReport {
            load: (f64::from(count.load) * behaviour.load_factor).round() as u32,
            age,
        }
    }

    fn count(&self, lag: Duration, load: u32, now: Instant) -> Count {
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        match *last {
            Some(count) if now.saturating_duration_since(count.taken_at) < lag => count,
            _ => {
                let taken_at = now;
                *last.insert(Count { load, taken_at })
            }
        }
    }
}
