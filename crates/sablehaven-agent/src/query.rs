//! Requests that may be retried: queries, which go to every shard, and lookups, which go to one.

mod attempt;
mod coverage;
mod crashes;
mod fan_out;
mod shard;
mod sub_request;

use std::{sync::Mutex, time::Instant};

use bytes::Bytes;
use prost_reflect::DynamicMessage;
use sablehaven_http::ClientConnection;
use sablehaven_routing::{
    Admission,
    crash_table::{CrashStatus, fingerprint},
};
use sablehaven_schema::{MethodKind, MethodSchema, encode_protobuf, merge, shard_for_key};
use sablehaven_types::{Coverage, IndexSnapshot, MissingReason, ShardId};

pub use coverage::{ShardResult, combined_reason, may_have_run, split_results};
pub use crashes::QueryCrashes;
pub use sub_request::{AttemptFailure, Step, SubRequest};

use crate::{answer::Answer, config::Limits, metrics::Metrics, plan::ServicePlan, reason::Reason};
use attempt::SharedRequest;
use crashes::CrashWatch;
use fan_out::{FanOutLimits, FanOutResult, fan_out};

/// A decoded query or lookup.
#[derive(Clone, Copy)]
pub struct ReadRequest<'a> {
    /// The connection of the caller.
    pub client: &'a ClientConnection,
    /// The service that the method belongs to.
    pub service: &'a ServicePlan,
    /// The method.
    pub method: &'a MethodSchema,
    /// The request message.
    pub message: &'a DynamicMessage,
    /// The caller's deadline.
    pub deadline: Instant,
    /// Limits on sizes and counts.
    pub limits: &'a Limits,
    /// The agent's metrics.
    pub metrics: &'a Metrics,
    /// Queries that are known or suspected to crash back ends.
    pub crashes: &'a QueryCrashes,
}

impl ReadRequest<'_> {
    /// Runs the request. Returns as soon as every sub-request has been answered or has failed, at the
    /// latest at the deadline.
    pub async fn run(&self) -> Answer {
        let mut pinned = self.service.router.pin();
        if let Some(refusal) = self.admit(&pinned) {
            return refusal;
        }
        let body: Bytes = encode_protobuf(self.message).into();
        let fingerprint = fingerprint(&[&self.method.path], &body);
        let now = self.service.router.now();
        if let CrashStatus::Quarantined { left } = self.crashes.standing(now, fingerprint) {
            return Answer::without_reply(Reason::Quarantined).with_retry_after(left);
        }
        let crash_watch = CrashWatch::new(self.crashes, fingerprint);
        let mut restarts_left = self.limits.query_restarts;
        loop {
            let held_replies = Mutex::default();
            let shared = SharedRequest {
                client: self.client,
                held_replies: &held_replies,
                service: self.service,
                method: self.method,
                body: &body,
                pinned: &pinned,
                deadline: self.deadline,
                metrics: self.metrics,
                crash_watch: &crash_watch,
            };
            let shards = self.shards(&pinned);
            let limits = FanOutLimits {
                max_attempts: self.limits.attempts_per_sub_request,
                may_restart: restarts_left > 0,
            };
            match fan_out(shared, &shards, limits).await {
                FanOutResult::Finished(results) => {
                    let (replies, coverage) = split_results(&shards, results);
                    self.metrics.record_missing_shards(&coverage);
                    let answer = self.answer(replies, coverage);
                    return answer.with_snapshot(pinned.id);
                }
                // The replies received so far are discarded: they belong to the old snapshot.
                FanOutResult::SnapshotReplaced => {
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
                Some(Answer::without_reply(Reason::Overloaded).with_retry_after(retry_after))
            }
        }
    }

    /// Returns the shards to send to: for a query every shard of the pinned snapshot, for a lookup
    /// the one that the key belongs to.
    fn shards(&self, pinned: &IndexSnapshot) -> Vec<ShardId> {
        if matches!(self.method.kind, MethodKind::Query { .. }) {
            return pinned.shards.iter().map(|entry| entry.shard).collect();
        }
        let shard_count = u32::try_from(pinned.shards.len()).unwrap_or(u32::MAX);
        let shard = shard_for_key(self.method, self.message, shard_count);
        shard.into_iter().collect()
    }

    fn answer(
        &self,
        replies: std::collections::BTreeMap<ShardId, DynamicMessage>,
        coverage: Coverage,
    ) -> Answer {
        if replies.is_empty() {
            return self.no_shard_replied(coverage);
        }
        let is_complete = coverage.is_complete();
        if !matches!(self.method.kind, MethodKind::Query { .. }) {
            let reply = replies.into_values().next();
            return reply.map_or_else(|| self.no_shard_replied(coverage), Answer::done);
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

    fn no_shard_replied(&self, coverage: Coverage) -> Answer {
        let reason = combined_reason(&coverage).unwrap_or(MissingReason::NoReplica);
        let reason = if may_have_run(reason) {
            Reason::NoShardReplied(reason)
        } else {
            Reason::NoShardRan(reason)
        };
        let mut answer = Answer::without_reply(reason).with_retry_after(self.retry_after());
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
