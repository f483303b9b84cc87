//! Changes of the members, one at a time.

use serde::{Deserialize, Serialize};

use crate::ReplicaId;

/// A change of the members.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipChange {
    /// Adds a replica that receives the log but does not count.
    AddLearner(ReplicaId),
    /// Makes a learner that has caught up a voter.
    Promote(ReplicaId),
    /// Removes a voter or a learner.
    Remove(ReplicaId),
}
