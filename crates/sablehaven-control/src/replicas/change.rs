//! One change of the control replicas and its phases.

use sablehaven_consensus::ReplicaId;
use serde::{Deserialize, Serialize};

/// What is changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeKind {
    /// A replica joins.
    Add {
        /// The replica.
        replica: ReplicaId,
    },
    /// A replica goes.
    Remove {
        /// The replica.
        replica: ReplicaId,
    },
    /// A replica takes the place of another.
    Replace {
        /// The replica that goes.
        old: ReplicaId,
        /// The replica that joins.
        new: ReplicaId,
        /// Which of the two steps comes first.
        order: ReplacementOrder,
    },
}

/// Which step of a replacement comes first.
///
/// With the old replica alive, promoting first keeps one more voter at every moment. With it dead,
/// removing first does: {A, B, C†, D} needs three of A, B and D, whereas {A, B} needs both and does
/// not depend on a machine that has only just joined.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplacementOrder {
    /// The new replica gets its vote before the old one goes.
    PromoteFirst,
    /// The old replica goes before the new one gets its vote.
    RemoveFirst,
}

/// How far a change is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangePhase {
    /// The new replica follows every group without a vote until it has caught up.
    Learning,
    /// The new replica gets its vote in every group.
    Promoting,
    /// The old replica is taken out of every group.
    Removing,
}

/// A change of the control replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaChange {
    /// Counts the changes of the deployment from 1.
    pub number: u64,
    /// What is changed.
    pub kind: ChangeKind,
    /// How far it is.
    pub phase: ChangePhase,
}

impl ChangeKind {
    /// The replica that joins, if any.
    pub fn added(self) -> Option<ReplicaId> {
        match self {
            Self::Add { replica } | Self::Replace { new: replica, .. } => Some(replica),
            Self::Remove { .. } => None,
        }
    }

    /// The replica that goes, if any.
    pub fn removed(self) -> Option<ReplicaId> {
        match self {
            Self::Remove { replica } | Self::Replace { old: replica, .. } => Some(replica),
            Self::Add { .. } => None,
        }
    }

    /// Whether another change lets the same replica join and the same one go, in whatever order.
    pub(super) fn has_same_members(self, other: Self) -> bool {
        self.added() == other.added() && self.removed() == other.removed()
    }

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

    /// The phase after the current one; `None` after the last.
    pub fn next_phase(&self) -> Option<ChangePhase> {
        let phases = self.kind.phases();
        phases.get(self.position(self.phase)? + 1).copied()
    }

    /// Whether the new replica is to vote by now.
    pub(super) fn has_promoted(&self) -> bool {
        self.has_reached(ChangePhase::Promoting)
    }

    /// Whether the old replica is to be out by now.
    pub(super) fn has_removed(&self) -> bool {
        self.has_reached(ChangePhase::Removing)
    }

    fn is_promoted_last(&self) -> bool {
        self.next_phase().is_none() && self.phase == ChangePhase::Promoting
    }

    fn has_reached(&self, phase: ChangePhase) -> bool {
        let (wanted, current) = (self.position(phase), self.position(self.phase));
        wanted.is_some() && wanted <= current
    }

    fn position(&self, phase: ChangePhase) -> Option<usize> {
        self.kind.phases().iter().position(|each| *each == phase)
    }

    /// Removing the new replica calls a change off while nobody counts on it yet. When the old replica
    /// has been taken out, or there is none, also while the new one is being promoted: a newcomer that
    /// is gone for good would otherwise hold up every later change.
    pub(super) fn may_be_called_off_by(&self, kind: ChangeKind) -> bool {
        let ChangeKind::Remove { replica } = kind else {
            return false;
        };
        let may_stop = match self.phase {
            ChangePhase::Learning => true,
            ChangePhase::Promoting => self.is_promoted_last(),
            ChangePhase::Removing => false,
        };
        may_stop && self.kind.added() == Some(replica)
    }
}
