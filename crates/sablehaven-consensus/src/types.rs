//! The contents of the log: identifiers, entries, durable state and snapshots.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

/// The identifier of a replica. It belongs to the replica's disk: it is chosen at random when the
/// disk is formatted, so a replica whose disk was lost or replaced has a new identifier.
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

/// The members of a group at one index of its log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Replicas whose votes and acknowledgements count towards a quorum.
    pub voters: BTreeSet<ReplicaId>,
    /// Replicas that receive the log but do not count towards a quorum.
    pub learners: BTreeSet<ReplicaId>,
}

impl Membership {
    /// Returns the number of voters in a quorum.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns whether the replica is a voter or a learner.
    pub fn contains(&self, replica: ReplicaId) -> bool {
        self.voters.contains(&replica) || self.learners.contains(&replica)
    }
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The index in the log; the first entry has index 1.
    pub index: u64,
    /// The term of the leader that created the entry.
    pub term: u64,
    /// The contents of the entry.
    pub payload: EntryPayload,
}

/// The contents of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// The first entry of a new leader. The state machine ignores it.
    Empty,
    /// A command for the state machine.
    Command(Vec<u8>),
    /// The membership from this entry on. It takes effect as soon as the entry is appended.
    Membership(Membership),
}

/// The state that a replica must sync before it may reply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term seen.
    pub term: u64,
    /// The candidate voted for in that term.
    pub voted_for: Option<ReplicaId>,
}

/// The position of a state machine snapshot in the log, with the membership there.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotMetadata {
    /// Index of the last entry that is applied in the snapshot.
    pub index: u64,
    /// The term of that entry.
    pub term: u64,
    /// The membership at that entry.
    pub membership: Membership,
}

/// A snapshot of the state machine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The metadata of the snapshot.
    pub metadata: SnapshotMetadata,
    /// The state machine, in its own encoding.
    pub data: Vec<u8>,
}

/// The state that storage returns when a replica starts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistentState {
    /// The durable state.
    pub hard_state: HardState,
    /// The metadata of the latest snapshot; the default if there is none.
    pub snapshot: SnapshotMetadata,
    /// The entries after the snapshot, without gaps.
    pub entries: Vec<Entry>,
}

impl PersistentState {
    /// Returns the state with which every initial voter of a new group starts: one entry with the
    /// membership.
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
