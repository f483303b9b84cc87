//! Snapshot transfer to followers that lag too far behind, in chunks, so that it can be resumed.

use crate::{
    Message, Position, Replica, ReplicaId, Snapshot, SnapshotChunk, SnapshotMetadata,
    membership_history::MembershipHistory,
    progress::{Progress, ProgressState, SnapshotProgress},
    replica::RoleState,
};

/// The snapshot that a leader sends.
#[derive(Clone, Debug)]
pub(crate) struct OutgoingSnapshot {
    transfer: u64,
    snapshot: Snapshot,
}

/// The part of a snapshot that a follower has received.
#[derive(Clone, Debug)]
pub(crate) struct IncomingSnapshot {
    from: ReplicaId,
    term: u64,
    transfer: u64,
    data: Vec<u8>,
}

impl IncomingSnapshot {
    fn is_same_transfer(&self, from: ReplicaId, chunk: &SnapshotChunk) -> bool {
        self.from == from && self.term == chunk.term && self.transfer == chunk.transfer
    }

    /// Appends the part of a chunk that follows the received data. Late and repeated chunks have no
    /// such part.
    fn append_chunk(&mut self, chunk: &SnapshotChunk) {
        let length = self.data.len() as u64;
        let Some(already_received) = length.checked_sub(chunk.offset) else {
            return;
        };
        let new_data = chunk.data.get(already_received as usize..);
        self.data.extend_from_slice(new_data.unwrap_or_default());
    }
}

impl Replica {
    /// Provides the snapshot that [`crate::Ready::needs_snapshot`] asks for. It is ignored if none
    /// is needed, or if the log no longer holds the entries that follow it.
    pub fn provide_snapshot(&mut self, snapshot: Snapshot) {
        let base_index = self.log.base().index;
        let RoleState::Leader(leader_state) = &mut self.role else {
            return;
        };
        if snapshot.metadata.index < base_index || !leader_state.needs_snapshot() {
            return;
        }
        leader_state.snapshot_count += 1;
        leader_state.outgoing_snapshot = Some(OutgoingSnapshot {
            transfer: leader_state.snapshot_count,
            snapshot,
        });
    }

    /// Returns the index of the snapshot that an active peer is receiving. The log must keep the
    /// entries that follow it. Otherwise, frequent snapshots would make a long transfer restart
    /// again and again.
    pub(crate) fn snapshot_in_transfer(&self) -> Option<u64> {
        let timeout = self.config.election_timeout_ticks;
        let RoleState::Leader(leader_state) = &self.role else {
            return None;
        };
        let is_receiving = |progress: &Progress| {
            matches!(progress.state, ProgressState::Snapshot(_)) && progress.is_active(timeout)
        };
        let outgoing = leader_state.outgoing_snapshot.as_ref()?;
        let is_in_transfer = leader_state.peers.values().any(is_receiving);
        is_in_transfer.then_some(outgoing.snapshot.metadata.index)
    }

    pub(crate) fn start_snapshot(&mut self, peer: ReplicaId) {
        if let Some(progress) = self.progress_mut(peer) {
            progress.become_snapshot();
        }
    }

    /// Drops the outgoing snapshot if no peer receives it, or if the log no longer holds the
    /// entries that follow it.
    pub(crate) fn drop_unused_snapshot(&mut self) {
        let base_index = self.log.base().index;
        let RoleState::Leader(leader_state) = &mut self.role else {
            return;
        };
        let is_receiving =
            |progress: &Progress| matches!(progress.state, ProgressState::Snapshot(_));
        let is_needed = leader_state.peers.values().any(is_receiving);
        let is_usable = leader_state
            .outgoing_snapshot
            .as_ref()
            .is_some_and(|outgoing| outgoing.snapshot.metadata.index >= base_index);
        if !is_needed || !is_usable {
            leader_state.outgoing_snapshot = None;
        }
    }

    /// Sends the next chunk, unless one is not acknowledged yet.
    pub(crate) fn send_chunk(&mut self, peer: ReplicaId) {
        let RoleState::Leader(leader_state) = &mut self.role else {
            return;
        };
        let (Some(progress), Some(outgoing)) = (
            leader_state.peers.get_mut(&peer),
            &leader_state.outgoing_snapshot,
        ) else {
            return;
        };
        let ProgressState::Snapshot(chunk_progress) = &mut progress.state else {
            return;
        };
        if chunk_progress.transfer != outgoing.transfer {
            *chunk_progress = SnapshotProgress {
                transfer: outgoing.transfer,
                ..SnapshotProgress::default()
            };
        }
        if chunk_progress.is_awaiting_reply {
            return;
        }
        chunk_progress.is_awaiting_reply = true;
        let data = &outgoing.snapshot.data;
        let total_bytes = data.len() as u64;
        let start = chunk_progress.offset.min(total_bytes);
        let end = total_bytes.min(start + self.config.snapshot_chunk_bytes);
        let chunk = SnapshotChunk {
            term: self.hard_state.term,
            transfer: outgoing.transfer,
            metadata: outgoing.snapshot.metadata.clone(),
            total_bytes,
            offset: start,
            data: data[start as usize..end as usize].to_vec(),
        };
        let message = Message::SnapshotChunk(chunk);
        self.outbox.send_before_sync(peer, message);
    }

    pub(crate) fn receive_chunk(&mut self, from: ReplicaId, chunk: SnapshotChunk) {
        let position = Position {
            index: chunk.metadata.index,
            term: chunk.metadata.term,
        };
        if self.log.contains(position) {
            self.log.commit_to(position.index);
        }
        if position.index <= self.log.commit() {
            self.acknowledge(from, self.log.commit());
            return;
        }
        let mut incoming = self.resume_incoming(from, &chunk);
        incoming.append_chunk(&chunk);
        if incoming.data.len() as u64 >= chunk.total_bytes {
            self.install(chunk.metadata, incoming.data);
            self.acknowledge(from, position.index);
            return;
        }
        let reply = Message::SnapshotChunkReply {
            term: self.hard_state.term,
            transfer: chunk.transfer,
            received: incoming.data.len() as u64,
        };
        self.incoming_snapshot = Some(incoming);
        self.outbox.send_after_sync(from, reply);
    }

    /// Returns the part of this snapshot that was already received. Bytes of another leader's
    /// snapshot do not count, even at the same index, because two replicas may encode equal states
    /// differently.
    fn resume_incoming(&mut self, from: ReplicaId, chunk: &SnapshotChunk) -> IncomingSnapshot {
        let previous = self.incoming_snapshot.take();
        let matching = previous.filter(|incoming| incoming.is_same_transfer(from, chunk));
        matching.unwrap_or(IncomingSnapshot {
            from,
            term: chunk.term,
            transfer: chunk.transfer,
            data: Vec::new(),
        })
    }

    fn acknowledge(&mut self, leader: ReplicaId, index: u64) {
        let reply = Message::AppendReply {
            term: self.hard_state.term,
            result: crate::AppendResult::Matched { index },
        };
        self.outbox.send_after_sync(leader, reply);
    }

    /// Replaces the log and the membership. The next ready contains the snapshot.
    fn install(&mut self, metadata: SnapshotMetadata, data: Vec<u8>) {
        self.log.reset(Position {
            index: metadata.index,
            term: metadata.term,
        });
        self.memberships = MembershipHistory::new(metadata.index, metadata.membership.clone());
        self.incoming_snapshot = None;
        self.snapshot_to_install = Some(Snapshot { metadata, data });
    }

    pub(crate) fn receive_chunk_reply(&mut self, from: ReplicaId, transfer: u64, received: u64) {
        if let Some(progress) = self.progress_mut(from) {
            progress.silent_ticks = 0;
            progress.chunk_acknowledged(transfer, received);
        }
    }
}
