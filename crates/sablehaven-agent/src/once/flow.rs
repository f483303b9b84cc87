//! The flow of one request that may not be repeated: claim, check, dispatch, record, answer.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use prost_reflect::DynamicMessage;
use sablehaven_routing::{Admission, ChosenBackend};
use sablehaven_schema::{MethodSchema, decode_reply, shard_for_key};
use sablehaven_subscription::Subscription;
use sablehaven_types::{
    AttemptId, ClaimId, IndexSnapshot, MissingReason, RecordedOutcome, ShardId, SnapshotId,
};
use tokio::{sync::oneshot, time::timeout_at};

use super::{
    decision::{ClaimDecision, DispatchCheck, DispatchDecision, Moment, after_dispatch},
    dispatch::{Dispatch, exchange},
    fingerprint::fingerprint,
    key::OnceHeaders,
    ledger::LedgerEntry,
    responder::Responder,
};
use crate::{
    answer::Answer,
    config::Timing,
    metrics::Metrics,
    plan::ServicePlan,
    reason::Reason,
    transport::{AttemptIdentity, DiscardReason},
};

/// The largest part of the time allowed that is kept back for giving up before the deadline.
const LARGEST_RESERVE: Duration = Duration::from_millis(50);

/// The share of the time allowed that is kept back: one in this many.
const RESERVE_DIVISOR: u32 = 10;

/// What every such request uses of the agent.
#[derive(Clone)]
pub struct OnceEnvironment {
    /// Lease and ledger.
    pub subscription: Subscription,
    /// Durations.
    pub timing: Timing,
    /// Metrics.
    pub metrics: Metrics,
}

/// A decoded request that may not be repeated.
#[derive(Debug)]
pub struct OnceRequest {
    /// The service that is asked.
    pub service: Arc<ServicePlan>,
    /// The method.
    pub method: MethodSchema,
    /// The request message.
    pub message: DynamicMessage,
    /// Its key, and whether it was sent before.
    pub headers: OnceHeaders,
    /// When it arrived.
    pub arrived: Moment,
    /// Time from arrival to the caller's deadline.
    pub time_allowed: Duration,
}

struct Flow {
    environment: OnceEnvironment,
    request: OnceRequest,
    ledger: LedgerEntry,
    responder: Responder,
}

impl OnceRequest {
    /// Serves the request to its end. The answer goes out through `sender` by the deadline; the
    /// future may go on after that to wait for a late reply and to record the outcome, and must
    /// not be dropped.
    pub async fn run(self, environment: OnceEnvironment, sender: oneshot::Sender<Answer>) {
        let ledger = LedgerEntry {
            subscription: environment.subscription.clone(),
            timing: environment.timing.clone(),
            metrics: environment.metrics.clone(),
            key: self.headers.key.clone(),
            claim: ClaimId(rand::random()),
        };
        let flow = Flow {
            environment,
            request: self,
            ledger,
            responder: Responder::new(sender),
        };
        flow.run().await;
    }

    /// The caller's deadline on the monotonic clock.
    pub(super) fn deadline(&self) -> Instant {
        self.arrived.monotonic + self.time_allowed
    }

    /// When to give up before the dispatch, so that the refusal reaches the caller in time.
    fn claim_until(&self) -> Instant {
        let reserve = (self.time_allowed / RESERVE_DIVISOR).min(LARGEST_RESERVE);
        self.deadline() - reserve
    }
}

impl Flow {
    async fn run(mut self) {
        if let Some(refusal) = self.refuse_before_claim() {
            return self.responder.answer(refusal);
        }
        let fingerprint = fingerprint(&self.request.method.path, &self.request.message);
        let claim = self.ledger.claim(fingerprint, self.request.claim_until());
        match claim.await {
            Some(ClaimDecision::Dispatch) => self.dispatch_once().await,
            Some(ClaimDecision::Recorded(outcome)) => {
                let answer = self.recorded_answer(outcome);
                self.responder.answer(answer);
            }
            Some(ClaimDecision::Refuse(reason)) => {
                let answer = self.refusal(reason);
                self.responder.answer(answer);
            }
            Some(ClaimDecision::AskAgain) | None => self.give_up_claim().await,
        }
    }

    /// Refusals that need no word of the ledger. A request that was sent before may have run, so of
    /// such a one they say "unknown".
    fn refuse_before_claim(&self) -> Option<Answer> {
        if !self.environment.subscription.lease().current {
            return Some(self.early_refusal(Reason::NoLease));
        }
        if self.request.headers.resend {
            return None;
        }
        let router = &self.request.service.router;
        let now = router.now();
        let admission = router.lock().policy.admit(now, 1);
        match admission {
            Admission::Admitted => None,
            Admission::Refused { retry_after } => {
                Some(Answer::without_reply(Reason::Pressed).retry_after(retry_after))
            }
        }
    }

    /// The ledger did not answer. The claim may still take effect there; it is never dispatched.
    async fn give_up_claim(mut self) {
        let answer = self.early_refusal(Reason::LedgerUnavailable);
        self.responder.answer(answer);
        self.release().await;
    }

    async fn dispatch_once(mut self) {
        let pinned = self.request.service.router.pin();
        let dispatch = match self.prepare(&pinned) {
            Ok(dispatch) => dispatch,
            Err(reason) => return self.release_and_refuse(reason).await,
        };
        let snapshot = dispatch.identity.snapshot;
        match self.dispatch(dispatch).await {
            DispatchDecision::Done(body) => self.settle_done(body, snapshot).await,
            DispatchDecision::NotRun(reason) => self.release_and_refuse(reason).await,
            DispatchDecision::Unknown(discarded) => self.settle_unknown(discarded).await,
        }
    }

    /// Chooses the back end and makes the last check. Nothing may be awaited between this check and
    /// the dispatch, or the check would speak of the past.
    fn prepare(&self, pinned: &IndexSnapshot) -> Result<Dispatch, Reason> {
        let (shard, chosen) = self.choose(pinned).map_err(Reason::NoReplica)?;
        let check = DispatchCheck {
            arrived: self.request.arrived,
            now: Moment::now(),
            time_allowed: self.request.time_allowed,
            issued_at_ms: self.request.headers.key.issued_at_ms,
            issue_age_limit_ms: self.environment.timing.issue_age_limit_ms,
            lease_current: self.environment.subscription.lease().current,
        };
        check.verdict()?;
        Ok(Dispatch {
            chosen,
            identity: AttemptIdentity {
                attempt: AttemptId(rand::random()),
                shard,
                snapshot: pinned.id,
            },
        })
    }

    fn choose(&self, pinned: &IndexSnapshot) -> Result<(ShardId, ChosenBackend), MissingReason> {
        let count = u32::try_from(pinned.shards.len()).unwrap_or(u32::MAX);
        let shard = shard_for_key(&self.request.method, &self.request.message, count)
            .map_err(|_| MissingReason::NoReplica)?;
        let router = &self.request.service.router;
        let now = router.now();
        let mut state = router.lock();
        let chosen = state.pinned(pinned).choose(now, shard, &[])?;
        Ok((shard, chosen))
    }

    /// Sends the request, once. At the caller's deadline the caller is told "unknown", while a late
    /// reply is still waited for: it may say that the request ran.
    async fn dispatch(&mut self, dispatch: Dispatch) -> DispatchDecision {
        let deadline = self.request.deadline();
        let accept_until = deadline + self.environment.timing.late_reply();
        let unknown = self.unknown_answer();
        let exchange = exchange(
            &self.request,
            &self.environment.metrics,
            dispatch,
            accept_until,
        );
        let bounded = timeout_at(accept_until.into(), exchange);
        let report = self
            .responder
            .answer_by(deadline, || unknown, bounded)
            .await;
        match report {
            Ok(end) => after_dispatch(end),
            Err(_) => DispatchDecision::Unknown(Some(DiscardReason::Late)),
        }
    }

    /// Records the reply before the caller gets it, so that a resend after the answer finds it.
    async fn settle_done(mut self, body: Bytes, snapshot: SnapshotId) {
        let Ok(reply) = decode_reply(&self.request.method.output, &body) else {
            return self.settle_unknown(Some(DiscardReason::Undecodable)).await;
        };
        let answer = Answer::done(reply).pinned(snapshot);
        let outcome = RecordedOutcome::Done {
            body: body.to_vec(),
        };
        self.settle(outcome, answer).await;
    }

    async fn settle_unknown(mut self, discarded: Option<DiscardReason>) {
        if let Some(reason) = discarded {
            self.environment.metrics.discarded(reason);
        }
        let answer = self.unknown_answer();
        self.settle(RecordedOutcome::Unknown, answer).await;
    }

    async fn settle(&mut self, outcome: RecordedOutcome, answer: Answer) {
        let until = Instant::now() + self.environment.timing.settle();
        let deadline = self.request.deadline();
        let early = answer.clone();
        let settling = self.ledger.settle(outcome, until);
        let recorded = self.responder.answer_by(deadline, || early, settling).await;
        self.responder.answer(answer);
        if !recorded {
            self.environment.metrics.unrecorded.inc();
            log::warn!("settle request {:?}: not recorded", self.ledger.key);
        }
    }

    /// Releases the claim before the caller gets its refusal, so that a resend is not taken for one
    /// in progress; but the caller waits for that no longer than one ledger call.
    async fn release_and_refuse(mut self, reason: Reason) {
        let answer = self.refusal(reason);
        let one_call = Instant::now() + self.environment.timing.ledger_call();
        let answer_by = one_call.min(self.request.deadline());
        let early = answer.clone();
        let until = Instant::now() + self.environment.timing.settle();
        let releasing = self.ledger.release(until);
        let released = self
            .responder
            .answer_by(answer_by, || early, releasing)
            .await;
        self.responder.answer(answer);
        if !released {
            self.environment.metrics.unrecorded.inc();
        }
    }

    async fn release(&self) {
        let until = Instant::now() + self.environment.timing.settle();
        if !self.ledger.release(until).await {
            self.environment.metrics.unrecorded.inc();
        }
    }

    fn recorded_answer(&self, outcome: RecordedOutcome) -> Answer {
        let RecordedOutcome::Done { body } = outcome else {
            return Answer::without_reply(Reason::SentWithoutReply);
        };
        match decode_reply(&self.request.method.output, &body) {
            Ok(reply) => Answer::done(reply),
            Err(error) => Answer::without_reply(Reason::RecordedReplyUnreadable(error)),
        }
    }

    fn unknown_answer(&self) -> Answer {
        let answer = Answer::without_reply(Reason::SentWithoutReply);
        answer.retry_after(self.environment.timing.retry_after())
    }

    fn early_refusal(&self, reason: Reason) -> Answer {
        let reason = if self.request.headers.resend {
            reason.for_resend()
        } else {
            reason
        };
        self.refusal(reason)
    }

    /// A refusal, with the time to come back where coming back may help.
    fn refusal(&self, reason: Reason) -> Answer {
        let router = &self.request.service.router;
        let now = router.now();
        let retry_after = match &reason {
            Reason::RequestIdReused
            | Reason::IssuedInFuture { .. }
            | Reason::IssuedTooLongAgo
            | Reason::Forgotten => return Answer::without_reply(reason),
            Reason::Pressed | Reason::BackendRefused(_) | Reason::NoReplica(_) => {
                router.lock().policy.retry_after(now)
            }
            _ => self.environment.timing.retry_after(),
        };
        Answer::without_reply(reason).retry_after(retry_after)
    }
}
