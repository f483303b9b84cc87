//! The planned stop of a gateway: until when it sends requests to servers and answers them.
//!
//! A stopping gateway answers every request that it has read before it exits. A request that servers could not answer
//! in time is not sent to any and is refused, so that its caller may send it through another gateway. A request that is
//! still at a server when the last answers are due is answered as if its time were over.

use std::{cell::Cell, time::Duration};

use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::{gateway::Clock, route_table::RouteProfile};

/// Time between the last answers and the exit, for writing the responses.
const WRITE_RESERVE: Duration = Duration::from_millis(200);
/// Time that a server is expected to need for its reply, in typical service times.
const REPLY_TIME_RATIO: f64 = 1.5;

/// When the last answers of a stopping gateway are due.
pub(crate) struct PlannedStop {
    clock: Clock,
    answers_due: Cell<Option<Duration>>,
    /// Cancelled when the stop begins.
    begun: CancellationToken,
}

impl PlannedStop {
    /// No stop is planned yet.
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            answers_due: Cell::default(),
            begun: CancellationToken::new(),
        }
    }

    /// Begins the stop of a gateway that exits at `exit_at` at the latest.
    pub(crate) fn begin(&self, exit_at: Duration) {
        let answers_due = exit_at.saturating_sub(WRITE_RESERVE);
        self.answers_due.set(Some(answers_due));
        self.begun.cancel();
    }

    /// Whether a stop has begun.
    pub(crate) fn has_begun(&self) -> bool {
        self.answers_due.get().is_some()
    }

    /// Time until the last answers are due; `None` if no stop has begun.
    pub(crate) fn time_left(&self) -> Option<Duration> {
        let answers_due = self.answers_due.get();
        answers_due.map(|due| due.saturating_sub(self.clock.now()))
    }

    /// Whether a stop has begun and leaves less than the time `needed` until the last answers are due.
    pub(crate) fn leaves_less_than(&self, needed: impl FnOnce() -> Duration) -> bool {
        self.time_left().is_some_and(|left| left < needed())
    }

    /// Waits until a stop has begun and leaves no more than the time `needed` until the last answers are due.
    pub(crate) async fn wait_until_left(&self, needed: impl FnOnce() -> Duration) {
        self.begun.cancelled().await;
        let left = self.time_left().unwrap_or_default();
        sleep(left.saturating_sub(needed())).await;
    }

    /// Waits until a stop has begun and the last answers are due.
    pub(crate) async fn answers_due(&self) {
        self.wait_until_left(|| Duration::ZERO).await;
    }

    /// Waits for `limit`, or until the last answers are due if that is sooner. Returns the output of `step` if it is
    /// ready before.
    pub(crate) async fn within<Output>(
        &self,
        limit: Duration,
        step: impl Future<Output = Output>,
    ) -> Option<Output> {
        tokio::select! {
            biased;
            output = timeout(limit, step) => output.ok(),
            () = self.answers_due() => None,
        }
    }
}

/// Time that a request of a route is expected to need at a server, without the network round trip.
pub(crate) fn expected_reply_time(profile: &RouteProfile) -> Duration {
    profile.typical_service_time().mul_f64(REPLY_TIME_RATIO)
}

#[cfg(test)]
mod tests;
