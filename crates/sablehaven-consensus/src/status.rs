//! What a replica reports about itself.

use std::collections::BTreeMap;

use crate::{Fault, Membership, ReplicaId};

/// The part that a replica plays in its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or waits for one; learners stay in this role.
    Follower,
    /// Asks whether it would get the votes, without raising its term.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Leads the term.
    Leader,
}

/// How a leader replicates to one peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicationState {
    /// Looks for the last entry that both logs share, one message at a time.
    Probe,
    /// Sends entries as they come.
    Replicate,
    /// Sends a snapshot.
    Snapshot,
}

/// A peer as the leader sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerStatus {
    /// The last entry that the peer has acknowledged.
    pub match_index: u64,
    /// The next entry to be sent.
    pub next_index: u64,
    /// How the leader replicates to it.
    pub state: ReplicationState,
    /// Whether it answered within the last election timeout.
    pub active: bool,
}

/// A replica's state at one moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// The replica.
    pub id: ReplicaId,
    /// Its role.
    pub role: Role,
    /// Its term.
    pub term: u64,
    /// The leader, where known.
    pub leader: Option<ReplicaId>,
    /// Ticks since a message of another replica that led, or since this one's start.
    pub leader_silent_ticks: u32,
    /// The last entry that is known to be committed.
    pub commit: u64,
    /// The last entry handed out in [`crate::Ready::committed`].
    pub delivered_index: u64,
    /// The last entry of the log.
    pub last_index: u64,
    /// The first entry held in memory.
    pub first_index: u64,
    /// The members in force.
    pub membership: Membership,
    /// Where the members in force stand in the log; 0 where they come from no entry.
    pub membership_index: u64,
    /// The peers, on a leader only.
    pub peers: BTreeMap<ReplicaId, PeerStatus>,
    /// The target of a transfer of leadership under way.
    pub transfer: Option<ReplicaId>,
    /// The broken invariant that stopped the replica.
    pub fault: Option<Fault>,
}
