//! Log replication: the leader's appends, the followers' replies and the commit index.

use crate::{
    AppendResult, Entry, EntryPayload, Fault, Message, NotLeader, Position, Replica, ReplicaId,
    broken::BrokenVariant,
    log::{CommittedConflict, entry_bytes},
    progress::{InflightLimits, Progress, ProgressState},
    replica::RoleState,
};

impl Replica {
    /// Appends commands and returns the position of the last one. A command is committed if an
    /// entry with its index and term appears in [`crate::Ready::committed`]. If another entry
    /// appears at its index, it is lost.
    pub fn propose(&mut self, commands: Vec<Vec<u8>>) -> Result<Position, NotLeader> {
        match &self.role {
            RoleState::Leader(leader_state) if leader_state.transfer.is_none() => {}
            RoleState::Leader(_) => return Err(NotLeader { leader: None }),
            _ => return Err(self.not_leader()),
        }
        for command in commands {
            self.append_as_leader(EntryPayload::Command(command));
        }
        Ok(self.log.last())
    }

    pub(crate) fn append_as_leader(&mut self, payload: EntryPayload) -> Position {
        let entry = Entry {
            index: self.log.last().index + 1,
            term: self.hard_state.term,
            payload,
        };
        self.memberships.record_entry(&entry);
        self.log.append(entry);
        self.log.last()
    }

    /// Sends each peer the messages that are due. Called once per ready, so that all commands
    /// proposed since the last ready share a message.
    pub(crate) fn replicate(&mut self) {
        let RoleState::Leader(leader_state) = &self.role else {
            return;
        };
        let peers: Vec<ReplicaId> = leader_state.peers.keys().copied().collect();
        for peer in peers {
            while self.send_append(peer) {}
            self.send_chunk(peer);
        }
        self.drop_unused_snapshot();
    }

    /// Sends one append if one is due, and returns whether another one may follow.
    fn send_append(&mut self, peer: ReplicaId) -> bool {
        let limits = InflightLimits {
            appends: self.config.max_inflight_appends,
            bytes: self.config.max_inflight_bytes,
        };
        let last_index = self.log.last().index;
        let Some(progress) = self.progress_mut(peer) else {
            return false;
        };
        let is_probe = matches!(progress.state, ProgressState::Probe { .. });
        let is_complete = match is_probe {
            true => progress.match_index == last_index,
            false => progress.next_index > last_index,
        };
        if is_complete || !progress.can_append(limits) {
            return false;
        }
        let next_index = progress.next_index;
        let previous_index = next_index - 1;
        let Some(previous_term) = self.log.term_at(previous_index) else {
            self.start_snapshot(peer);
            return false;
        };
        let previous = Position {
            index: previous_index,
            term: previous_term,
        };
        let max_bytes = self.config.max_append_bytes;
        let entries = self.log.slice(next_index, last_index, max_bytes);
        let bytes = entries.iter().map(entry_bytes).sum();
        let sent_index = entries.last().map_or(previous_index, |entry| entry.index);
        if let Some(progress) = self.progress_mut(peer) {
            progress.append_sent(sent_index, bytes);
        }
        let message = Message::Append {
            term: self.hard_state.term,
            previous,
            entries,
            commit: self.log.commit(),
        };
        self.outbox.send_before_sync(peer, message);
        !is_probe
    }

    pub(crate) fn receive_append(
        &mut self,
        from: ReplicaId,
        previous: Position,
        entries: Vec<Entry>,
        commit: u64,
    ) {
        let term = self.hard_state.term;
        match self.try_append(previous, entries, commit) {
            Ok(result) => {
                let reply = Message::AppendReply { term, result };
                self.outbox.send_after_sync(from, reply);
            }
            Err(CommittedConflict { index }) => {
                let leader = from;
                self.fault = Some(Fault::CommittedConflict {
                    leader,
                    term,
                    index,
                });
            }
        }
    }

    fn try_append(
        &mut self,
        previous: Position,
        entries: Vec<Entry>,
        commit: u64,
    ) -> Result<AppendResult, CommittedConflict> {
        let index = previous.index;
        if index < self.log.base().index {
            return self.skip_compacted(entries, commit);
        }
        if self.log.contains(previous) {
            return self.append_as_follower(index, entries, commit);
        }
        if index <= self.log.commit() {
            return Err(CommittedConflict { index });
        }
        Ok(self.mismatch(previous))
    }

    /// Skips the entries that are compacted here. They are committed, and therefore equal in both
    /// logs.
    fn skip_compacted(
        &mut self,
        entries: Vec<Entry>,
        commit: u64,
    ) -> Result<AppendResult, CommittedConflict> {
        let base = self.log.base().index;
        let rest = entries
            .into_iter()
            .filter(|entry| entry.index > base)
            .collect();
        self.append_as_follower(base, rest, commit)
    }

    /// Rejects an append. The hint is the last position that may be shared with the leader; if it
    /// is compacted, the hint is the base, which is committed and therefore shared.
    fn mismatch(&self, previous: Position) -> AppendResult {
        let hint = self.log.last_possible_match(previous);
        AppendResult::Mismatch {
            rejected: previous.index,
            hint: hint.unwrap_or(self.log.base()),
        }
    }

    fn append_as_follower(
        &mut self,
        previous_index: u64,
        mut entries: Vec<Entry>,
        commit: u64,
    ) -> Result<AppendResult, CommittedConflict> {
        let matched_index = entries.last().map_or(previous_index, |entry| entry.index);
        if let Some(offset) = self.log.first_new_entry(&entries)? {
            self.replace_tail(entries.split_off(offset));
        }
        // After `matched_index`, this log may differ from the leader's.
        self.log.commit_to(commit.min(matched_index));
        Ok(AppendResult::Matched {
            index: matched_index,
        })
    }

    fn replace_tail(&mut self, entries: Vec<Entry>) {
        let Some(first) = entries.first() else {
            return;
        };
        if first.index <= self.log.last().index {
            self.log.truncate(first.index);
            self.memberships.truncate(first.index);
        }
        for entry in entries {
            self.memberships.record_entry(&entry);
            self.log.append(entry);
        }
    }

    pub(crate) fn receive_append_reply(&mut self, from: ReplicaId, result: AppendResult) {
        let last_index = self.log.last().index;
        let base_index = self.log.base().index;
        let Some(progress) = self.progress_mut(from) else {
            return;
        };
        progress.silent_ticks = 0;
        match result {
            AppendResult::Matched { index } if index <= last_index => {
                progress.acknowledged(index, base_index);
                self.advance_commit();
            }
            AppendResult::Matched { .. } => {}
            AppendResult::Mismatch { rejected, hint } => {
                self.receive_mismatch(from, rejected, hint)
            }
        }
    }

    /// Handles the rejection of an append whose previous entry the peer lacks: goes back to the
    /// last position that both logs may share.
    fn receive_mismatch(&mut self, peer: ReplicaId, rejected: u64, hint: Position) {
        let candidate = self.log.last_possible_match(hint);
        // If the position is compacted, index 0 leads to a snapshot, because the log holds nothing
        // before its base.
        let shared_index = candidate.map_or(0, |position| position.index);
        let Some(progress) = self.progress_mut(peer) else {
            return;
        };
        let is_stale = rejected <= progress.match_index;
        match progress.state {
            _ if is_stale => {}
            ProgressState::Replicate => progress.become_probe(progress.match_index + 1),
            ProgressState::Probe { .. } if rejected + 1 == progress.next_index => {
                progress.become_probe(rejected.min(shared_index + 1));
            }
            ProgressState::Probe { .. } | ProgressState::Snapshot(_) => {}
        }
    }

    /// Commits the entries that a quorum has synced. Entries of earlier terms are committed only
    /// through a later entry of the current term, because a later leader could still replace them
    /// (Raft paper, section 5.4.2).
    pub(crate) fn advance_commit(&mut self) {
        let RoleState::Leader(_) = &self.role else {
            return;
        };
        let include_learners = self.rules.is_broken(BrokenVariant::LearnerCountsAsVoter);
        let own_index = self.log.stable();
        let index = self.quorum_value(own_index, |progress| progress.match_index, include_learners);
        let is_own_term = self.log.term_at(index) == Some(self.hard_state.term);
        let is_older_term_allowed = self.rules.is_broken(BrokenVariant::CommitOlderTermByCount);
        if (is_own_term || is_older_term_allowed) && self.log.commit_to(index) {
            self.step_down_if_removed();
        }
    }

    /// Returns the largest value that a quorum of the voters has reached. The leader's own value
    /// counts only while it is a voter.
    pub(crate) fn quorum_value(
        &self,
        own_value: u64,
        value: impl Fn(&Progress) -> u64,
        include_learners: bool,
    ) -> u64 {
        let RoleState::Leader(leader_state) = &self.role else {
            return 0;
        };
        let membership = self.memberships.current();
        let value_of = |replica: &ReplicaId| match leader_state.peers.get(replica) {
            _ if *replica == self.id => own_value,
            Some(progress) => value(progress),
            None => 0,
        };
        let mut values: Vec<u64> = membership.voters.iter().map(value_of).collect();
        if include_learners {
            values.extend(membership.learners.iter().map(value_of));
        }
        values.sort_unstable_by(|left, right| right.cmp(left));
        let position = membership.quorum() - 1;
        values.get(position).copied().unwrap_or(0)
    }
}
