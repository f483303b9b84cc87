//! Coverage of an answer, computed from the replies that are merged and never from the sub-requests
//! that were sent.

use std::collections::BTreeMap;

use sablehaven_types::{Coverage, MissingReason, MissingShard, ShardId};

/// The result of the sub-request to one shard.
#[derive(Clone, Debug)]
pub enum ShardResult<Reply> {
    /// The reply of the shard, which is part of the answer.
    Answered(Reply),
    /// The shard is missing from the answer.
    Missing(MissingReason),
}

/// Splits the results into the replies to merge and the coverage of the answer.
///
/// A shard of `requested` that has no result is reported as missing with the reason `Deadline`,
/// because the fan-out stops waiting only at the deadline.
pub fn split_results<Reply>(
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

/// Returns a single reason for a query of which no shard answered. Reasons for which a back end may
/// have run the query take precedence. `None` if no shard is missing.
pub fn combined_reason(coverage: &Coverage) -> Option<MissingReason> {
    let reasons = coverage.missing.iter().map(|entry| entry.reason);
    reasons.max_by_key(|reason| (may_have_run(*reason), *reason))
}

/// Returns whether a back end may have run a sub-request that is missing for this reason.
pub fn may_have_run(reason: MissingReason) -> bool {
    match reason {
        MissingReason::NoReplica | MissingReason::Shed | MissingReason::SnapshotGone => false,
        MissingReason::Deadline | MissingReason::Failed | MissingReason::BadReply => true,
    }
}

fn missing_shard(shard: ShardId, reason: MissingReason) -> MissingShard {
    MissingShard { shard, reason }
}
