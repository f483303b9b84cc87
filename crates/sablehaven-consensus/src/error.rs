//! Errors of requests to a replica, and the faults that stop a replica.

use crate::ReplicaId;

/// this replica does not lead
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct NotLeader {
    /// The leader, if known. `None` also while a leadership transfer is in progress.
    pub leader: Option<ReplicaId>,
}

/// The error of a refused membership change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum MembershipError {
    /// change of members: this replica does not lead
    NotLeader {
        /// The leader, if known.
        leader: Option<ReplicaId>,
    },
    /// change of members: the leader has committed no entry of its term yet
    LeaderNotReady,
    /// change of members: the change at index {index} is not committed yet
    ChangePending {
        /// Index of the entry with the earlier change.
        index: u64,
    },
    /// change of members: learner {learner} must be promoted or removed first
    LearnerPending {
        /// The learner, which was neither promoted nor removed yet.
        learner: ReplicaId,
    },
    /// change of members: replica {replica} is a member already
    AlreadyMember {
        /// The replica.
        replica: ReplicaId,
    },
    /// change of members: replica {replica} is no member
    NotMember {
        /// The replica.
        replica: ReplicaId,
    },
    /// change of members: replica {replica} is no learner
    NotLearner {
        /// The replica.
        replica: ReplicaId,
    },
    /// change of members: learner {learner} lags by {lag} entries
    NotCaughtUp {
        /// The learner.
        learner: ReplicaId,
        /// Number of entries between the last one that the learner acknowledged and the commit
        /// index.
        lag: u64,
    },
    /// change of members: only {active} of the new voters answer, {quorum} are needed
    WouldLoseQuorum {
        /// Number of new voters that responded within the last election timeout, including the
        /// leader.
        active: usize,
        /// The quorum of the new voters.
        quorum: usize,
    },
}

/// The error of a refused leadership transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum TransferError {
    /// transfer of leadership: this replica does not lead
    NotLeader {
        /// The leader, if known.
        leader: Option<ReplicaId>,
    },
    /// transfer of leadership: replica {to} is no other voter
    NotVoter {
        /// The replica.
        to: ReplicaId,
    },
    /// transfer of leadership: a transfer to replica {to} is under way
    Pending {
        /// The target of the earlier transfer.
        to: ReplicaId,
    },
}

/// A broken invariant of the group. The replica stops participating, because continuing could
/// destroy committed entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum Fault {
    /// append from {leader} in term {term} conflicts with committed entry {index}
    CommittedConflict {
        /// The sender.
        leader: ReplicaId,
        /// The sender's term.
        term: u64,
        /// Index of the entry.
        index: u64,
    },
    /// message from {other}, a second leader of term {term}
    TwoLeaders {
        /// The sender.
        other: ReplicaId,
        /// The term.
        term: u64,
    },
}
