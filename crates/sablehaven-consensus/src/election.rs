//! Elections: pre-vote, votes, and the time after which a replica stands.

use std::collections::BTreeMap;

use crate::{
    Membership, Message, Position, Replica, ReplicaId, broken::BrokenVariant, leading::Leading,
    replica::RoleState,
};

/// A replica's place among the voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ElectionPlace {
    /// 0 is the first; also of a replica that is no voter.
    pub(crate) rank: u32,
    pub(crate) voters: u32,
}

impl ElectionPlace {
    /// The place of a replica among the members in force.
    pub(crate) fn of(replica: ReplicaId, membership: &Membership) -> Self {
        let voters = &membership.voters;
        let rank = voters.iter().position(|voter| *voter == replica);
        Self {
            rank: u32::try_from(rank.unwrap_or(0)).unwrap_or(u32::MAX),
            voters: u32::try_from(voters.len()).unwrap_or(u32::MAX).max(1),
        }
    }
}

/// The time since the leader was last heard, and the time after which to stand.
#[derive(Clone, Debug)]
pub(crate) struct ElectionClock {
    base_ticks: u32,
    /// In place of `base_ticks` until a leader or candidate was heard. Doubled at each try: where votes
    /// take longer than this, no election would ever be won.
    first_ticks: Option<u32>,
    elapsed_ticks: u32,
    timeout_ticks: u32,
    place: ElectionPlace,
    random_state: u64,
}

impl ElectionClock {
    /// The first time after a start is longer with each rank, not random: replicas that start together
    /// would otherwise often stand together, and none would win.
    pub(crate) fn new(base_ticks: u32, first_ticks: u32, place: ElectionPlace, seed: u64) -> Self {
        let mut clock = Self {
            base_ticks,
            first_ticks: Some(first_ticks.min(base_ticks)),
            elapsed_ticks: 0,
            timeout_ticks: 0,
            place,
            random_state: seed,
        };
        if first_ticks < base_ticks {
            clock.double_first();
            let step = first_ticks + first_ticks.div_ceil(2);
            clock.timeout_ticks = first_ticks.saturating_add(place.rank.saturating_mul(step));
        } else {
            clock.restart();
        }
        clock
    }

    /// The replica's place among the voters from the next restart on.
    pub(crate) fn set_place(&mut self, place: ElectionPlace) {
        self.place = place;
    }

    /// Starts over with a new time of one to two times the base. Each voter has a part of that to itself
    /// and draws from its first half: voters that lose their leader together would otherwise sometimes
    /// stand together, time after time, and none would win.
    pub(crate) fn restart(&mut self) {
        self.elapsed_ticks = 0;
        let base = self.first_ticks.unwrap_or(self.base_ticks);
        self.double_first();
        let part = (base / self.place.voters).max(1);
        let own_part = part.saturating_mul(self.place.rank);
        let drawn = self.next_random() % u64::from(part.div_ceil(2));
        self.timeout_ticks = base.saturating_add(own_part) + drawn as u32;
    }

    fn double_first(&mut self) {
        let doubled = self.first_ticks.map(|ticks| ticks.saturating_mul(2));
        self.first_ticks = doubled.filter(|ticks| *ticks < self.base_ticks);
    }

    /// The leader was heard, or a vote was given.
    pub(crate) fn heard(&mut self) {
        if self.first_ticks.take().is_some() {
            self.restart();
        }
        self.elapsed_ticks = 0;
    }

    /// Lets one tick pass; answers whether it is time to stand.
    pub(crate) fn tick(&mut self) -> bool {
        self.elapsed_ticks = self.elapsed_ticks.saturating_add(1);
        self.elapsed_ticks >= self.timeout_ticks
    }

    /// Whether the leader was heard within the base time.
    pub(crate) fn is_in_contact(&self) -> bool {
        self.elapsed_ticks < self.base_ticks
    }

    /// SplitMix64 (Steele, Lea and Flood, 2014): spreads the timeouts, protects nothing.
    fn next_random(&mut self) -> u64 {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.random_state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}

/// The answers to one request for votes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ballot {
    answers: BTreeMap<ReplicaId, bool>,
    /// The ready that carries the candidate's own vote; it counts once that is synced.
    pub(crate) own_vote_ready: Option<u64>,
}

/// Where a ballot stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BallotResult {
    Open,
    Won,
    Lost,
}

impl Ballot {
    fn record(&mut self, voter: ReplicaId, granted: bool) {
        self.answers.entry(voter).or_insert(granted);
    }

    fn result(&self, membership: &Membership) -> BallotResult {
        let count = |wanted: bool| {
            let is_voter = |voter: &&ReplicaId| self.answers.get(voter) == Some(&wanted);
            membership.voters.iter().filter(is_voter).count()
        };
        if count(true) >= membership.quorum() {
            return BallotResult::Won;
        }
        if membership.voters.len() - count(false) < membership.quorum() {
            return BallotResult::Lost;
        }
        BallotResult::Open
    }
}

impl Replica {
    /// Whether this replica may stand: learners, removed replicas and blank ones may not.
    pub(crate) fn is_voter(&self) -> bool {
        self.memberships.current().voters.contains(&self.id)
    }

    /// Whether a leader is there as far as this replica knows. Requests for votes are then ignored,
    /// so that a replica that was removed or cut off cannot depose a leader that works.
    fn is_in_leader_contact(&self) -> bool {
        match self.role {
            RoleState::Leader(_) => true,
            _ => self.leader.is_some() && self.clock.is_in_contact(),
        }
    }

    pub(crate) fn tick_election(&mut self) {
        if self.clock.tick() && self.is_voter() {
            self.start_pre_vote();
        }
    }

    /// Waits anew before standing, at the place among the voters in force.
    fn restart_clock(&mut self) {
        let place = ElectionPlace::of(self.id, self.memberships.current());
        self.clock.set_place(place);
        self.clock.restart();
    }

    fn start_pre_vote(&mut self) {
        self.restart_clock();
        self.leader = None;
        let mut ballot = Ballot::default();
        ballot.record(self.id, true);
        self.role = RoleState::PreCandidate(ballot);
        let request = Message::PreVote {
            next_term: self.hard_state.term + 1,
            last: self.log.last(),
        };
        for voter in self.other_voters() {
            self.outbox.before_sync(voter, request.clone());
        }
        self.count_ballot();
    }

    /// Stands for election in the next term.
    pub(crate) fn campaign(&mut self, transfer: bool) {
        self.restart_clock();
        self.leader = None;
        self.hard_state.term += 1;
        self.hard_state.voted_for = Some(self.id);
        self.role = RoleState::Candidate(Ballot::default());
        let request = Message::Vote {
            term: self.hard_state.term,
            last: self.log.last(),
            transfer,
        };
        // After the sync of the own vote: otherwise the replica could win with it, crash, forget it
        // and vote for another candidate of the same term.
        for voter in self.other_voters() {
            self.send_vote(voter, request.clone());
        }
    }

    fn send_vote(&mut self, to: ReplicaId, message: Message) {
        if self.rules.are_broken_by(BrokenVariant::VoteWithoutSync) {
            self.outbox.before_sync(to, message);
        } else {
            self.outbox.after_sync(to, message);
        }
    }

    /// The candidate's own vote is synced, if it was part of a ready up to this number.
    pub(crate) fn count_own_vote(&mut self, synced_ready: u64) {
        let own = self.id;
        if let RoleState::Candidate(ballot) = &mut self.role
            && ballot
                .own_vote_ready
                .is_some_and(|ready| ready <= synced_ready)
        {
            ballot.record(own, true);
            self.count_ballot();
        }
    }

    fn count_ballot(&mut self) {
        let membership = self.memberships.current();
        let (is_pre_vote, result) = match &self.role {
            RoleState::PreCandidate(ballot) => (true, ballot.result(membership)),
            RoleState::Candidate(ballot) => (false, ballot.result(membership)),
            RoleState::Follower | RoleState::Leader(_) => return,
        };
        match result {
            BallotResult::Open => {}
            BallotResult::Won if is_pre_vote => self.campaign(false),
            BallotResult::Won => self.become_leader(),
            BallotResult::Lost => self.become_follower(self.hard_state.term, None),
        }
    }

    fn become_leader(&mut self) {
        self.leader = Some(self.id);
        let last_index = self.log.last().index;
        let leading = Leading::new(last_index + 1, self.other_members(), last_index);
        self.role = RoleState::Leader(Box::new(leading));
        // The first entry of the term: with it the earlier terms' entries become committed.
        self.append_as_leader(crate::EntryPayload::Empty);
    }

    pub(crate) fn become_follower(&mut self, term: u64, leader: Option<ReplicaId>) {
        if let RoleState::Leader(leading) = &mut self.role {
            self.refused_reads.extend(leading.reads.take_tokens());
        }
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.voted_for = None;
        }
        self.role = RoleState::Follower;
        self.leader = leader;
        self.restart_clock();
    }

    fn is_up_to_date(&self, last: Position) -> bool {
        let own = self.log.last();
        (last.term, last.index) >= (own.term, own.index)
    }

    /// A replica without members is a blank disk; it has forgotten whatever it voted before.
    fn has_members(&self) -> bool {
        !self.memberships.current().voters.is_empty()
    }

    pub(crate) fn receive_pre_vote(&mut self, from: ReplicaId, next_term: u64, last: Position) {
        let is_new = next_term > self.hard_state.term;
        let granted = is_new
            && !self.is_in_leader_contact()
            && self.has_members()
            && self.is_up_to_date(last);
        let reply = Message::PreVoteReply {
            term: self.hard_state.term,
            next_term,
            granted,
        };
        self.outbox.after_sync(from, reply);
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
        if let RoleState::PreCandidate(ballot) = &mut self.role {
            ballot.record(from, granted);
            self.count_ballot();
        }
    }

    /// Whether a request for votes of a newer term may raise this replica's term.
    pub(crate) fn listens_to_candidate(&self, transfer: bool) -> bool {
        transfer || !self.is_in_leader_contact()
    }

    pub(crate) fn receive_vote(&mut self, from: ReplicaId, last: Position) {
        let is_free = self.hard_state.voted_for.is_none() && self.leader.is_none();
        let may_vote = is_free || self.hard_state.voted_for == Some(from);
        let granted = may_vote && self.has_members() && self.is_up_to_date(last);
        if granted {
            self.hard_state.voted_for = Some(from);
            self.clock.heard();
        }
        let term = self.hard_state.term;
        self.send_vote(from, Message::VoteReply { term, granted });
    }

    pub(crate) fn receive_vote_reply(&mut self, from: ReplicaId, granted: bool) {
        if let RoleState::Candidate(ballot) = &mut self.role {
            ballot.record(from, granted);
            self.count_ballot();
        }
    }

    /// The leader asks this replica to take over.
    pub(crate) fn receive_timeout_now(&mut self, from: ReplicaId) {
        let is_follower = matches!(self.role, RoleState::Follower);
        if is_follower && self.leader == Some(from) && self.is_voter() {
            self.campaign(true);
        }
    }
}

#[cfg(test)]
mod tests;
