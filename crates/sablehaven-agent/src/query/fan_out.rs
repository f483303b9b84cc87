//! Asks every shard of a request at the same time, and stops at the deadline.

use std::collections::BTreeMap;

use futures::{StreamExt, stream::FuturesUnordered};
use prost_reflect::DynamicMessage;
use sablehaven_types::{MissingReason, ShardId};
use tokio::time::timeout_at;

use super::{attempt::SharedRequest, coverage::ShardResult, shard::run_sub_request};

/// How a fan-out ended.
pub enum FanOutResult {
    /// Every shard answered, was given up, or was still asked at the deadline.
    Finished(BTreeMap<ShardId, ShardResult<DynamicMessage>>),
    /// A shard lost the pinned snapshot and the agent knows another one.
    SnapshotReplaced,
}

/// Limits of one fan-out.
#[derive(Clone, Copy)]
pub struct FanOutLimits {
    /// Attempts of one sub-request, the first included.
    pub max_attempts: u32,
    /// Whether the request may start again on another snapshot.
    pub may_restart: bool,
}

/// Asks the shards. Returns as soon as each has answered or is given up; what is still in flight at
/// the deadline is cancelled.
pub async fn fan_out(
    shared: SharedRequest<'_>,
    shards: &[ShardId],
    limits: FanOutLimits,
) -> FanOutResult {
    let mut running: FuturesUnordered<_> = shards
        .iter()
        .map(|shard| async move {
            (
                *shard,
                run_sub_request(shared, *shard, limits.max_attempts).await,
            )
        })
        .collect();
    let mut results = BTreeMap::new();
    let mut snapshot_lost = false;
    while let Ok(Some((shard, end))) = timeout_at(shared.deadline.into(), running.next()).await {
        snapshot_lost |= matches!(end, ShardResult::Missing(MissingReason::SnapshotGone));
        // Seen at once where the new snapshot is known already; at the last shard otherwise.
        if snapshot_lost && limits.may_restart && is_replaced(shared) {
            return FanOutResult::SnapshotReplaced;
        }
        results.insert(shard, end);
    }
    FanOutResult::Finished(results)
}

fn is_replaced(shared: SharedRequest<'_>) -> bool {
    shared.service.router.pin().id != shared.pinned.id
}
