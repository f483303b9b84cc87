//! The state that a replica reports.

use std::collections::BTreeMap;

use crate::{Fault, Membership, ReplicaId};

/// The role of a replica in its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or waits for one. Learners stay in this role.
    Follower,
    /// Asks whether it would win an election, without raising its term.
    PreCandidate,
    /// Requests votes.
    Candidate,
    /// Leads the term.
    Leader,
}

/// The way in which a leader replicates to one peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicationState {
    /// Searches for the last entry that both logs share, one message at a time.
    Probe,
    /// Sends entries without waiting for earlier acknowledgements.
    Replicate,
    /// Sends a snapshot.
    Snapshot,
}

/// The state of a peer, as known to the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerStatus {
    /// Index of the last entry that the peer has acknowledged.
    pub match_index: u64,
    /// Index of the next entry to send.
    pub next_index: u64,
    /// The way in which the leader replicates to the peer.
    pub state: ReplicationState,
    /// Whether the peer responded within the last election timeout.
    pub active: bool,
}

/// The state of a replica at one point in time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// The identifier of the replica.
    pub id: ReplicaId,
    /// The role of the replica.
    pub role: Role,
    /// The latest term that the replica has seen.
    pub term: u64,
    /// The leader, if known.
    pub leader: Option<ReplicaId>,
    /// Ticks since the last message from another replica that led, or since the start of this one.
    pub leader_silent_ticks: u32,
    /// Index of the last entry known to be committed.
    pub commit: u64,
    /// Index of the last entry delivered in [`crate::Ready::committed`].
    pub delivered_index: u64,
    /// Index of the last entry of the log.
    pub last_index: u64,
    /// Index of the first entry held in memory.
    pub first_index: u64,
    /// The membership in effect.
    pub membership: Membership,
    /// Index of the entry with the membership in effect, or of the snapshot from which that
    /// membership was restored; 0 if there is neither.
    pub membership_index: u64,
    /// The peers; empty unless this replica is the leader.
    pub peers: BTreeMap<ReplicaId, PeerStatus>,
    /// The target of a leadership transfer in progress.
    pub transfer: Option<ReplicaId>,
    /// The broken invariant that stopped the replica.
    pub fault: Option<Fault>,
}
