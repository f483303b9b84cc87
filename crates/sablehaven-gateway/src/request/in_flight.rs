//! The attempts of one part that are under way: when each is hedged, and which ends first.

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

/// An attempt that takes this many typical times is hedged although its server answers others.
const TAIL_RATIO: f64 = 3.5;
/// Room for scheduling before an attempt counts as late.
const TAIL_ROOM: Duration = Duration::from_millis(8);
/// What a hedge is taken to need at its server, in typical times.
const HEDGE_NEEDS: f64 = 1.5;
/// An attempt under way.
pub(super) struct InFlight {
    pub(super) attempt: Attempt,
    pub(super) timer: HedgeTimer,
    /// Where the request is suspect and this is its only attempt.
    trial: Option<Trial>,
}

/// An attempt that has ended.
pub(super) struct EndedAttempt {
    pub(super) result: Result<ServerReply, AttemptFailure>,
    /// What the server took, without the way.
    pub(super) taken: Duration,
    /// Where the request was suspect and this was its only attempt.
    pub(super) trial: Option<Trial>,
}

impl InFlight {
    /// An attempt that is sent now.
    pub(super) fn start(attempt: Attempt, trial: Option<Trial>) -> Self {
        Self {
            attempt,
            timer: HedgeTimer::start(Instant::now()),
            trial,
        }
    }

    /// When the attempt is late enough for a hedge.
    pub(super) fn hedge_due_at(&self, accepted: &Accepted) -> Instant {
        let server = &self.attempt.server;
        let now = accepted.gateway.clock.now();
        let still_at = server.health.borrow().stands_still_at(now);
        let still_at = still_at.map(|at| Instant::now() + at.saturating_sub(now));
        let sent_at = self.timer.sent_at();
        let tail_at = sent_at + tail_limit(accepted, server);
        let mut due_at = still_at.map_or(tail_at, |at| at.min(tail_at));
        if let Some(late_after) = accepted.outgoing.pace.late_after() {
            due_at = due_at.min(sent_at + server.round_trip() + late_after);
        }
        self.timer.not_before(due_at)
    }
}

/// Time after which an attempt is hedged although its server answers others: it takes far longer
/// than usual, or soon no hedge could be in time any more.
fn tail_limit(accepted: &Accepted, server: &Server) -> Duration {
    let usual = accepted.planned.profile.typical();
    let late = server.round_trip() + usual.mul_f64(TAIL_RATIO) + TAIL_ROOM;
    let aim = Duration::from_millis(accepted.planned.route().aim_ms);
    let hedge = server.round_trip() + usual.mul_f64(HEDGE_NEEDS);
    let last_useful = aim.saturating_sub(hedge + accepted.answer_margin());
    late.min(last_useful.max(usual.mul_f64(2.0)))
}

/// Whichever attempt ends first; it is in flight no more.
pub(super) async fn next_ended(in_flight: &mut Vec<InFlight>) -> EndedAttempt {
    poll_fn(|context| {
        for position in 0..in_flight.len() {
            if let Poll::Ready(result) = in_flight[position].attempt.poll_result(context) {
                let ended = in_flight.remove(position);
                let round_trip = ended.attempt.server.round_trip();
                let taken = ended.timer.taken(Instant::now(), round_trip);
                return Poll::Ready(EndedAttempt {
                    result,
                    taken,
                    trial: ended.trial,
                });
            }
        }
        Poll::Pending
    })
    .await
}
