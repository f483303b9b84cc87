//! The running attempts of one part: when each is due for a hedge, and which one ends first.

use std::{
    future::poll_fn,
    task::Poll,
    time::{Duration, Instant},
};

use super::{Accepted, hedge_timer::HedgeTimer};
use crate::{
    crashes::Trial,
    servers::{Attempt, AttemptFailure, Server, ServerReply},
};

/// An attempt that takes this many typical service times is hedged even if its server answers other requests.
const TAIL_RATIO: f64 = 3.5;
/// Allowance for scheduling delays before an attempt counts as late.
const SCHEDULING_ALLOWANCE: Duration = Duration::from_millis(8);
/// Time that a hedge is expected to need at its server, in typical service times.
const HEDGE_SERVICE_TIME_RATIO: f64 = 1.5;

/// A running attempt.
pub(super) struct InFlight {
    pub(super) attempt: Attempt,
    pub(super) timer: HedgeTimer,
    /// Set if the request is suspected of crashing servers and this is its only attempt.
    trial: Option<Trial>,
}

/// An attempt that has ended.
pub(super) struct EndedAttempt {
    pub(super) result: Result<ServerReply, AttemptFailure>,
    /// Service time, excluding the network round trip.
    pub(super) service_time: Duration,
    /// Set if the request was suspected of crashing servers and this was its only attempt.
    pub(super) trial: Option<Trial>,
}

impl InFlight {
    /// Starts tracking an attempt that is sent now.
    pub(super) fn start(attempt: Attempt, trial: Option<Trial>) -> Self {
        Self {
            attempt,
            timer: HedgeTimer::start(Instant::now()),
            trial,
        }
    }

    /// When the attempt is late enough to be hedged: when its server is considered stalled, when it takes much longer
    /// than usual, or when it takes longer than other parts of the query, whichever is first.
    pub(super) fn hedge_due_at(&self, accepted: &Accepted) -> Instant {
        let server = &self.attempt.server;
        let now = accepted.gateway.clock.now();
        let stalled_at = server.health.borrow().stalls_at(now);
        let stalled_at = stalled_at.map(|at| Instant::now() + at.saturating_sub(now));
        let sent_at = self.timer.sent_at();
        let tail_at = sent_at + tail_limit(accepted, server);
        let mut due_at = stalled_at.map_or(tail_at, |at| at.min(tail_at));
        if let Some(late_after) = accepted.outgoing.service_time_estimate.late_after() {
            due_at = due_at.min(sent_at + server.round_trip() + late_after);
        }
        self.timer.earliest_hedge(due_at)
    }
}

/// Time after which an attempt is hedged even if its server answers other requests: it takes much longer than usual,
/// or a later hedge could not return in time.
fn tail_limit(accepted: &Accepted, server: &Server) -> Duration {
    let typical = accepted.planned.profile.typical_service_time();
    let tail = server.round_trip() + typical.mul_f64(TAIL_RATIO) + SCHEDULING_ALLOWANCE;
    let latency_target = Duration::from_millis(accepted.planned.route().aim_ms);
    let hedge_time = server.round_trip() + typical.mul_f64(HEDGE_SERVICE_TIME_RATIO);
    let latest_useful = latency_target.saturating_sub(hedge_time + accepted.answer_margin());
    tail.min(latest_useful.max(typical.mul_f64(2.0)))
}

/// Waits for the first attempt to end and removes it from `in_flight`.
pub(super) async fn next_ended(in_flight: &mut Vec<InFlight>) -> EndedAttempt {
    poll_fn(|context| {
        for position in 0..in_flight.len() {
            if let Poll::Ready(result) = in_flight[position].attempt.poll_result(context) {
                let ended = in_flight.remove(position);
                let round_trip = ended.attempt.server.round_trip();
                let service_time = ended.timer.service_time(Instant::now(), round_trip);
                return Poll::Ready(EndedAttempt {
                    result,
                    service_time,
                    trial: ended.trial,
                });
            }
        }
        Poll::Pending
    })
    .await
}
