//! The steps of one at-most-once request: claim, check, dispatch, record, answer.

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
    decision::{ClaimDecision, ClockReading, DispatchCheck, DispatchDecision, after_dispatch},
    dispatch::{Dispatch, send_dispatch},
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
use sablehaven_http::ClientConnection;
use sablehaven_web::RequestBody;

/// Maximum time reserved before the deadline for sending a refusal to the caller.
const MAX_REPLY_RESERVE: Duration = Duration::from_millis(50);

/// The reserve is the allowed time divided by this number, up to [`MAX_REPLY_RESERVE`].
const RESERVE_DIVISOR: u32 = 10;

/// The parts of the agent used by at-most-once requests.
#[derive(Clone)]
pub struct OnceEnvironment {
    /// Access to the configuration lease and the request ledger.
    pub subscription: Subscription,
    /// Timeouts, delays and intervals.
    pub timing: Timing,
    /// The agent's metrics.
    pub metrics: Metrics,
}

/// A decoded at-most-once request.
#[derive(Debug)]
pub struct OnceRequest {
    /// The connection of the caller.
    pub client: ClientConnection,
    /// The body of the request, which is held until its outcome is recorded.
    pub body: RequestBody,
    /// The service that the method belongs to.
    pub service: Arc<ServicePlan>,
    /// The method.
    pub method: MethodSchema,
    /// The request message.
    pub message: DynamicMessage,
    /// The ledger key, and whether this is a resend.
    pub headers: OnceHeaders,
    /// When the request arrived.
    pub arrived: ClockReading,
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
    /// Runs the request until its outcome is recorded.
    ///
    /// The answer is sent through `sender` by the deadline. The future may run longer, to wait for a
    /// late reply and to record the outcome, and must not be dropped before it completes.
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

    /// Time limit for the claim, early enough for a refusal to reach the caller before the deadline.
    fn claim_deadline(&self) -> Instant {
        let reserve = (self.time_allowed / RESERVE_DIVISOR).min(MAX_REPLY_RESERVE);
        self.deadline() - reserve
    }
}

impl Flow {
    async fn run(mut self) {
        if let Some(refusal) = self.refuse_before_claim() {
            return self.responder.answer(refusal);
        }
        let fingerprint = fingerprint(&self.request.method.path, &self.request.message);
        let claim = self
            .ledger
            .claim(fingerprint, self.request.claim_deadline());
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
            Some(ClaimDecision::Retry) | None => self.abandon_claim().await,
        }
    }

    /// Returns a refusal if the request can be refused without asking the ledger. The refusal of a
    /// resend has the outcome `Unknown`, because the earlier request may have run.
    fn refuse_before_claim(&self) -> Option<Answer> {
        if !self.environment.subscription.lease().current {
            return Some(self.refusal_without_claim(Reason::NoLease));
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
                Some(Answer::without_reply(Reason::Overloaded).with_retry_after(retry_after))
            }
        }
    }

    /// Refuses the request because the ledger did not answer. The claim may still take effect in the
    /// ledger, so it is released; the request is not dispatched.
    async fn abandon_claim(mut self) {
        let answer = self.refusal_without_claim(Reason::LedgerUnavailable);
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

    /// Chooses the back end and checks whether the request may still be dispatched. Nothing may be
    /// awaited between this check and the dispatch, or the result of the check could be out of date.
    fn prepare(&self, pinned: &IndexSnapshot) -> Result<Dispatch, Reason> {
        let (shard, chosen) = self.choose(pinned).map_err(Reason::NoReplica)?;
        let dispatch_check = DispatchCheck {
            arrived: self.request.arrived,
            now: ClockReading::now(),
            time_allowed: self.request.time_allowed,
            issued_at_ms: self.request.headers.key.issued_at_ms,
            issue_age_limit_ms: self.environment.timing.issue_age_limit_ms,
            lease_current: self.environment.subscription.lease().current,
        };
        dispatch_check.check()?;
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
        let shard_count = u32::try_from(pinned.shards.len()).unwrap_or(u32::MAX);
        let shard = shard_for_key(&self.request.method, &self.request.message, shard_count)
            .map_err(|_| MissingReason::NoReplica)?;
        let router = &self.request.service.router;
        let now = router.now();
        let mut state = router.lock();
        let chosen = state.pinned(pinned).choose(now, shard, &[])?;
        Ok((shard, chosen))
    }

    /// Sends the request once. At its deadline the caller gets an answer with the outcome `Unknown`;
    /// the agent goes on waiting for a late reply, which may show that the request ran.
    async fn dispatch(&mut self, dispatch: Dispatch) -> DispatchDecision {
        let deadline = self.request.deadline();
        let accept_until = deadline + self.environment.timing.late_reply_window();
        let unknown = self.unknown_answer();
        let sending = send_dispatch(
            &self.request,
            &self.environment.metrics,
            dispatch,
            accept_until,
        );
        let bounded = timeout_at(accept_until.into(), sending);
        let report = self
            .responder
            .answer_by(deadline, || unknown, bounded)
            .await;
        match report {
            Ok(end) => after_dispatch(end),
            Err(_) => DispatchDecision::Unknown(Some(DiscardReason::Late)),
        }
    }

    /// Records the reply before answering the caller, so that a resend after the answer finds it.
    async fn settle_done(mut self, body: Bytes, snapshot: SnapshotId) {
        let Ok(reply) = decode_reply(&self.request.method.output, &body) else {
            return self.settle_unknown(Some(DiscardReason::Undecodable)).await;
        };
        let answer = Answer::done(reply).with_snapshot(snapshot);
        let outcome = RecordedOutcome::Done {
            body: body.to_vec(),
        };
        self.settle(outcome, answer).await;
    }

    async fn settle_unknown(mut self, discarded: Option<DiscardReason>) {
        if let Some(reason) = discarded {
            self.environment.metrics.record_discarded_reply(reason);
        }
        let answer = self.unknown_answer();
        self.settle(RecordedOutcome::Unknown, answer).await;
    }

    async fn settle(&mut self, outcome: RecordedOutcome, answer: Answer) {
        let settle_deadline = Instant::now() + self.environment.timing.settle_timeout();
        let deadline = self.request.deadline();
        let early_answer = answer.clone();
        let settling = self.ledger.settle(outcome, settle_deadline);
        let recorded = self
            .responder
            .answer_by(deadline, || early_answer, settling)
            .await;
        self.responder.answer(answer);
        if !recorded {
            self.environment.metrics.unrecorded_outcomes.inc();
            log::warn!(
                "cannot record the outcome of request {:?} in the ledger",
                self.ledger.key
            );
        }
    }

    /// Releases the claim before answering the caller, so that a resend is not refused as being in
    /// progress. The caller waits for the release no longer than for one ledger call.
    async fn release_and_refuse(mut self, reason: Reason) {
        let answer = self.refusal(reason);
        let one_call_deadline = Instant::now() + self.environment.timing.ledger_call_timeout();
        let answer_deadline = one_call_deadline.min(self.request.deadline());
        let early_answer = answer.clone();
        let release_deadline = Instant::now() + self.environment.timing.settle_timeout();
        let releasing = self.ledger.release(release_deadline);
        let released = self
            .responder
            .answer_by(answer_deadline, || early_answer, releasing)
            .await;
        self.responder.answer(answer);
        if !released {
            self.environment.metrics.unrecorded_outcomes.inc();
        }
    }

    async fn release(&self) {
        let release_deadline = Instant::now() + self.environment.timing.settle_timeout();
        if !self.ledger.release(release_deadline).await {
            self.environment.metrics.unrecorded_outcomes.inc();
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
        answer.with_retry_after(self.environment.timing.retry_after())
    }

    fn refusal_without_claim(&self, reason: Reason) -> Answer {
        let reason = if self.request.headers.resend {
            reason.for_resend()
        } else {
            reason
        };
        self.refusal(reason)
    }

    /// Returns a refusal, with a retry delay if a retry can help.
    fn refusal(&self, reason: Reason) -> Answer {
        let router = &self.request.service.router;
        let now = router.now();
        let retry_after = match &reason {
            Reason::RequestIdReused
            | Reason::IssuedInFuture { .. }
            | Reason::IssuedTooLongAgo
            | Reason::BelowLedgerHorizon => return Answer::without_reply(reason),
            Reason::Overloaded | Reason::BackendRefused(_) | Reason::NoReplica(_) => {
                router.lock().policy.retry_after(now)
            }
            _ => self.environment.timing.retry_after(),
        };
        Answer::without_reply(reason).with_retry_after(retry_after)
    }
}
