//! What the log holds: identifiers, entries, durable state and snapshots.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

/// A replica, named by the identity of its disk: made at random when the disk is formatted, so that
/// a replica whose disk was lost or swapped comes back as another one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ReplicaId(pub u64);

impl std::fmt::Display for ReplicaId {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// The members of a group at one point of its log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Replicas whose votes and acknowledgements count.
    pub voters: BTreeSet<ReplicaId>,
    /// Replicas that receive the log but do not count.
    pub learners: BTreeSet<ReplicaId>,
}

impl Membership {
    /// The number of voters that make a quorum.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether the replica is a voter or a learner.
    pub fn contains(&self, replica: ReplicaId) -> bool {
        self.voters.contains(&replica) || self.learners.contains(&replica)
    }
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its position; the first entry has index 1.
    pub index: u64,
    /// The term of the leader that made it.
    pub term: u64,
    /// What it holds.
    pub payload: EntryPayload,
}

/// What an entry holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// A new leader's first entry; applies to nothing.
    Empty,
    /// A command for the state machine.
    Command(Vec<u8>),
    /// The members from this entry on (in force as soon as it is appended).
    Membership(Membership),
}

/// What a replica must have synced before it may answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term seen.
    pub term: u64,
    /// The candidate voted for in that term.
    pub voted_for: Option<ReplicaId>,
}

/// Where a snapshot of the state machine stands.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotMetadata {
    /// The last entry that is applied in it.
    pub index: u64,
    /// That entry's term.
    pub term: u64,
    /// The members at that entry.
    pub membership: Membership,
}

/// A snapshot of the state machine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Where it stands.
    pub metadata: SnapshotMetadata,
    /// The state machine's own encoding.
    pub data: Vec<u8>,
}

/// What storage gives back when a replica starts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistentState {
    /// The durable state.
    pub hard_state: HardState,
    /// The latest snapshot's position; the default one where there is none.
    pub snapshot: SnapshotMetadata,
    /// The entries after the snapshot, without gaps.
    pub entries: Vec<Entry>,
}

impl PersistentState {
    /// What every initial voter of a new group starts with: one entry that names them all.
    ///
    /// The caller writes and syncs the hard state and the entry before the replica starts.
    pub fn bootstrap(voters: BTreeSet<ReplicaId>) -> Self {
        let membership = Membership {
            voters,
            learners: BTreeSet::new(),
        };
        let entry = Entry {
            index: 1,
            term: 1,
            payload: EntryPayload::Membership(membership),
        };
        Self {
            hard_state: HardState {
                term: 1,
                voted_for: None,
            },
            snapshot: SnapshotMetadata::default(),
            entries: vec![entry],
        }
    }
}
