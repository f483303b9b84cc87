//! Timing of one attempt: when it was sent, and until when its hedge is postponed.

use std::time::{Duration, Instant};

/// Delay before the retry budget is tried again.
pub(super) const BUDGET_RETRY_INTERVAL: Duration = Duration::from_millis(25);

/// Timing of one attempt. Postponing its hedge does not change the time at which it was sent, since the service times
/// of the whole query are measured from it.
#[derive(Clone, Copy, Debug)]
pub(super) struct HedgeTimer {
    sent_at: Instant,
    postponed_until: Option<Instant>,
}

impl HedgeTimer {
    /// Starts the timing of an attempt that is sent at `now`.
    pub(super) fn start(now: Instant) -> Self {
        Self {
            sent_at: now,
            postponed_until: None,
        }
    }

    /// The time at which the attempt was sent.
    pub(super) fn sent_at(&self) -> Instant {
        self.sent_at
    }

    /// Postpones the hedge because none can be sent now.
    pub(super) fn postpone(&mut self, now: Instant) {
        self.postponed_until = Some(now + BUDGET_RETRY_INTERVAL);
    }

    /// The earliest time for a hedge that is due at `due_at`.
    pub(super) fn earliest_hedge(&self, due_at: Instant) -> Instant {
        self.postponed_until
            .map_or(due_at, |until| due_at.max(until))
    }

    /// The service time of an attempt that ends now, excluding the network round trip.
    pub(super) fn service_time(&self, now: Instant, round_trip: Duration) -> Duration {
        now.saturating_duration_since(self.sent_at)
            .saturating_sub(round_trip)
    }
}

#[cfg(test)]
mod tests;
