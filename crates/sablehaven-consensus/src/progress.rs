//! The replication progress of one peer, as tracked by the leader.

use std::collections::VecDeque;

use crate::{PeerStatus, ReplicationState};

/// An append message that is not acknowledged yet.
#[derive(Clone, Copy, Debug)]
struct InflightAppend {
    last_index: u64,
    bytes: u64,
}

/// The progress of a snapshot transfer to one peer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct SnapshotProgress {
    /// Number of the transfer; 0 before the first chunk is sent.
    pub(crate) transfer: u64,
    /// Bytes that the peer has received.
    pub(crate) offset: u64,
    /// Whether a chunk is not acknowledged yet.
    pub(crate) is_awaiting_reply: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ProgressState {
    /// One append is sent at a time, until the last entry that both logs share is found.
    Probe { is_awaiting_reply: bool },
    /// Appends are sent without waiting for the acknowledgement of earlier ones.
    Replicate,
    /// The entries that the peer needs are compacted, so it receives a snapshot.
    Snapshot(SnapshotProgress),
}

/// Limits on the unacknowledged appends to one peer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InflightLimits {
    pub(crate) appends: usize,
    pub(crate) bytes: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct Progress {
    pub(crate) match_index: u64,
    pub(crate) next_index: u64,
    pub(crate) state: ProgressState,
    /// The latest read index round that the peer confirmed.
    pub(crate) confirmed_round: u64,
    /// Ticks since the peer's last reply.
    pub(crate) silent_ticks: u32,
    inflight: VecDeque<InflightAppend>,
    inflight_bytes: u64,
    /// Ticks without an acknowledgement while a message is in flight.
    unanswered_ticks: u32,
}

impl Progress {
    pub(crate) fn new(last_index: u64) -> Self {
        Self {
            match_index: 0,
            next_index: last_index + 1,
            state: ProgressState::Probe {
                is_awaiting_reply: false,
            },
            confirmed_round: 0,
            silent_ticks: 0,
            inflight: VecDeque::new(),
            inflight_bytes: 0,
            unanswered_ticks: 0,
        }
    }

    pub(crate) fn status(&self, election_timeout_ticks: u32) -> PeerStatus {
        PeerStatus {
            match_index: self.match_index,
            next_index: self.next_index,
            state: match self.state {
                ProgressState::Probe { .. } => ReplicationState::Probe,
                ProgressState::Replicate => ReplicationState::Replicate,
                ProgressState::Snapshot(_) => ReplicationState::Snapshot,
            },
            active: self.is_active(election_timeout_ticks),
        }
    }

    pub(crate) fn is_active(&self, election_timeout_ticks: u32) -> bool {
        self.silent_ticks < election_timeout_ticks
    }

    /// Returns whether another append may be sent now.
    pub(crate) fn can_append(&self, limits: InflightLimits) -> bool {
        match self.state {
            ProgressState::Probe { is_awaiting_reply } => !is_awaiting_reply,
            ProgressState::Replicate => {
                let has_room = self.inflight_bytes < limits.bytes;
                self.inflight.is_empty() || (has_room && self.inflight.len() < limits.appends)
            }
            ProgressState::Snapshot(_) => false,
        }
    }

    /// Records that an append up to `last_index` was sent.
    pub(crate) fn append_sent(&mut self, last_index: u64, bytes: u64) {
        match &mut self.state {
            ProgressState::Probe { is_awaiting_reply } => *is_awaiting_reply = true,
            ProgressState::Replicate => {
                self.next_index = last_index + 1;
                self.inflight_bytes += bytes;
                self.inflight
                    .push_back(InflightAppend { last_index, bytes });
            }
            ProgressState::Snapshot(_) => {}
        }
    }

    /// Records that the peer has all entries up to `index`.
    pub(crate) fn acknowledged(&mut self, index: u64, base_index: u64) {
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(self.match_index + 1);
        self.unanswered_ticks = 0;
        while let Some(append) = self.inflight.front()
            && append.last_index <= index
        {
            self.inflight_bytes -= append.bytes;
            self.inflight.pop_front();
        }
        match self.state {
            ProgressState::Replicate => {}
            ProgressState::Snapshot(_) if self.match_index < base_index => {}
            ProgressState::Probe { .. } | ProgressState::Snapshot(_) => self.become_replicate(),
        }
    }

    fn become_replicate(&mut self) {
        self.clear_inflight();
        self.state = ProgressState::Replicate;
        self.next_index = self.match_index + 1;
    }

    /// Returns to sending one append at a time, from `next_index` on.
    pub(crate) fn become_probe(&mut self, next_index: u64) {
        self.clear_inflight();
        self.state = ProgressState::Probe {
            is_awaiting_reply: false,
        };
        self.next_index = next_index.max(self.match_index + 1);
    }

    pub(crate) fn become_snapshot(&mut self) {
        self.clear_inflight();
        self.state = ProgressState::Snapshot(SnapshotProgress::default());
    }

    fn clear_inflight(&mut self) {
        self.inflight.clear();
        self.inflight_bytes = 0;
        self.unanswered_ticks = 0;
    }

    fn is_awaiting_reply(&self) -> bool {
        match self.state {
            ProgressState::Probe { is_awaiting_reply } => is_awaiting_reply,
            ProgressState::Snapshot(snapshot) => snapshot.is_awaiting_reply,
            ProgressState::Replicate => !self.inflight.is_empty(),
        }
    }

    pub(crate) fn tick(&mut self) {
        self.silent_ticks = self.silent_ticks.saturating_add(1);
        if self.is_awaiting_reply() {
            self.unanswered_ticks = self.unanswered_ticks.saturating_add(1);
        }
    }

    /// Records a heartbeat reply. The peer is reachable, so messages that were unanswered for
    /// `resend_ticks` are assumed lost and are sent again.
    pub(crate) fn heartbeat_acknowledged(&mut self, resend_ticks: u32) {
        self.silent_ticks = 0;
        if self.unanswered_ticks < resend_ticks {
            return;
        }
        self.unanswered_ticks = 0;
        match &mut self.state {
            ProgressState::Probe { is_awaiting_reply } => *is_awaiting_reply = false,
            ProgressState::Snapshot(snapshot) => snapshot.is_awaiting_reply = false,
            ProgressState::Replicate => self.become_probe(self.match_index + 1),
        }
    }

    /// Records that the peer has `received` bytes of the snapshot.
    pub(crate) fn chunk_acknowledged(&mut self, transfer: u64, received: u64) {
        if let ProgressState::Snapshot(snapshot) = &mut self.state
            && snapshot.transfer == transfer
        {
            snapshot.offset = received;
            snapshot.is_awaiting_reply = false;
            self.unanswered_ticks = 0;
        }
    }
}
