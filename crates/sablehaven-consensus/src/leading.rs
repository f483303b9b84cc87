//! The state that only a leader keeps: the progress of its peers, pending reads and transfers.

use std::collections::BTreeMap;

use crate::{
    ReplicaId,
    progress::{Progress, ProgressState},
    read_index::ReadQueue,
    snapshot_transfer::OutgoingSnapshot,
};

/// A leadership transfer in progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeadershipTransfer {
    pub(crate) to: ReplicaId,
    pub(crate) elapsed_ticks: u32,
    /// Whether the target was asked to start an election.
    pub(crate) timeout_now_sent: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct LeaderState {
    /// Index of the first entry of this leader's term.
    pub(crate) term_start: u64,
    pub(crate) peers: BTreeMap<ReplicaId, Progress>,
    pub(crate) reads: ReadQueue,
    pub(crate) transfer: Option<LeadershipTransfer>,
    pub(crate) outgoing_snapshot: Option<OutgoingSnapshot>,
    /// Number of snapshots provided in this term.
    pub(crate) snapshot_count: u64,
    pub(crate) heartbeat_elapsed_ticks: u32,
}

impl LeaderState {
    pub(crate) fn new(term_start: u64, peers: Vec<ReplicaId>, last_index: u64) -> Self {
        let progress = |peer| (peer, Progress::new(last_index));
        Self {
            term_start,
            peers: peers.into_iter().map(progress).collect(),
            reads: ReadQueue::default(),
            transfer: None,
            outgoing_snapshot: None,
            snapshot_count: 0,
            heartbeat_elapsed_ticks: 0,
        }
    }

    /// Updates the set of peers. Those that remain keep their progress.
    pub(crate) fn set_peers(&mut self, peers: &[ReplicaId], last_index: u64) {
        self.peers.retain(|peer, _| peers.contains(peer));
        for peer in peers {
            let new = || Progress::new(last_index);
            self.peers.entry(*peer).or_insert_with(new);
        }
    }

    pub(crate) fn needs_snapshot(&self) -> bool {
        let is_in_snapshot =
            |progress: &Progress| matches!(progress.state, ProgressState::Snapshot(_));
        self.outgoing_snapshot.is_none() && self.peers.values().any(is_in_snapshot)
    }
}
