//! Asks every shard of a request at the same time, and stops at the deadline.

use std::collections::BTreeMap;

use futures::{StreamExt, stream::FuturesUnordered};
use prost_reflect::DynamicMessage;
use sablehaven_types::{MissingReason, ShardId};
use tokio::time::timeout_at;

use super::{attempt::SharedRequest, coverage::ShardEnd, shard::ask_shard};

/// How a fan-out ended.
pub enum FanOut {
    /// Every shard answered, was given up, or was still asked at the deadline.
    Finished(BTreeMap<ShardId, ShardEnd<DynamicMessage>>),
    /// A shard lost the pinned snapshot and the agent knows another one.
    SnapshotReplaced,
}

/// Limits of one fan-out.
#[derive(Clone, Copy)]
pub struct FanOutLimits {
    /// Attempts of one sub-request, the first included.
    pub attempts: u32,
    /// Whether the request may start again on another snapshot.
    pub may_restart: bool,
}

/// Asks the shards. Returns as soon as each has answered or is given up; what is still in flight at
/// the deadline is cancelled.
pub async fn fan_out(
    shared: SharedRequest<'_>,
    shards: &[ShardId],
    limits: FanOutLimits,
) -> FanOut {
    let mut running: FuturesUnordered<_> = shards
        .iter()
        .map(|shard| async move { (*shard, ask_shard(shared, *shard, limits.attempts).await) })
        .collect();
    let mut ends = BTreeMap::new();
    let mut lost_snapshot = false;
    while let Ok(Some((shard, end))) = timeout_at(shared.deadline.into(), running.next()).await {
        lost_snapshot |= matches!(end, ShardEnd::Missing(MissingReason::SnapshotGone));
        // Seen at once where the new snapshot is known already; at the last shard otherwise.
        if lost_snapshot && limits.may_restart && is_replaced(shared) {
            return FanOut::SnapshotReplaced;
        }
        ends.insert(shard, end);
    }
    FanOut::Finished(ends)
}

fn is_replaced(shared: SharedRequest<'_>) -> bool {
    shared.service.router.pin().id != shared.pinned.id
}
