//! The replica: its state, its timers and the dispatch of messages.

use crate::{
    Config, Fault, HardState, Message, NotLeader, PersistentState, Position, ReadReady, ReplicaId,
    Role, Snapshot, Status,
    broken::Rules,
    election::{ElectionTimer, VoteTally, VoterRank},
    leading::LeaderState,
    log::Log,
    membership_history::MembershipHistory,
    outbox::Outbox,
    progress::Progress,
    snapshot_transfer::IncomingSnapshot,
};

/// A replica's role, with the state that it keeps in that role.
#[derive(Clone, Debug)]
pub(crate) enum RoleState {
    Follower,
    PreCandidate(VoteTally),
    Candidate(VoteTally),
    Leader(Box<LeaderState>),
}

/// One replica of one group: a state machine without a clock, sockets or a disk.
///
/// Its inputs are [`Self::tick`], [`Self::receive`] and requests. After each input, the caller does
/// the work that [`Self::take_ready`] returns, in the order that [`crate::Ready`] requires.
#[derive(Clone, Debug)]
pub struct Replica {
    pub(crate) config: Config,
    pub(crate) id: ReplicaId,
    pub(crate) rules: Rules,
    pub(crate) hard_state: HardState,
    /// The hard state of the last ready that contained one.
    pub(crate) saved_hard_state: HardState,
    pub(crate) role: RoleState,
    pub(crate) leader: Option<ReplicaId>,
    /// Ticks since the last message from another replica that led, or since the start. This crate
    /// only reports it.
    pub(crate) leader_silent_ticks: u32,
    pub(crate) election_timer: ElectionTimer,
    pub(crate) log: Log,
    pub(crate) memberships: MembershipHistory,
    pub(crate) incoming_snapshot: Option<IncomingSnapshot>,
    pub(crate) snapshot_to_install: Option<Snapshot>,
    pub(crate) outbox: Outbox,
    pub(crate) finished_reads: Vec<ReadReady>,
    pub(crate) refused_reads: Vec<u64>,
    pub(crate) ready_count: u64,
    pub(crate) fault: Option<Fault>,
}

impl Replica {
    /// Creates a replica from the contents of its disk. If the disk is blank, the replica waits
    /// until a leader that has added it as a learner sends it the log.
    pub fn new(config: Config, id: ReplicaId, restored: PersistentState) -> Self {
        let base = Position {
            index: restored.snapshot.index,
            term: restored.snapshot.term,
        };
        let mut memberships = MembershipHistory::new(base.index, restored.snapshot.membership);
        for entry in &restored.entries {
            memberships.record_entry(entry);
        }
        let seed = config.election_seed ^ id.0;
        let voter_rank = VoterRank::of(id, memberships.current());
        Self {
            election_timer: ElectionTimer::new(
                config.election_timeout_ticks,
                config.first_election_timeout_ticks,
                voter_rank,
                seed,
            ),
            config,
            id,
            rules: Rules::default(),
            hard_state: restored.hard_state,
            saved_hard_state: restored.hard_state,
            role: RoleState::Follower,
            leader: None,
            leader_silent_ticks: 0,
            log: Log::restored(base, restored.entries),
            memberships,
            incoming_snapshot: None,
            snapshot_to_install: None,
            outbox: Outbox::default(),
            finished_reads: Vec::new(),
            refused_reads: Vec::new(),
            ready_count: 0,
            fault: None,
        }
    }

    /// Returns this replica with one rule broken, to test the checkers.
    #[cfg(feature = "broken-variants")]
    pub fn with_broken_rule(mut self, variant: crate::BrokenVariant) -> Self {
        self.rules = Rules::with_broken(variant);
        self
    }

    /// Advances the time by one tick, the unit of the durations in [`Config`].
    pub fn tick(&mut self) {
        if self.fault.is_some() {
            return;
        }
        self.leader_silent_ticks = self.leader_silent_ticks.saturating_add(1);
        match self.role {
            RoleState::Leader(_) => self.tick_leader(),
            _ => self.tick_election(),
        }
    }

    fn tick_leader(&mut self) {
        let RoleState::Leader(leader_state) = &mut self.role else {
            return;
        };
        for progress in leader_state.peers.values_mut() {
            progress.tick();
        }
        leader_state.heartbeat_elapsed_ticks += 1;
        let is_due = leader_state.heartbeat_elapsed_ticks >= self.config.heartbeat_ticks;
        if !self.has_active_quorum() {
            self.become_follower(self.hard_state.term, None);
            return;
        }
        self.tick_transfer();
        if is_due {
            self.broadcast_heartbeat();
        }
    }

    /// Returns whether a quorum responded within the last election timeout. A leader without one
    /// steps down: the others may have elected a new leader, and its callers must look for that
    /// one.
    fn has_active_quorum(&self) -> bool {
        let membership = self.memberships.current();
        let voters = membership.voters.iter();
        let active = voters.filter(|voter| self.is_active(**voter)).count();
        active >= membership.quorum()
    }

    /// Handles a message from another replica. Late, repeated and reordered messages do no harm.
    pub fn receive(&mut self, from: ReplicaId, message: Message) {
        if self.fault.is_some() || from == self.id {
            return;
        }
        match message {
            Message::PreVote { next_term, last } => self.receive_pre_vote(from, next_term, last),
            Message::PreVoteReply {
                term,
                next_term,
                granted,
            } => self.receive_pre_vote_reply(from, term, next_term, granted),
            message => self.receive_in_term(from, message),
        }
    }

    fn receive_in_term(&mut self, from: ReplicaId, message: Message) {
        let term = message.term();
        if term < self.hard_state.term {
            self.reply_to_stale_term(from, &message);
            return;
        }
        if term > self.hard_state.term {
            if !self.accepts_newer_term(from, &message) {
                return;
            }
            self.become_follower(term, None);
        }
        if is_from_leader(&message) && !self.follow(from) {
            return;
        }
        self.dispatch(from, message);
    }

    /// Returns whether a message may raise this replica's term. A message from a leader may,
    /// because only a replica that won an election can lead. Vote requests and replies with a high
    /// term, however, can come from any replica. Those that were removed or have lost contact must
    /// not depose a working leader.
    fn accepts_newer_term(&self, from: ReplicaId, message: &Message) -> bool {
        match message {
            Message::Append { .. } | Message::Heartbeat { .. } | Message::SnapshotChunk(_) => true,
            Message::Vote { transfer, .. } => self.accepts_candidate(*transfer),
            Message::VoteReply { .. }
            | Message::AppendReply { .. }
            | Message::HeartbeatReply { .. }
            | Message::SnapshotChunkReply { .. } => self.is_member(from),
            Message::TimeoutNow { .. } | Message::PreVote { .. } | Message::PreVoteReply { .. } => {
                false
            }
        }
    }

    /// Tells a leader or candidate of an old term about the newer term.
    fn reply_to_stale_term(&mut self, from: ReplicaId, message: &Message) {
        let term = self.hard_state.term;
        if is_from_leader(message) {
            // The heartbeat's round belongs to another leader's term. The receiver steps down
            // because of the newer term.
            let reply = Message::HeartbeatReply { term, round: 0 };
            self.outbox.send_after_sync(from, reply);
        } else if matches!(message, Message::Vote { .. }) {
            let granted = false;
            let reply = Message::VoteReply { term, granted };
            self.outbox.send_after_sync(from, reply);
        }
    }

    /// Follows the leader of the current term. Returns false if the term already has another
    /// leader.
    fn follow(&mut self, leader: ReplicaId) -> bool {
        let has_other_leader = self.leader.is_some_and(|known| known != leader);
        if has_other_leader || matches!(self.role, RoleState::Leader(_)) {
            self.fault = Some(Fault::TwoLeaders {
                other: leader,
                term: self.hard_state.term,
            });
            return false;
        }
        if !matches!(self.role, RoleState::Follower) {
            self.become_follower(self.hard_state.term, None);
        }
        self.leader = Some(leader);
        self.leader_silent_ticks = 0;
        self.election_timer.record_contact();
        true
    }

    fn dispatch(&mut self, from: ReplicaId, message: Message) {
        match message {
            Message::Vote { last, .. } => self.receive_vote(from, last),
            Message::VoteReply { granted, .. } => self.receive_vote_reply(from, granted),
            Message::Append {
                previous,
                entries,
                commit,
                ..
            } => self.receive_append(from, previous, entries, commit),
            Message::AppendReply { result, .. } => self.receive_append_reply(from, result),
            Message::Heartbeat { commit, round, .. } => self.receive_heartbeat(from, commit, round),
            Message::HeartbeatReply { round, .. } => self.receive_heartbeat_reply(from, round),
            Message::SnapshotChunk(chunk) => self.receive_chunk(from, chunk),
            Message::SnapshotChunkReply {
                transfer, received, ..
            } => self.receive_chunk_reply(from, transfer, received),
            Message::TimeoutNow { .. } => self.receive_timeout_now(from),
            Message::PreVote { .. } | Message::PreVoteReply { .. } => {}
        }
    }

    /// Returns the identifier of this replica.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Returns the latest term seen.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Returns the leader of the current term, if known. This may be the replica itself.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Returns whether this replica is the leader as far as it knows. Another one may lead a later
    /// term.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, RoleState::Leader(_))
    }

    /// Returns the state of the replica.
    pub fn status(&self) -> Status {
        let timeout = self.config.election_timeout_ticks;
        let (role, leader_state) = match &self.role {
            RoleState::Follower => (Role::Follower, None),
            RoleState::PreCandidate(_) => (Role::PreCandidate, None),
            RoleState::Candidate(_) => (Role::Candidate, None),
            RoleState::Leader(leader_state) => (Role::Leader, Some(leader_state)),
        };
        let peers = leader_state
            .iter()
            .flat_map(|leader_state| &leader_state.peers);
        Status {
            id: self.id,
            role,
            term: self.hard_state.term,
            leader: self.leader,
            leader_silent_ticks: self.leader_silent_ticks,
            commit: self.log.commit(),
            delivered_index: self.log.delivered_index(),
            last_index: self.log.last().index,
            first_index: self.log.first_index(),
            membership: self.memberships.current().clone(),
            membership_index: self.memberships.current_index(),
            peers: peers
                .map(|(peer, progress)| (*peer, progress.status(timeout)))
                .collect(),
            transfer: leader_state
                .and_then(|leader_state| leader_state.transfer.map(|transfer| transfer.to)),
            fault: self.fault,
        }
    }

    pub(crate) fn not_leader(&self) -> NotLeader {
        NotLeader {
            leader: self.leader,
        }
    }

    pub(crate) fn is_member(&self, replica: ReplicaId) -> bool {
        self.memberships.current().contains(replica)
    }

    pub(crate) fn other_voters(&self) -> Vec<ReplicaId> {
        let voters = self.memberships.current().voters.iter();
        voters.copied().filter(|voter| *voter != self.id).collect()
    }

    pub(crate) fn other_members(&self) -> Vec<ReplicaId> {
        let membership = self.memberships.current();
        let members = membership.voters.iter().chain(&membership.learners);
        let is_other = |member: &ReplicaId| *member != self.id;
        members.copied().filter(is_other).collect()
    }

    pub(crate) fn progress_mut(&mut self, peer: ReplicaId) -> Option<&mut Progress> {
        match &mut self.role {
            RoleState::Leader(leader_state) => leader_state.peers.get_mut(&peer),
            _ => None,
        }
    }
}

fn is_from_leader(message: &Message) -> bool {
    matches!(
        message,
        Message::Append { .. } | Message::Heartbeat { .. } | Message::SnapshotChunk(_)
    )
}
