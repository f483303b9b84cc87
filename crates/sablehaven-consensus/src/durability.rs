//! Creates readies and handles the completion of their writes.

use crate::{HardState, Ready, Replica, SnapshotMetadata, replica::RoleState};

impl Replica {
    /// Returns the work that is due; see [`Ready`] for the order in which to do it. Call this after
    /// every input.
    pub fn take_ready(&mut self) -> Ready {
        if self.fault.is_some() {
            return self.faulted_ready();
        }
        self.start_read_round();
        self.replicate();
        self.continue_transfer();
        self.ready_count += 1;
        let number = self.ready_count;
        let hard_state = self.take_hard_state(number);
        let snapshot = self.snapshot_to_install.take();
        let entries = self.log.take_unsaved();
        let mut ready = Ready {
            number,
            messages_before_sync: self.outbox.take_before_sync(),
            hard_state,
            snapshot,
            entries,
            messages_after_sync: self.outbox.take_after_sync(),
            committed: Vec::new(),
            reads: std::mem::take(&mut self.finished_reads),
            refused_reads: std::mem::take(&mut self.refused_reads),
            needs_snapshot: self.needs_snapshot(),
            fault: None,
        };
        if ready.must_sync() {
            self.log.record_write(number);
        }
        ready.committed = self.log.take_committed(self.config.max_committed_bytes);
        ready
    }

    /// Returns a ready that contains only the fault. All other pending work is withheld because it
    /// may depend on the broken invariant.
    fn faulted_ready(&mut self) -> Ready {
        self.ready_count += 1;
        Ready {
            number: self.ready_count,
            fault: self.fault,
            ..Ready::default()
        }
    }

    /// Returns whether committed entries remain that did not fit in the last ready. If so, take
    /// another ready.
    pub fn has_committed(&self) -> bool {
        self.log.has_committed()
    }

    fn take_hard_state(&mut self, number: u64) -> Option<HardState> {
        if self.hard_state == self.saved_hard_state {
            return None;
        }
        self.saved_hard_state = self.hard_state;
        if let RoleState::Candidate(tally) = &mut self.role {
            tally.own_vote_ready.get_or_insert(number);
        }
        Some(self.hard_state)
    }

    fn needs_snapshot(&self) -> bool {
        match &self.role {
            RoleState::Leader(leader_state) => leader_state.needs_snapshot(),
            _ => false,
        }
    }

    /// Records that the writes of every ready up to `number` are synced. Only then does this
    /// replica count its own vote and its own copies of entries towards a quorum.
    pub fn persisted(&mut self, number: u64) {
        if self.fault.is_some() {
            return;
        }
        self.log.persisted(number);
        self.count_own_vote(number);
        self.advance_commit();
    }

    /// Returns the metadata of a state machine snapshot in which all entries up to `index` are
    /// applied. Returns `None` unless the entry at `index` was delivered and is still held.
    pub fn snapshot_metadata(&self, index: u64) -> Option<SnapshotMetadata> {
        if index > self.log.delivered_index() {
            return None;
        }
        Some(SnapshotMetadata {
            index,
            term: self.log.term_at(index)?,
            membership: self.memberships.at(index).clone(),
        })
    }

    /// Records that a snapshot is synced, and drops the entries before it from memory, except for
    /// the last [`crate::Config::retained_entries`].
    pub fn compacted(&mut self, metadata: &SnapshotMetadata) {
        let retained = self.config.retained_entries;
        let index = metadata.index.saturating_sub(retained);
        let needed = self.snapshot_in_transfer().unwrap_or(index);
        self.log.compact(index.min(needed));
        self.memberships.compact(self.log.base().index);
    }
}
