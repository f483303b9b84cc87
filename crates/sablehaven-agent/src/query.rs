//! Requests that may be repeated: queries over every shard and look-ups in one.

mod attempt;
mod coverage;
mod crashes;
mod fan_out;
mod shard;
mod sub_request;

use std::time::Instant;

use bytes::Bytes;
use prost_reflect::DynamicMessage;
use sablehaven_routing::{
    Admission,
    crash_table::{CrashStatus, fingerprint},
};
use sablehaven_schema::{MethodKind, MethodSchema, encode_protobuf, merge, shard_for_key};
use sablehaven_types::{Coverage, IndexSnapshot, MissingReason, ShardId};

pub use coverage::{ShardEnd, combined_reason, may_have_run, split};
pub use crashes::QueryCrashes;
pub use sub_request::{AttemptFailure, Step, SubRequest};

use crate::{answer::Answer, config::Limits, metrics::Metrics, plan::ServicePlan, reason::Reason};
use attempt::SharedRequest;
use crashes::QueryWatch;
use fan_out::{FanOut, FanOutLimits, fan_out};

/// A decoded request that may be repeated.
#[derive(Clone, Copy)]
pub struct ReadRequest<'a> {
    /// The service that is asked.
    pub service: &'a ServicePlan,
    /// The method.
    pub method: &'a MethodSchema,
    /// The request message.
    pub message: &'a DynamicMessage,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// Limits of the agent.
    pub limits: &'a Limits,
    /// The agent's metrics.
    pub metrics: &'a Metrics,
    /// Queries under which back ends ended.
    pub crashes: &'a QueryCrashes,
}

impl ReadRequest<'_> {
    /// Serves the request. Returns as soon as every shard has answered or is given up.
    pub async fn run(&self) -> Answer {
        let mut pinned = self.service.router.pin();
        if let Some(refusal) = self.admit(&pinned) {
            return refusal;
        }
        let body: Bytes = encode_protobuf(self.message).into();
        let fingerprint = fingerprint(&[&self.method.path], &body);
        let now = self.service.router.now();
        if let CrashStatus::Quarantined { left } = self.crashes.standing(now, fingerprint) {
            return Answer::without_reply(Reason::Quarantined).retry_after(left);
        }
        let watch = QueryWatch::new(self.crashes, fingerprint);
        let mut restarts_left = self.limits.query_restarts;
        loop {
            let shared = SharedRequest {
                service: self.service,
                method: self.method,
                body: &body,
                pinned: &pinned,
                deadline: self.deadline,
                metrics: self.metrics,
                watch: &watch,
            };
            let shards = self.shards(&pinned);
            let limits = FanOutLimits {
                attempts: self.limits.attempts_per_sub_request,
                may_restart: restarts_left > 0,
            };
            match fan_out(shared, &shards, limits).await {
                FanOut::Finished(ends) => {
                    let (replies, coverage) = split(&shards, ends);
                    self.metrics.covered(&coverage);
                    let answer = self.answer(replies, coverage);
                    return answer.pinned(pinned.id);
                }
                // Nothing of the replies merged so far is kept: they are of the lost snapshot.
                FanOut::SnapshotReplaced => {
                    restarts_left -= 1;
                    self.metrics.restarts.inc();
                    pinned = self.service.router.pin();
                }
            }
        }
    }

    fn admit(&self, pinned: &IndexSnapshot) -> Option<Answer> {
        let sub_requests = u32::try_from(self.shards(pinned).len()).unwrap_or(u32::MAX);
        let router = &self.service.router;
        let now = router.now();
        let admission = router.lock().policy.admit(now, sub_requests);
        match admission {
            Admission::Admitted => None,
            Admission::Refused { retry_after } => {
                Some(Answer::without_reply(Reason::Pressed).retry_after(retry_after))
            }
        }
    }

    /// The shards to ask: every one of the pinned map, or the one that the key belongs to.
    fn shards(&self, pinned: &IndexSnapshot) -> Vec<ShardId> {
        if matches!(self.method.kind, MethodKind::Query { .. }) {
            return pinned.shards.iter().map(|entry| entry.shard).collect();
        }
        let count = u32::try_from(pinned.shards.len()).unwrap_or(u32::MAX);
        let shard = shard_for_key(self.method, self.message, count);
        shard.into_iter().collect()
    }

    fn answer(
        &self,
        replies: std::collections::BTreeMap<ShardId, DynamicMessage>,
        coverage: Coverage,
    ) -> Answer {
        if replies.is_empty() {
            return self.nothing_answered(coverage);
        }
        let is_complete = coverage.is_complete();
        if !matches!(self.method.kind, MethodKind::Query { .. }) {
            let reply = replies.into_values().next();
            return reply.map_or_else(|| self.nothing_answered(coverage), Answer::done);
        }
        let mut answer = match merge(self.method, replies, self.message) {
            Ok(body) => Answer::done(body),
            Err(error) => Answer::without_reply(Reason::MergeFailed(error)),
        };
        answer.coverage = Some(coverage);
        if !is_complete {
            answer.retry_after = Some(self.retry_after());
        }
        answer
    }

    fn nothing_answered(&self, coverage: Coverage) -> Answer {
        let reason = combined_reason(&coverage).unwrap_or(MissingReason::NoReplica);
        let reason = if may_have_run(reason) {
            Reason::NothingAnswered(reason)
        } else {
            Reason::NothingRan(reason)
        };
        let mut answer = Answer::without_reply(reason).retry_after(self.retry_after());
        let is_query = matches!(self.method.kind, MethodKind::Query { .. });
        answer.coverage = is_query.then_some(coverage);
        answer
    }

    fn retry_after(&self) -> std::time::Duration {
        let router = &self.service.router;
        let now = router.now();
        router.lock().policy.retry_after(now)
    }
}
