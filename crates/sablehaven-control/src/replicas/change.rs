//! A change of the control replicas, and its phases.

use sablehaven_consensus::ReplicaId;
use serde::{Deserialize, Serialize};

/// The kind of a change, with the replicas that it concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeKind {
    /// Adds a replica.
    Add {
        /// The replica.
        replica: ReplicaId,
    },
    /// Removes a replica.
    Remove {
        /// The replica.
        replica: ReplicaId,
    },
    /// Replaces one replica by another.
    Replace {
        /// The replica that is removed.
        old: ReplicaId,
        /// The replica that is added.
        new: ReplicaId,
        /// The order of the two steps.
        order: ReplacementOrder,
    },
}

/// The order of the steps of a replacement.
///
/// While the old replica is alive, promoting the new one first is safer: there is one more voter throughout the change.
/// If the old replica has failed, removing it first is safer. With C failed, {A, B, C, D} has a quorum only if A, B and
/// D all respond, whereas {A, B} needs both but does not depend on a machine that has only just joined.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplacementOrder {
    /// The new replica is promoted to voter before the old one is removed.
    PromoteFirst,
    /// The old replica is removed before the new one is promoted to voter.
    RemoveFirst,
}

/// The phase of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangePhase {
    /// The new replica is a learner, without a vote, in every group until it has caught up.
    Learning,
    /// The new replica becomes a voter in every group.
    Promoting,
    /// The old replica is removed from every group.
    Removing,
}

/// A change of the control replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaChange {
    /// The number of the change; the changes of a deployment are numbered from 1.
    pub number: u64,
    /// The kind of the change.
    pub kind: ChangeKind,
    /// Its current phase.
    pub phase: ChangePhase,
}

impl ChangeKind {
    /// Returns the replica that is added, if any.
    pub fn added(self) -> Option<ReplicaId> {
        match self {
            Self::Add { replica } | Self::Replace { new: replica, .. } => Some(replica),
            Self::Remove { .. } => None,
        }
    }

    /// Returns the replica that is removed, if any.
    pub fn removed(self) -> Option<ReplicaId> {
        match self {
            Self::Remove { replica } | Self::Replace { old: replica, .. } => Some(replica),
            Self::Add { .. } => None,
        }
    }

    /// Whether another change adds the same replica and removes the same one, in any order.
    pub(super) fn has_same_members(self, other: Self) -> bool {
        self.added() == other.added() && self.removed() == other.removed()
    }

    /// Returns the phases of the change in order.
    fn phases(self) -> &'static [ChangePhase] {
        use ChangePhase::{Learning, Promoting, Removing};
        match self {
            Self::Add { .. } => &[Learning, Promoting],
            Self::Remove { .. } => &[Removing],
            Self::Replace { order, .. } => match order {
                ReplacementOrder::PromoteFirst => &[Learning, Promoting, Removing],
                ReplacementOrder::RemoveFirst => &[Learning, Removing, Promoting],
            },
        }
    }
}

impl ReplicaChange {
    pub(super) fn new(number: u64, kind: ChangeKind) -> Self {
        Self {
            number,
            kind,
            phase: kind.phases()[0],
        }
    }

    /// Returns the phase after the current one; `None` if that is the last.
    pub fn next_phase(&self) -> Option<ChangePhase> {
        let phases = self.kind.phases();
        phases.get(self.position(self.phase)? + 1).copied()
    }

    /// Whether the new replica should be a voter in the current phase.
    pub(super) fn has_reached_promotion(&self) -> bool {
        self.has_reached(ChangePhase::Promoting)
    }

    /// Whether the old replica should be removed in the current phase.
    pub(super) fn has_reached_removal(&self) -> bool {
        self.has_reached(ChangePhase::Removing)
    }

    /// Whether the change is promoting the new replica as its last step.
    fn promotes_last(&self) -> bool {
        self.next_phase().is_none() && self.phase == ChangePhase::Promoting
    }

    fn has_reached(&self, phase: ChangePhase) -> bool {
        let (wanted, current) = (self.position(phase), self.position(self.phase));
        wanted.is_some() && wanted <= current
    }

    fn position(&self, phase: ChangePhase) -> Option<usize> {
        self.kind.phases().iter().position(|each| *each == phase)
    }

    /// Whether a change of this kind cancels the current one.
    ///
    /// The removal of the new replica cancels a change while that replica is still a learner. If its promotion is the
    /// last step, because the old replica has been removed or there is none, the change can also be cancelled during
    /// the promotion: a new replica that has failed permanently would otherwise block every later change.
    pub(super) fn can_be_cancelled_by(&self, kind: ChangeKind) -> bool {
        let ChangeKind::Remove { replica } = kind else {
            return false;
        };
        let can_stop = match self.phase {
            ChangePhase::Learning => true,
            ChangePhase::Promoting => self.promotes_last(),
            ChangePhase::Removing => false,
        };
        can_stop && self.kind.added() == Some(replica)
    }
}
