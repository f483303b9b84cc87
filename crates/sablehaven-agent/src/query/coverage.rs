//! Coverage, computed from the replies that are merged and never from those that were sent.

use std::collections::BTreeMap;

use sablehaven_types::{Coverage, MissingReason, MissingShard, ShardId};

/// How one shard's sub-request ended.
#[derive(Clone, Debug)]
pub enum ShardResult<Reply> {
    /// Its reply is part of the answer.
    Answered(Reply),
    /// It is not.
    Missing(MissingReason),
}

/// Splits the shards' ends into the replies to merge and the coverage they give.
///
/// A shard of `asked` without an end is missing for its deadline: the fan-out stopped waiting for it.
pub fn split<Reply>(
    requested: &[ShardId],
    mut results: BTreeMap<ShardId, ShardResult<Reply>>,
) -> (BTreeMap<ShardId, Reply>, Coverage) {
    let mut replies = BTreeMap::new();
    let mut missing = Vec::new();
    for shard in requested {
        match results.remove(shard) {
            Some(ShardResult::Answered(reply)) => {
                replies.insert(*shard, reply);
            }
            Some(ShardResult::Missing(reason)) => missing.push(missing_shard(*shard, reason)),
            None => missing.push(missing_shard(*shard, MissingReason::Deadline)),
        }
    }
    missing.sort_by_key(|entry| entry.shard);
    let coverage = Coverage {
        answered: replies.keys().copied().collect(),
        missing,
    };
    (replies, coverage)
}

/// The reason that stands for a query of which no shard answered, and whether a back end may have
/// worked on it.
pub fn combined_reason(coverage: &Coverage) -> Option<MissingReason> {
    let reasons = coverage.missing.iter().map(|entry| entry.reason);
    reasons.max_by_key(|reason| (may_have_run(*reason), *reason))
}

/// Whether a back end may have worked on a sub-request that ended so.
pub fn may_have_run(reason: MissingReason) -> bool {
    match reason {
        MissingReason::NoReplica | MissingReason::Shed | MissingReason::SnapshotGone => false,
        MissingReason::Deadline | MissingReason::Failed | MissingReason::BadReply => true,
    }
}

fn missing_shard(shard: ShardId, reason: MissingReason) -> MissingShard {
    MissingShard { shard, reason }
}
