//! Decides when one sub-request sends an attempt, hedges, retries or gives up. The router and the
//! time are passed in; there is no I/O.

use std::time::Duration;

use sablehaven_routing::{AttemptOutcome, ChosenBackend, ExtraAttemptKind};
use sablehaven_types::{BackendId, MissingReason, ShardId};

use crate::{routing::PinnedRouter, transport::Refusal};

/// Why an attempt yielded no usable reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The back end refused because it is overloaded.
    Shed,
    /// The back end refused because it is draining.
    Draining,
    /// The back end does not hold the pinned snapshot.
    SnapshotGone,
    /// The back end refused because the deadline had passed.
    DeadlineRefused,
    /// No connection could be opened, so the back end did no work.
    NotConnected,
    /// The connection was lost while the back end had the request.
    Lost,
    /// The back end replied with an error.
    Failed,
    /// The reply was discarded.
    BadReply,
}

impl From<Refusal> for AttemptFailure {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::Shed => Self::Shed,
            Refusal::Draining => Self::Draining,
            Refusal::SnapshotGone => Self::SnapshotGone,
            Refusal::Deadline => Self::DeadlineRefused,
        }
    }
}

impl AttemptFailure {
    /// Returns the outcome to report to the router.
    pub fn outcome(self) -> AttemptOutcome {
        match self {
            Self::Shed => AttemptOutcome::Shed,
            Self::Draining => AttemptOutcome::Draining,
            Self::SnapshotGone => AttemptOutcome::SnapshotGone,
            Self::DeadlineRefused => AttemptOutcome::DeadlineRefused,
            Self::NotConnected | Self::Lost | Self::Failed | Self::BadReply => {
                AttemptOutcome::Failed
            }
        }
    }

    /// Returns the reason for which the shard is missing if all attempts failed like this one.
    fn missing_reason(self) -> MissingReason {
        match self {
            Self::Shed => MissingReason::Shed,
            Self::Draining => MissingReason::NoReplica,
            Self::SnapshotGone => MissingReason::SnapshotGone,
            Self::DeadlineRefused => MissingReason::Deadline,
            Self::NotConnected | Self::Lost | Self::Failed => MissingReason::Failed,
            Self::BadReply => MissingReason::BadReply,
        }
    }

    /// Returns whether a retry counts against the budget for extra load. A back end that is draining,
    /// lacks the snapshot or cannot be connected to has done no work for the sub-request, so an
    /// attempt at another replica adds no extra load.
    fn needs_budget(self) -> bool {
        !matches!(
            self,
            Self::Draining | Self::SnapshotGone | Self::NotConnected
        )
    }
}

/// The next step of a sub-request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send an attempt.
    Send {
        /// The back end to send to.
        chosen: ChosenBackend,
        /// Delay from now after which to call [`SubRequest::hedge_due`], if a hedge is possible.
        hedge_after: Option<Duration>,
    },
    /// Wait for the attempts in flight.
    Wait {
        /// Delay from now after which to call [`SubRequest::hedge_due`]. If absent, a timer that is
        /// already set stays.
        hedge_after: Option<Duration>,
    },
    /// The sub-request has failed: no attempt is in flight and no further one may be sent.
    GiveUp(MissingReason),
}

/// The state of one sub-request.
#[derive(Debug)]
pub struct SubRequest {
    shard: ShardId,
    max_attempts: u32,
    tried: Vec<BackendId>,
    in_flight: u32,
    failures: Vec<AttemptFailure>,
}

impl SubRequest {
    /// Creates a sub-request without any attempt.
    pub fn new(shard: ShardId, max_attempts: u32) -> Self {
        Self {
            shard,
            max_attempts,
            tried: Vec::new(),
            in_flight: 0,
            failures: Vec::new(),
        }
    }

    /// Returns the first step.
    pub fn start(&mut self, router: &mut PinnedRouter<'_>, now: Duration) -> Step {
        match router.choose(now, self.shard, &self.tried) {
            Ok(chosen) => self.send(router, now, chosen),
            Err(reason) => Step::GiveUp(reason),
        }
    }

    /// Returns the step after an attempt has failed.
    pub fn attempt_failed(
        &mut self,
        router: &mut PinnedRouter<'_>,
        now: Duration,
        failure: AttemptFailure,
    ) -> Step {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.failures.push(failure);
        if self.in_flight > 0 {
            let hedge_after = self.hedge_timer(router, now);
            return Step::Wait { hedge_after };
        }
        if failure == AttemptFailure::DeadlineRefused || self.is_exhausted() {
            return self.give_up();
        }
        let Ok(chosen) = router.choose(now, self.shard, &self.tried) else {
            return self.give_up();
        };
        if failure.needs_budget() && !router.policy.take_extra(now, ExtraAttemptKind::Retry) {
            return self.give_up();
        }
        self.send(router, now, chosen)
    }

    /// Records a failure after which no further attempt is sent, and returns the reason for which the
    /// shard is missing.
    pub fn missing_reason(&mut self, failure: AttemptFailure) -> MissingReason {
        self.failures.push(failure);
        combined_reason(&self.failures)
    }

    /// Returns the step after the hedge timer has fired. If the budget does not allow the hedge now,
    /// the timer is set again, because the budget may allow it later.
    pub fn hedge_due(&mut self, router: &mut PinnedRouter<'_>, now: Duration) -> Step {
        if self.in_flight == 0 || self.is_exhausted() {
            return Step::Wait { hedge_after: None };
        }
        let Ok(chosen) = router.choose(now, self.shard, &self.tried) else {
            return Step::Wait { hedge_after: None };
        };
        if !router.policy.take_extra(now, ExtraAttemptKind::Hedge) {
            let hedge_after = self.hedge_timer(router, now);
            return Step::Wait { hedge_after };
        }
        self.send(router, now, chosen)
    }

    /// Returns the number of attempts sent so far.
    pub fn attempts(&self) -> u32 {
        u32::try_from(self.tried.len()).unwrap_or(u32::MAX)
    }

    fn send(
        &mut self,
        router: &mut PinnedRouter<'_>,
        now: Duration,
        chosen: ChosenBackend,
    ) -> Step {
        router.policy.sent(now, &chosen.backend);
        self.tried.push(chosen.backend.clone());
        self.in_flight += 1;
        let hedge_after = self.hedge_timer(router, now);
        Step::Send {
            chosen,
            hedge_after,
        }
    }

    fn hedge_timer(&self, router: &PinnedRouter<'_>, now: Duration) -> Option<Duration> {
        let latest = self.tried.last()?;
        router.policy.hedge_after(now, self.shard, latest)
    }

    fn is_exhausted(&self) -> bool {
        self.attempts() >= self.max_attempts
    }

    fn give_up(&self) -> Step {
        Step::GiveUp(combined_reason(&self.failures))
    }
}

/// Returns a single reason for several failed attempts: the one they have in common, else the most
/// specific one. A missing snapshot or a passed deadline is reported only if every attempt failed for
/// it, because another replica may not be affected.
fn combined_reason(failures: &[AttemptFailure]) -> MissingReason {
    const MOST_SPECIFIC_FIRST: [AttemptFailure; 5] = [
        AttemptFailure::BadReply,
        AttemptFailure::Lost,
        AttemptFailure::Failed,
        AttemptFailure::NotConnected,
        AttemptFailure::Shed,
    ];
    let Some(first) = failures.first() else {
        return MissingReason::NoReplica;
    };
    if failures.iter().all(|failure| failure == first) {
        return first.missing_reason();
    }
    let most_specific = MOST_SPECIFIC_FIRST
        .into_iter()
        .find(|kind| failures.contains(kind));
    most_specific.unwrap_or(*first).missing_reason()
}
