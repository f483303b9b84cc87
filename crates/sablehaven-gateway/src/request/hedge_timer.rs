//! When one attempt was sent, and how long its hedge is put off.

use std::time::{Duration, Instant};

/// Pause before the retry budget is asked again.
pub(super) const BUDGET_PAUSE: Duration = Duration::from_millis(25);

/// The times of one attempt. A hedge that is put off leaves the time at which the attempt was sent as it
/// is: the pace of the whole query is measured from it.
#[derive(Clone, Copy, Debug)]
pub(super) struct HedgeTimer {
    sent_at: Instant,
    put_off_until: Option<Instant>,
}

impl HedgeTimer {
    /// The attempt is sent now.
    pub(super) fn start(now: Instant) -> Self {
        Self {
            sent_at: now,
            put_off_until: None,
        }
    }

    /// When the attempt was sent.
    pub(super) fn sent_at(&self) -> Instant {
        self.sent_at
    }

    /// No hedge can be sent now; the next look is a little later.
    pub(super) fn put_off(&mut self, now: Instant) {
        self.put_off_until = Some(now + BUDGET_PAUSE);
    }

    /// The time at which a hedge that is due at `due_at` may be looked at.
    pub(super) fn not_before(&self, due_at: Instant) -> Instant {
        self.put_off_until.map_or(due_at, |until| due_at.max(until))
    }

    /// What the server took for an attempt that ends now, without the way there and back.
    pub(super) fn taken(&self, now: Instant, round_trip: Duration) -> Duration {
        now.saturating_duration_since(self.sent_at)
            .saturating_sub(round_trip)
    }
}

#[cfg(test)]
mod tests;
