//! Snapshots for followers that are too far behind, in chunks that can be resumed.

use crate::{
    Message, Position, Replica, ReplicaId, Snapshot, SnapshotChunk, SnapshotMetadata,
    membership_history::MembershipHistory,
    progress::{Progress, Replicating, SnapshotProgress},
    replica::RoleState,
};

/// The snapshot that a leader sends.
#[derive(Clone, Debug)]
pub(crate) struct OutgoingSnapshot {
    transfer: u64,
    snapshot: Snapshot,
}

/// The part of a snapshot that a follower has.
#[derive(Clone, Debug)]
pub(crate) struct IncomingSnapshot {
    from: ReplicaId,
    term: u64,
    transfer: u64,
    data: Vec<u8>,
}

impl IncomingSnapshot {
    fn is_of(&self, from: ReplicaId, chunk: &SnapshotChunk) -> bool {
        self.from == from && self.term == chunk.term && self.transfer == chunk.transfer
    }

    /// Takes the part of a chunk that follows what is there; late and repeated chunks have none.
    fn take(&mut self, chunk: &SnapshotChunk) {
        let length = self.data.len() as u64;
        let Some(known) = length.checked_sub(chunk.offset) else {
            return;
        };
        let new = chunk.data.get(known as usize..);
        self.data.extend_from_slice(new.unwrap_or_default());
    }
}

impl Replica {
    /// The snapshot that [`crate::Ready::needs_snapshot`] asks for. Ignored when none is needed, or
    /// when it ends before the first entry held, so that the log could not follow it.
    pub fn provide_snapshot(&mut self, snapshot: Snapshot) {
        let base_index = self.log.base().index;
        let RoleState::Leader(leading) = &mut self.role else {
            return;
        };
        if snapshot.metadata.index < base_index || !leading.needs_snapshot() {
            return;
        }
        leading.snapshot_count += 1;
        leading.outgoing_snapshot = Some(OutgoingSnapshot {
            transfer: leading.snapshot_count,
            snapshot,
        });
    }

    /// Where the snapshot stands that an answering peer receives. The log must go on to follow it:
    /// otherwise frequent snapshots would make a long transfer start again and again.
    pub(crate) fn snapshot_in_transfer(&self) -> Option<u64> {
        let timeout = self.config.election_timeout_ticks;
        let RoleState::Leader(leading) = &self.role else {
            return None;
        };
        let is_receiving = |progress: &Progress| {
            matches!(progress.state, Replicating::Snapshot(_)) && progress.is_active(timeout)
        };
        let outgoing = leading.outgoing_snapshot.as_ref()?;
        let is_in_transfer = leading.peers.values().any(is_receiving);
        is_in_transfer.then_some(outgoing.snapshot.metadata.index)
    }

    pub(crate) fn start_snapshot(&mut self, peer: ReplicaId) {
        if let Some(progress) = self.progress_mut(peer) {
            progress.start_snapshot();
        }
    }

    /// Frees the snapshot when nobody receives it, or when the log no longer follows it.
    pub(crate) fn drop_unused_snapshot(&mut self) {
        let base_index = self.log.base().index;
        let RoleState::Leader(leading) = &mut self.role else {
            return;
        };
        let is_receiving = |progress: &Progress| matches!(progress.state, Replicating::Snapshot(_));
        let is_wanted = leading.peers.values().any(is_receiving);
        let is_usable = leading
            .outgoing_snapshot
            .as_ref()
            .is_some_and(|outgoing| outgoing.snapshot.metadata.index >= base_index);
        if !is_wanted || !is_usable {
            leading.outgoing_snapshot = None;
        }
    }

    /// Sends the next chunk, unless one is under way.
    pub(crate) fn send_chunk(&mut self, peer: ReplicaId) {
        let RoleState::Leader(leading) = &mut self.role else {
            return;
        };
        let (Some(progress), Some(outgoing)) =
            (leading.peers.get_mut(&peer), &leading.outgoing_snapshot)
        else {
            return;
        };
        let Replicating::Snapshot(sending) = &mut progress.state else {
            return;
        };
        if sending.transfer != outgoing.transfer {
            *sending = SnapshotProgress {
                transfer: outgoing.transfer,
                ..SnapshotProgress::default()
            };
        }
        if sending.is_waiting {
            return;
        }
        sending.is_waiting = true;
        let data = &outgoing.snapshot.data;
        let total_bytes = data.len() as u64;
        let start = sending.offset.min(total_bytes);
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
        self.outbox.before_sync(peer, message);
    }

    pub(crate) fn receive_chunk(&mut self, from: ReplicaId, chunk: SnapshotChunk) {
        let place = Position {
            index: chunk.metadata.index,
            term: chunk.metadata.term,
        };
        if self.log.contains(place) {
            self.log.commit_to(place.index);
        }
        if place.index <= self.log.commit() {
            self.acknowledge(from, self.log.commit());
            return;
        }
        let mut incoming = self.resume(from, &chunk);
        incoming.take(&chunk);
        if incoming.data.len() as u64 >= chunk.total_bytes {
            self.install(chunk.metadata, incoming.data);
            self.acknowledge(from, place.index);
            return;
        }
        let reply = Message::SnapshotChunkReply {
            term: self.hard_state.term,
            transfer: chunk.transfer,
            received: incoming.data.len() as u64,
        };
        self.incoming_snapshot = Some(incoming);
        self.outbox.after_sync(from, reply);
    }

    /// What is there of this snapshot. Bytes of another leader's snapshot do not count, not even at
    /// the same index: two replicas may encode equal states differently.
    fn resume(&mut self, from: ReplicaId, chunk: &SnapshotChunk) -> IncomingSnapshot {
        let known = self.incoming_snapshot.take();
        let matching = known.filter(|incoming| incoming.is_of(from, chunk));
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
        self.outbox.after_sync(leader, reply);
    }

    /// Replaces log and members; the next ready carries the snapshot.
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
            progress.chunk_answered(transfer, received);
        }
    }
}
