//! The replica: its state, its clock and the dispatch of messages.

use crate::{
    Config, Fault, HardState, Message, NotLeader, PersistentState, Position, ReadReady, ReplicaId,
    Role, Snapshot, Status,
    broken::Rules,
    election::{Ballot, ElectionClock, ElectionPlace},
    leading::Leading,
    log::Log,
    membership_history::MembershipHistory,
    outbox::Outbox,
    progress::Progress,
    snapshot_transfer::IncomingSnapshot,
};

/// A replica's role with what it keeps for it.
#[derive(Clone, Debug)]
pub(crate) enum RoleState {
    Follower,
    PreCandidate(Ballot),
    Candidate(Ballot),
    Leader(Box<Leading>),
}

/// One replica of one group: a state machine without clock, socket or disk.
///
/// Feed it with [`Self::tick`], [`Self::receive`] and requests, and do after each what
/// [`Self::take_ready`] asks for. See [`crate::Ready`] for the order that must hold.
#[derive(Clone, Debug)]
pub struct Replica {
    pub(crate) config: Config,
    pub(crate) id: ReplicaId,
    pub(crate) rules: Rules,
    pub(crate) hard_state: HardState,
    /// The hard state of the last ready.
    pub(crate) saved_hard_state: HardState,
    pub(crate) role: RoleState,
    pub(crate) leader: Option<ReplicaId>,
    /// Ticks since a message of another replica that led, or since the start. Decides nothing here.
    pub(crate) leader_silent_ticks: u32,
    pub(crate) clock: ElectionClock,
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
    /// A replica that starts from what its disk holds. With nothing restored it waits, as a blank
    /// replica, until a leader that has added it as a learner sends it the log.
    pub fn new(config: Config, id: ReplicaId, restored: PersistentState) -> Self {
        let base = Position {
            index: restored.snapshot.index,
            term: restored.snapshot.term,
        };
        let mut memberships = MembershipHistory::new(base.index, restored.snapshot.membership);
        for entry in &restored.entries {
            memberships.appended(entry);
        }
        let seed = config.election_seed ^ id.0;
        let place = ElectionPlace::of(id, memberships.current());
        Self {
            clock: ElectionClock::new(
                config.election_timeout_ticks,
                config.first_election_timeout_ticks,
                place,
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

    /// The same replica with one rule broken, for tests of the checkers.
    #[cfg(feature = "broken-variants")]
    pub fn with_broken_rule(mut self, variant: crate::BrokenVariant) -> Self {
        self.rules = Rules::breaking(variant);
        self
    }

    /// Lets one tick pass. The durations of [`Config`] count in ticks.
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
        let RoleState::Leader(leading) = &mut self.role else {
            return;
        };
        for progress in leading.peers.values_mut() {
            progress.tick();
        }
        leading.heartbeat_elapsed_ticks += 1;
        let is_due = leading.heartbeat_elapsed_ticks >= self.config.heartbeat_ticks;
        if !self.has_answering_quorum() {
            self.become_follower(self.hard_state.term, None);
            return;
        }
        self.tick_transfer();
        if is_due {
            self.broadcast_heartbeat();
        }
    }

    /// Whether a quorum answered within the last election timeout. A leader without one steps down:
    /// the others may have elected another, and its callers must look for that one.
    fn has_answering_quorum(&self) -> bool {
        let membership = self.memberships.current();
        let voters = membership.voters.iter();
        let answering = voters.filter(|voter| self.is_answering(**voter)).count();
        answering >= membership.quorum()
    }

    /// Takes a message of another replica. Late, repeated and reordered ones do no harm.
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
            self.answer_old_term(from, &message);
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

    /// Whether a message may raise this replica's term. Only a replica that won an election can
    /// lead, but anyone can ask for votes or answer with a high term: removed replicas, and ones
    /// that have lost contact, must not depose a leader that works.
    fn accepts_newer_term(&self, from: ReplicaId, message: &Message) -> bool {
        match message {
            Message::Append { .. } | Message::Heartbeat { .. } | Message::SnapshotChunk(_) => true,
            Message::Vote { transfer, .. } => self.listens_to_candidate(*transfer),
            Message::VoteReply { .. }
            | Message::AppendReply { .. }
            | Message::HeartbeatReply { .. }
            | Message::SnapshotChunkReply { .. } => self.is_member(from),
            Message::TimeoutNow { .. } | Message::PreVote { .. } | Message::PreVoteReply { .. } => {
                false
            }
        }
    }

    /// Tells a leader or candidate of an old term about the newer one.
    fn answer_old_term(&mut self, from: ReplicaId, message: &Message) {
        let term = self.hard_state.term;
        if is_from_leader(message) {
            // The round is of another leader's term; the receiver steps down on seeing the term.
            let reply = Message::HeartbeatReply { term, round: 0 };
            self.outbox.after_sync(from, reply);
        } else if matches!(message, Message::Vote { .. }) {
            let granted = false;
            let reply = Message::VoteReply { term, granted };
            self.outbox.after_sync(from, reply);
        }
    }

    /// Follows the leader of this term; false if there is another one.
    fn follow(&mut self, leader: ReplicaId) -> bool {
        let other_leader = self.leader.is_some_and(|known| known != leader);
        if other_leader || matches!(self.role, RoleState::Leader(_)) {
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
        self.clock.heard();
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

    /// This replica.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// The latest term seen.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// The leader of the term, where known; this replica itself where it leads.
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Whether this replica leads, as far as it knows; another one may lead a later term.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, RoleState::Leader(_))
    }

    /// The replica's state.
    pub fn status(&self) -> Status {
        let timeout = self.config.election_timeout_ticks;
        let (role, leading) = match &self.role {
            RoleState::Follower => (Role::Follower, None),
            RoleState::PreCandidate(_) => (Role::PreCandidate, None),
            RoleState::Candidate(_) => (Role::Candidate, None),
            RoleState::Leader(leading) => (Role::Leader, Some(leading)),
        };
        let peers = leading.iter().flat_map(|leading| &leading.peers);
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
            transfer: leading.and_then(|leading| leading.transfer.map(|transfer| transfer.to)),
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
            RoleState::Leader(leading) => leading.peers.get_mut(&peer),
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
