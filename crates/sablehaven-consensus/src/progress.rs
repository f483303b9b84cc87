//! How far a leader has replicated its log to one peer.

use std::collections::VecDeque;

use crate::{PeerStatus, ReplicationState};

/// An append message that is not acknowledged yet.
#[derive(Clone, Copy, Debug)]
struct InflightAppend {
    last_index: u64,
    bytes: u64,
}

/// Where the transfer of a snapshot to one peer stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct SnapshotProgress {
    /// The snapshot; 0 before there is one.
    pub(crate) transfer: u64,
    /// Bytes that the peer has.
    pub(crate) offset: u64,
    /// Whether a chunk is under way.
    pub(crate) is_waiting: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Replicating {
    /// One append at a time, until the logs' last shared entry is found.
    Probe { is_waiting: bool },
    /// Appends are sent without waiting for the acknowledgement of earlier ones.
    Pipeline,
    /// The entries that the peer needs are compacted.
    Snapshot(SnapshotProgress),
}

/// Limits on what may be on its way to one peer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InflightLimits {
    pub(crate) appends: usize,
    pub(crate) bytes: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct Progress {
    pub(crate) match_index: u64,
    pub(crate) next_index: u64,
    pub(crate) state: Replicating,
    /// The latest round of the read index that the peer confirmed.
    pub(crate) confirmed_round: u64,
    /// Ticks since the peer's last answer.
    pub(crate) silent_ticks: u32,
    inflight: VecDeque<InflightAppend>,
    inflight_bytes: u64,
    /// Ticks for which something has been under way and nothing was answered.
    waiting_ticks: u32,
}

impl Progress {
    pub(crate) fn new(last_index: u64) -> Self {
        Self {
            match_index: 0,
            next_index: last_index + 1,
            state: Replicating::Probe { is_waiting: false },
            confirmed_round: 0,
            silent_ticks: 0,
            inflight: VecDeque::new(),
            inflight_bytes: 0,
            waiting_ticks: 0,
        }
    }

    pub(crate) fn status(&self, election_timeout_ticks: u32) -> PeerStatus {
        PeerStatus {
            match_index: self.match_index,
            next_index: self.next_index,
            state: match self.state {
                Replicating::Probe { .. } => ReplicationState::Probe,
                Replicating::Pipeline => ReplicationState::Replicate,
                Replicating::Snapshot(_) => ReplicationState::Snapshot,
            },
            active: self.is_active(election_timeout_ticks),
        }
    }

    pub(crate) fn is_active(&self, election_timeout_ticks: u32) -> bool {
        self.silent_ticks < election_timeout_ticks
    }

    /// Whether one more append may be sent now.
    pub(crate) fn may_append(&self, limits: InflightLimits) -> bool {
        match self.state {
            Replicating::Probe { is_waiting } => !is_waiting,
            Replicating::Pipeline => {
                let has_room = self.inflight_bytes < limits.bytes;
                self.inflight.is_empty() || (has_room && self.inflight.len() < limits.appends)
            }
            Replicating::Snapshot(_) => false,
        }
    }

    /// An append that ends at `last_index` was sent.
    pub(crate) fn appended(&mut self, last_index: u64, bytes: u64) {
        match &mut self.state {
            Replicating::Probe { is_waiting } => *is_waiting = true,
            Replicating::Pipeline => {
                self.next_index = last_index + 1;
                self.inflight_bytes += bytes;
                self.inflight
                    .push_back(InflightAppend { last_index, bytes });
            }
            Replicating::Snapshot(_) => {}
        }
    }

    /// The peer has everything up to `index`.
    pub(crate) fn matched(&mut self, index: u64, base_index: u64) {
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(self.match_index + 1);
        self.waiting_ticks = 0;
        while let Some(append) = self.inflight.front()
            && append.last_index <= index
        {
            self.inflight_bytes -= append.bytes;
            self.inflight.pop_front();
        }
        match self.state {
            Replicating::Pipeline => {}
            Replicating::Snapshot(_) if self.match_index < base_index => {}
            Replicating::Probe { .. } | Replicating::Snapshot(_) => self.pipeline(),
        }
    }

    fn pipeline(&mut self) {
        self.clear_inflight();
        self.state = Replicating::Pipeline;
        self.next_index = self.match_index + 1;
    }

    /// Goes back to sending one append at a time, from `next_index` on.
    pub(crate) fn probe(&mut self, next_index: u64) {
        self.clear_inflight();
        self.state = Replicating::Probe { is_waiting: false };
        self.next_index = next_index.max(self.match_index + 1);
    }

    pub(crate) fn start_snapshot(&mut self) {
        self.clear_inflight();
        self.state = Replicating::Snapshot(SnapshotProgress::default());
    }

    fn clear_inflight(&mut self) {
        self.inflight.clear();
        self.inflight_bytes = 0;
        self.waiting_ticks = 0;
    }

    fn is_waiting(&self) -> bool {
        match self.state {
            Replicating::Probe { is_waiting } => is_waiting,
            Replicating::Snapshot(snapshot) => snapshot.is_waiting,
            Replicating::Pipeline => !self.inflight.is_empty(),
        }
    }

    pub(crate) fn tick(&mut self) {
        self.silent_ticks = self.silent_ticks.saturating_add(1);
        if self.is_waiting() {
            self.waiting_ticks = self.waiting_ticks.saturating_add(1);
        }
    }

    /// The peer is there, so what has been unanswered for `resend_ticks` was lost: it is sent again.
    pub(crate) fn heartbeat_answered(&mut self, resend_ticks: u32) {
        self.silent_ticks = 0;
        if self.waiting_ticks < resend_ticks {
            return;
        }
        self.waiting_ticks = 0;
        match &mut self.state {
            Replicating::Probe { is_waiting } => *is_waiting = false,
            Replicating::Snapshot(snapshot) => snapshot.is_waiting = false,
            Replicating::Pipeline => self.probe(self.match_index + 1),
        }
    }

    /// The peer has `received` bytes of the snapshot.
    pub(crate) fn chunk_answered(&mut self, transfer: u64, received: u64) {
        if let Replicating::Snapshot(snapshot) = &mut self.state
            && snapshot.transfer == transfer
        {
            snapshot.offset = received;
            snapshot.is_waiting = false;
            self.waiting_ticks = 0;
        }
    }
}
