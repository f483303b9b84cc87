//! Replication: the leader's appends, the followers' answers, and what is committed.

use crate::{
    AppendResult, Entry, EntryPayload, Fault, Message, NotLeader, Position, Replica, ReplicaId,
    broken::BrokenVariant,
    log::{CommittedConflict, entry_bytes},
    progress::{InflightLimits, Progress, Replicating},
    replica::RoleState,
};

impl Replica {
    /// Appends commands; answers where the last one stands. It is committed if an entry with this
    /// index and term comes out of [`crate::Ready::committed`]; if another one comes at this index,
    /// it is lost.
    pub fn propose(&mut self, commands: Vec<Vec<u8>>) -> Result<Position, NotLeader> {
        match &self.role {
            RoleState::Leader(leading) if leading.transfer.is_none() => {}
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
        self.memberships.appended(&entry);
        self.log.append(entry);
        self.log.last()
    }

    /// Sends each peer what it may get now. Called once a ready, so that everything proposed since
    /// the last one shares a message.
    pub(crate) fn replicate(&mut self) {
        let RoleState::Leader(leading) = &self.role else {
            return;
        };
        let peers: Vec<ReplicaId> = leading.peers.keys().copied().collect();
        for peer in peers {
            while self.send_append(peer) {}
            self.send_chunk(peer);
        }
        self.drop_unused_snapshot();
    }

    /// Sends one append, if one is due; answers whether another one may be.
    fn send_append(&mut self, peer: ReplicaId) -> bool {
        let limits = InflightLimits {
            appends: self.config.max_inflight_appends,
            bytes: self.config.max_inflight_bytes,
        };
        let last_index = self.log.last().index;
        let Some(progress) = self.progress_mut(peer) else {
            return false;
        };
        let is_probe = matches!(progress.state, Replicating::Probe { .. });
        let is_complete = match is_probe {
            true => progress.match_index == last_index,
            false => progress.next_index > last_index,
        };
        if is_complete || !progress.may_append(limits) {
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
        let sent_to = entries.last().map_or(previous_index, |entry| entry.index);
        if let Some(progress) = self.progress_mut(peer) {
            progress.appended(sent_to, bytes);
        }
        let message = Message::Append {
            term: self.hard_state.term,
            previous,
            entries,
            commit: self.log.commit(),
        };
        self.outbox.before_sync(peer, message);
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
                self.outbox.after_sync(from, reply);
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

    /// What is compacted here is committed, and so equal in both logs.
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

    /// The last place that may be shared with the leader, at worst what is committed here.
    fn mismatch(&self, previous: Position) -> AppendResult {
        let hint = self.log.last_shared_candidate(previous);
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
        let matched = entries.last().map_or(previous_index, |entry| entry.index);
        if let Some(offset) = self.log.first_new(&entries)? {
            self.replace_tail(entries.split_off(offset));
        }
        // Beyond `matched` this log may differ from the leader's.
        self.log.commit_to(commit.min(matched));
        Ok(AppendResult::Matched { index: matched })
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
            self.memberships.appended(&entry);
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
                progress.matched(index, base_index);
                self.advance_commit();
            }
            AppendResult::Matched { .. } => {}
            AppendResult::Mismatch { rejected, hint } => self.back_up(from, rejected, hint),
        }
    }

    /// The peer lacks the entry at `rejected`: goes back to the last place that both logs may share.
    fn back_up(&mut self, peer: ReplicaId, rejected: u64, hint: Position) {
        let candidate = self.log.last_shared_candidate(hint);
        // Not in the log any more: a snapshot follows, since nothing precedes the base.
        let shared_index = candidate.map_or(0, |place| place.index);
        let Some(progress) = self.progress_mut(peer) else {
            return;
        };
        let is_late = rejected <= progress.match_index;
        match progress.state {
            _ if is_late => {}
            Replicating::Pipeline => progress.probe(progress.match_index + 1),
            Replicating::Probe { .. } if rejected + 1 == progress.next_index => {
                progress.probe(rejected.min(shared_index + 1));
            }
            Replicating::Probe { .. } | Replicating::Snapshot(_) => {}
        }
    }

    /// Commits what a quorum has synced. Entries of earlier terms become committed only by one of
    /// this term after them: a later leader could still replace them (Raft, 5.4.2).
    pub(crate) fn advance_commit(&mut self) {
        let RoleState::Leader(_) = &self.role else {
            return;
        };
        let learners_count = self
            .rules
            .are_broken_by(BrokenVariant::LearnerCountsAsVoter);
        let own = self.log.stable();
        let index = self.quorum_value(own, |progress| progress.match_index, learners_count);
        let is_own_term = self.log.term_at(index) == Some(self.hard_state.term);
        let any_term = self
            .rules
            .are_broken_by(BrokenVariant::CommitOlderTermByCount);
        if (is_own_term || any_term) && self.log.commit_to(index) {
            self.finish_removal_of_leader();
        }
    }

    /// The largest value that a quorum of the voters has reached. The leader is one of them only
    /// while it is a voter.
    pub(crate) fn quorum_value(
        &self,
        own: u64,
        value: impl Fn(&Progress) -> u64,
        learners_count: bool,
    ) -> u64 {
        let RoleState::Leader(leading) = &self.role else {
            return 0;
        };
        let membership = self.memberships.current();
        let value_of = |replica: &ReplicaId| match leading.peers.get(replica) {
            _ if *replica == self.id => own,
            Some(progress) => value(progress),
            None => 0,
        };
        let mut values: Vec<u64> = membership.voters.iter().map(value_of).collect();
        if learners_count {
            values.extend(membership.learners.iter().map(value_of));
        }
        values.sort_unstable_by(|left, right| right.cmp(left));
        let position = membership.quorum() - 1;
        values.get(position).copied().unwrap_or(0)
    }
}
