//! Why a request to a replica was refused, and the faults that stop a replica.

use crate::ReplicaId;

/// this replica does not lead
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct NotLeader {
    /// The leader, where known. None also while leadership is handed over.
    pub leader: Option<ReplicaId>,
}

/// Why a change of the members was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum MembershipError {
    /// change of members: this replica does not lead
    NotLeader {
        /// The leader, where known.
        leader: Option<ReplicaId>,
    },
    /// change of members: the leader has committed no entry of its term yet
    LeaderNotReady,
    /// change of members: the change at index {index} is not committed yet
    ChangePending {
        /// Where the earlier change stands in the log.
        index: u64,
    },
    /// change of members: learner {learner} must be promoted or removed first
    LearnerPending {
        /// The learner that has not caught up yet.
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
        /// Entries between the learner's last acknowledged one and the commit index.
        lag: u64,
    },
    /// change of members: only {active} of the new voters answer, {quorum} are needed
    WouldLoseQuorum {
        /// New voters that answered within the last election timeout, the leader included.
        active: usize,
        /// The new voters' quorum.
        quorum: usize,
    },
}

/// Why leadership cannot be handed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum TransferError {
    /// transfer of leadership: this replica does not lead
    NotLeader {
        /// The leader, where known.
        leader: Option<ReplicaId>,
    },
    /// transfer of leadership: replica {to} is no other voter
    NotVoter {
        /// The replica.
        to: ReplicaId,
    },
    /// transfer of leadership: a transfer to replica {to} is under way
    Pending {
        /// The replica that the earlier transfer names.
        to: ReplicaId,
    },
}

/// A broken invariant of the group. The replica stops taking part: going on could destroy committed
/// entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum Fault {
    /// append from {leader} in term {term}: entry {index} contradicts a committed one
    CommittedConflict {
        /// The sender.
        leader: ReplicaId,
        /// Its term.
        term: u64,
        /// The entry.
        index: u64,
    },
    /// message from {other}: it also leads term {term}
    TwoLeaders {
        /// The sender.
        other: ReplicaId,
        /// The term.
        term: u64,
    },
}
