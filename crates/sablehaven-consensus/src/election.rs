//! Elections: pre-vote, votes and the election timer.

use std::collections::BTreeMap;

use crate::{
    Membership, Message, Position, Replica, ReplicaId, broken::BrokenVariant, leading::LeaderState,
    replica::RoleState,
};

/// A replica's rank among the voters, which spreads the election timeouts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct VoterRank {
    /// The index in the sorted voters, from 0; also 0 for a replica that is not a voter.
    pub(crate) rank: u32,
    pub(crate) voters: u32,
}

impl VoterRank {
    /// Returns the rank of a replica in the given membership.
    pub(crate) fn of(replica: ReplicaId, membership: &Membership) -> Self {
        let voters = &membership.voters;
        let rank = voters.iter().position(|voter| *voter == replica);
        Self {
            rank: u32::try_from(rank.unwrap_or(0)).unwrap_or(u32::MAX),
            voters: u32::try_from(voters.len()).unwrap_or(u32::MAX).max(1),
        }
    }
}

/// Counts the ticks since the last contact with a leader, and determines when to start an election.
#[derive(Clone, Debug)]
pub(crate) struct ElectionTimer {
    base_ticks: u32,
    /// Used instead of `base_ticks` until the replica hears from a leader or votes for a candidate.
    /// Doubled at each attempt: if votes take longer than this to arrive, no election would ever
    /// succeed.
    first_timeout_ticks: Option<u32>,
    elapsed_ticks: u32,
    timeout_ticks: u32,
    voter_rank: VoterRank,
    random_state: u64,
}

impl ElectionTimer {
    /// Creates a timer. If `first_timeout_ticks` is less than `base_ticks`, the first timeout is not
    /// random but increases with the rank. With random timeouts, replicas that start together would
    /// often campaign at the same time, and none would win.
    pub(crate) fn new(
        base_ticks: u32,
        first_timeout_ticks: u32,
        voter_rank: VoterRank,
        seed: u64,
    ) -> Self {
        let mut timer = Self {
            base_ticks,
            first_timeout_ticks: Some(first_timeout_ticks.min(base_ticks)),
            elapsed_ticks: 0,
            timeout_ticks: 0,
            voter_rank,
            random_state: seed,
        };
        if first_timeout_ticks < base_ticks {
            timer.double_first_timeout();
            let step = first_timeout_ticks + first_timeout_ticks.div_ceil(2);
            timer.timeout_ticks =
                first_timeout_ticks.saturating_add(voter_rank.rank.saturating_mul(step));
        } else {
            timer.restart();
        }
        timer
    }

    /// Sets the replica's rank, used from the next restart on.
    pub(crate) fn set_voter_rank(&mut self, voter_rank: VoterRank) {
        self.voter_rank = voter_rank;
    }

    /// Restarts the timer with a new timeout of one to two times the base. This range is divided
    /// into one slot per voter, and each voter chooses a random timeout in the first half of its
    /// own slot. Without slots, voters that lose their leader together would sometimes campaign at
    /// the same time, again and again, and none would win.
    pub(crate) fn restart(&mut self) {
        self.elapsed_ticks = 0;
        let base = self.first_timeout_ticks.unwrap_or(self.base_ticks);
        self.double_first_timeout();
        let slot_ticks = (base / self.voter_rank.voters).max(1);
        let slot_start = slot_ticks.saturating_mul(self.voter_rank.rank);
        let jitter = self.next_random() % u64::from(slot_ticks.div_ceil(2));
        self.timeout_ticks = base.saturating_add(slot_start) + jitter as u32;
    }

    fn double_first_timeout(&mut self) {
        let doubled = self
            .first_timeout_ticks
            .map(|ticks| ticks.saturating_mul(2));
        self.first_timeout_ticks = doubled.filter(|ticks| *ticks < self.base_ticks);
    }

    /// Records contact with the leader, or a granted vote.
    pub(crate) fn record_contact(&mut self) {
        if self.first_timeout_ticks.take().is_some() {
            self.restart();
        }
        self.elapsed_ticks = 0;
    }

    /// Advances the timer by one tick and returns whether it is time to start an election.
    pub(crate) fn tick(&mut self) -> bool {
        self.elapsed_ticks = self.elapsed_ticks.saturating_add(1);
        self.elapsed_ticks >= self.timeout_ticks
    }

    /// Returns whether the leader was heard from within the base timeout.
    pub(crate) fn is_in_contact(&self) -> bool {
        self.elapsed_ticks < self.base_ticks
    }

    /// SplitMix64 (Steele, Lea and Flood, 2014). It only spreads the timeouts; nothing relies on it
    /// for security.
    fn next_random(&mut self) -> u64 {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.random_state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}

/// The replies to one round of vote requests.
#[derive(Clone, Debug, Default)]
pub(crate) struct VoteTally {
    votes: BTreeMap<ReplicaId, bool>,
    /// Number of the ready that contains the candidate's own vote, which counts once that ready is
    /// synced.
    pub(crate) own_vote_ready: Option<u64>,
}

/// The result of an election so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum VoteResult {
    Pending,
    Won,
    Lost,
}

impl VoteTally {
    fn record(&mut self, voter: ReplicaId, granted: bool) {
        self.votes.entry(voter).or_insert(granted);
    }

    fn result(&self, membership: &Membership) -> VoteResult {
        let count = |granted: bool| {
            let has_vote = |voter: &&ReplicaId| self.votes.get(voter) == Some(&granted);
            membership.voters.iter().filter(has_vote).count()
        };
        if count(true) >= membership.quorum() {
            return VoteResult::Won;
        }
        if membership.voters.len() - count(false) < membership.quorum() {
            return VoteResult::Lost;
        }
        VoteResult::Pending
    }
}

impl Replica {
    /// Returns whether this replica may start an election. Learners, removed replicas and blank
    /// replicas may not.
    pub(crate) fn is_voter(&self) -> bool {
        self.memberships.current().voters.contains(&self.id)
    }

    /// Returns whether this replica knows of a leader and is in contact with it. Vote requests are
    /// then ignored, so that a replica that was removed or partitioned cannot depose a working
    /// leader.
    fn has_leader_contact(&self) -> bool {
        match self.role {
            RoleState::Leader(_) => true,
            _ => self.leader.is_some() && self.election_timer.is_in_contact(),
        }
    }

    pub(crate) fn tick_election(&mut self) {
        if self.election_timer.tick() && self.is_voter() {
            self.start_pre_vote();
        }
    }

    /// Restarts the election timer with this replica's rank in the current membership.
    fn restart_election_timer(&mut self) {
        let voter_rank = VoterRank::of(self.id, self.memberships.current());
        self.election_timer.set_voter_rank(voter_rank);
        self.election_timer.restart();
    }

    fn start_pre_vote(&mut self) {
        self.restart_election_timer();
        self.leader = None;
        let mut tally = VoteTally::default();
        tally.record(self.id, true);
        self.role = RoleState::PreCandidate(tally);
        let request = Message::PreVote {
            next_term: self.hard_state.term + 1,
            last: self.log.last(),
        };
        for voter in self.other_voters() {
            self.outbox.send_before_sync(voter, request.clone());
        }
        self.check_tally();
    }

    /// Starts an election in the next term.
    pub(crate) fn campaign(&mut self, transfer: bool) {
        self.restart_election_timer();
        self.leader = None;
        self.hard_state.term += 1;
        self.hard_state.voted_for = Some(self.id);
        self.role = RoleState::Candidate(VoteTally::default());
        let request = Message::Vote {
            term: self.hard_state.term,
            last: self.log.last(),
            transfer,
        };
        // Sent only after this replica's own vote is synced. Otherwise it could win with this vote,
        // crash, lose the vote and then vote for another candidate in the same term.
        for voter in self.other_voters() {
            self.send_vote(voter, request.clone());
        }
    }

    fn send_vote(&mut self, to: ReplicaId, message: Message) {
        if self.rules.is_broken(BrokenVariant::VoteWithoutSync) {
            self.outbox.send_before_sync(to, message);
        } else {
            self.outbox.send_after_sync(to, message);
        }
    }

    /// Counts the candidate's own vote if it is in a ready up to this number, which is now synced.
    pub(crate) fn count_own_vote(&mut self, synced_ready: u64) {
        let candidate = self.id;
        if let RoleState::Candidate(tally) = &mut self.role
            && tally
                .own_vote_ready
                .is_some_and(|ready| ready <= synced_ready)
        {
            tally.record(candidate, true);
            self.check_tally();
        }
    }

    fn check_tally(&mut self) {
        let membership = self.memberships.current();
        let (is_pre_vote, result) = match &self.role {
            RoleState::PreCandidate(tally) => (true, tally.result(membership)),
            RoleState::Candidate(tally) => (false, tally.result(membership)),
            RoleState::Follower | RoleState::Leader(_) => return,
        };
        match result {
            VoteResult::Pending => {}
            VoteResult::Won if is_pre_vote => self.campaign(false),
            VoteResult::Won => self.become_leader(),
            VoteResult::Lost => self.become_follower(self.hard_state.term, None),
        }
    }

    fn become_leader(&mut self) {
        self.leader = Some(self.id);
        let last_index = self.log.last().index;
        let leader_state = LeaderState::new(last_index + 1, self.other_members(), last_index);
        self.role = RoleState::Leader(Box::new(leader_state));
        // The first entry of the term. Once it is committed, so are the entries of earlier terms.
        self.append_as_leader(crate::EntryPayload::Empty);
    }

    pub(crate) fn become_follower(&mut self, term: u64, leader: Option<ReplicaId>) {
        if let RoleState::Leader(leader_state) = &mut self.role {
            self.refused_reads.extend(leader_state.reads.take_tokens());
        }
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.voted_for = None;
        }
        self.role = RoleState::Follower;
        self.leader = leader;
        self.restart_election_timer();
    }

    fn is_up_to_date(&self, last: Position) -> bool {
        let own = self.log.last();
        (last.term, last.index) >= (own.term, own.index)
    }

    /// Returns whether this replica knows the membership. If it does not, its disk is blank, and any
    /// vote that it cast before is lost.
    fn has_members(&self) -> bool {
        !self.memberships.current().voters.is_empty()
    }

    pub(crate) fn receive_pre_vote(&mut self, from: ReplicaId, next_term: u64, last: Position) {
        let is_new = next_term > self.hard_state.term;
        let granted =
            is_new && !self.has_leader_contact() && self.has_members() && self.is_up_to_date(last);
        let reply = Message::PreVoteReply {
            term: self.hard_state.term,
            next_term,
            granted,
        };
        self.outbox.send_after_sync(from, reply);
    }

    pub(crate) fn receive_pre_vote_reply(
        &mut self,
        from: ReplicaId,
        term: u64,
        next_term: u64,
        granted: bool,
    ) {
        if term > self.hard_state.term {
            if !granted && self.is_member(from) {
                self.become_follower(term, None);
            }
            return;
        }
        if next_term != self.hard_state.term + 1 {
            return;
        }
        if let RoleState::PreCandidate(tally) = &mut self.role {
            tally.record(from, granted);
            self.check_tally();
        }
    }

    /// Returns whether a vote request of a newer term may raise this replica's term.
    pub(crate) fn accepts_candidate(&self, transfer: bool) -> bool {
        transfer || !self.has_leader_contact()
    }

    pub(crate) fn receive_vote(&mut self, from: ReplicaId, last: Position) {
        let vote_available = self.hard_state.voted_for.is_none() && self.leader.is_none();
        let may_vote = vote_available || self.hard_state.voted_for == Some(from);
        let granted = may_vote && self.has_members() && self.is_up_to_date(last);
        if granted {
            self.hard_state.voted_for = Some(from);
            self.election_timer.record_contact();
        }
        let term = self.hard_state.term;
        self.send_vote(from, Message::VoteReply { term, granted });
    }

    pub(crate) fn receive_vote_reply(&mut self, from: ReplicaId, granted: bool) {
        if let RoleState::Candidate(tally) = &mut self.role {
            tally.record(from, granted);
            self.check_tally();
        }
    }

    /// Handles the leader's request to take over.
    pub(crate) fn receive_timeout_now(&mut self, from: ReplicaId) {
        let is_follower = matches!(self.role, RoleState::Follower);
        if is_follower && self.leader == Some(from) && self.is_voter() {
            self.campaign(true);
        }
    }
}

#[cfg(test)]
mod tests;
