//! The decisions of one sub-request: when to send, hedge, retry and give up. Pure: the router and
//! the time are passed in, nothing is sent here.

use std::time::Duration;

use sablehaven_routing::{AttemptOutcome, ChosenBackend, ExtraAttemptKind};
use sablehaven_types::{BackendId, MissingReason, ShardId};

use crate::{routing::PinnedRouter, transport::Refusal};

/// Why an attempt gave no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The back end refused because it is pressed.
    Shed,
    /// The back end refused because it drains.
    Draining,
    /// The back end does not hold the pinned snapshot.
    SnapshotGone,
    /// The back end refused because the deadline had passed.
    DeadlineRefused,
    /// No connection could be opened: the back end did no work.
    NotConnected,
    /// The connection ended while the back end had the request.
    Lost,
    /// The back end said that it failed.
    Failed,
    /// A reply came that could not be accepted.
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
    /// What the router is told.
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

    /// The coverage reason if no other attempt does better.
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

    /// Whether another attempt adds work to back ends that may be pressed. One that drains, lacks the
    /// snapshot or cannot be connected to did not work, so asking another replica is still the first
    /// work.
    fn needs_budget(self) -> bool {
        !matches!(
            self,
            Self::Draining | Self::SnapshotGone | Self::NotConnected
        )
    }
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Send an attempt.
    Send {
        /// To whom.
        chosen: ChosenBackend,
        /// When to call [`SubRequest::hedge_due`], counted from the sending.
        hedge_after: Option<Duration>,
    },
    /// Wait for the attempts in flight.
    Wait {
        /// When to call [`SubRequest::hedge_due`] again, counted from now.
        hedge_after: Option<Duration>,
    },
    /// Nothing is in flight and nothing more may be sent.
    GiveUp(MissingReason),
}

/// The state of one sub-request.
#[derive(Debug)]
pub struct SubRequest {
    shard: ShardId,
    attempts_allowed: u32,
    tried: Vec<BackendId>,
    in_flight: u32,
    failures: Vec<AttemptFailure>,
}

impl SubRequest {
    /// A sub-request that nothing was sent for.
    pub fn new(shard: ShardId, attempts_allowed: u32) -> Self {
        Self {
            shard,
            attempts_allowed,
            tried: Vec::new(),
            in_flight: 0,
            failures: Vec::new(),
        }
    }

    /// The first step.
    pub fn start(&mut self, router: &mut PinnedRouter<'_>, now: Duration) -> Step {
        match router.choose(now, self.shard, &self.tried) {
            Ok(chosen) => self.send(router, now, chosen),
            Err(reason) => Step::GiveUp(reason),
        }
    }

    /// The step after an attempt ended without a reply.
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

    /// Why the shard is missing when nothing more is sent after a failure.
    pub fn missing_reason(&mut self, failure: AttemptFailure) -> MissingReason {
        self.failures.push(failure);
        combined_reason(&self.failures)
    }

    /// The step when the hedge timer fires. A hedge that the budget refuses now may be allowed a
    /// moment later, so the timer is set again.
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

    /// The number of attempts sent so far.
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
        self.attempts() >= self.attempts_allowed
    }

    fn give_up(&self) -> Step {
        Step::GiveUp(combined_reason(&self.failures))
    }
}

/// One reason for several failed attempts: their common one, else the most telling. A lost snapshot
/// or a deadline is only reported if every attempt says so, because another replica may do better.
fn combined_reason(failures: &[AttemptFailure]) -> MissingReason {
    const MOST_TELLING_FIRST: [AttemptFailure; 5] = [
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
    let telling = MOST_TELLING_FIRST
        .into_iter()
        .find(|kind| failures.contains(kind));
    telling.unwrap_or(*first).missing_reason()
}
