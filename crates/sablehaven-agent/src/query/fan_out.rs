//! Runs the sub-requests of a request concurrently until the deadline.

use std::collections::BTreeMap;

use futures::{StreamExt, stream::FuturesUnordered};
use prost_reflect::DynamicMessage;
use sablehaven_types::{MissingReason, ShardId};
use tokio::time::timeout_at;

use super::{attempt::SharedRequest, coverage::ShardResult, shard::run_sub_request};

/// The result of a fan-out.
pub enum FanOutResult {
    /// The results of the sub-requests. Those still in flight at the deadline have none.
    Finished(BTreeMap<ShardId, ShardResult<DynamicMessage>>),
    /// A shard no longer has the pinned snapshot, and the agent knows a newer one.
    SnapshotReplaced,
}

/// Limits of one fan-out.
#[derive(Clone, Copy)]
pub struct FanOutLimits {
    /// Maximum number of attempts of one sub-request, including the first.
    pub max_attempts: u32,
    /// Whether the request may restart on another snapshot.
    pub may_restart: bool,
}

/// Sends the request to the shards. Returns as soon as every sub-request has been answered or has
/// failed. Sub-requests still in flight at the deadline are cancelled.
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
    while let Ok(Some((shard, result))) = timeout_at(shared.deadline.into(), running.next()).await {
        snapshot_lost |= matches!(result, ShardResult::Missing(MissingReason::SnapshotGone));
        // Checked after each further result too, because the agent may learn of the new snapshot only
        // after a shard has reported the old one as gone. The check after the last result is final.
        if snapshot_lost && limits.may_restart && is_replaced(shared) {
            return FanOutResult::SnapshotReplaced;
        }
        results.insert(shard, result);
    }
    FanOutResult::Finished(results)
}

fn is_replaced(shared: SharedRequest<'_>) -> bool {
    shared.service.router.pin().id != shared.pinned.id
}
