//! What part of the pinned partition map an answer covers.

use serde::{Deserialize, Serialize};

use crate::ShardId;

/// Every shard of the pinned map, either answered or missing with a reason.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
    /// Shards whose replies were merged into the answer, ascending.
    pub answered: Vec<ShardId>,
    /// Shards that are not part of the answer, ascending.
    pub missing: Vec<MissingShard>,
}

impl Coverage {
    /// Whether no shard is missing.
    pub fn is_complete(&self) -> bool {
        self.missing.is_empty()
    }

    /// The number of shards in the pinned map.
    pub fn shard_count(&self) -> usize {
        self.answered.len() + self.missing.len()
    }
}

/// A shard that is not part of the answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MissingShard {
    /// The shard.
    pub shard: ShardId,
    /// Why it is missing.
    pub reason: MissingReason,
}

/// Why a shard is missing from an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MissingReason {
    /// The deadline passed before a reply came.
    Deadline,
    /// No replica of the shard is live.
    NoReplica,
    /// Every replica tried refused the work because it is pressed.
    Shed,
    /// Every replica tried failed, and the retry budget or the replicas ran out.
    Failed,
    /// No replica holds the pinned generation any more.
    SnapshotGone,
    /// Replies came, but none could be accepted (wrong attempt, shard, snapshot or body).
    BadReply,
}
