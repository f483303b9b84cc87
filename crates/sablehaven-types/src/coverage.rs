//! The coverage of an answer: which shards of the pinned partition map it includes.

use serde::{Deserialize, Serialize};

use crate::ShardId;

/// Every shard of the pinned partition map, either answered or missing with a reason.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
    /// The shards whose replies were merged into the answer, in ascending order.
    pub answered: Vec<ShardId>,
    /// The shards that are not part of the answer, in ascending order.
    pub missing: Vec<MissingShard>,
}

impl Coverage {
    /// Returns whether no shard is missing.
    pub fn is_complete(&self) -> bool {
        self.missing.is_empty()
    }

    /// Returns the number of shards in the pinned partition map.
    pub fn shard_count(&self) -> usize {
        self.answered.len() + self.missing.len()
    }
}

/// A shard that is not part of the answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MissingShard {
    /// The shard.
    pub shard: ShardId,
    /// Why the shard is missing.
    pub reason: MissingReason,
}

/// Why a shard is missing from an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MissingReason {
    /// The deadline passed before a reply arrived.
    Deadline,
    /// No replica of the shard is live.
    NoReplica,
    /// Every replica that was tried refused the request because of overload.
    Shed,
    /// Every replica that was tried failed, and no replica or no retry budget was left.
    Failed,
    /// No replica holds the pinned index generation any more.
    SnapshotGone,
    /// Replies arrived, but all had the wrong attempt, shard or snapshot, or an invalid body.
    BadReply,
}
