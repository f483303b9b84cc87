//! For how long a replica may keep its part of the quotas, as a pure decision.
//!
//! A replica's part may be given to another one only after a leader has taken the replica out of the group for silence,
//! or an operator has. So it keeps the part as long as no leader can have counted it silent for the repair patience:
//!
//! - A leader's grant answers a question of this replica, and the leader proves between the two that it leads. Whatever
//!   leader counts this one silent thus began to do so after the question was asked.
//! - Without a leader, the answers of so many members that every quorum holds one of them: each has heard no leader for
//!   an election timeout. A leader's count of silence starts anew after such a gap in its proofs
//!   ([`crate::leader::Silence`]), so it too began after the question was asked, if the former proof still held.
//!
//! Everything counts from when the question was asked, whatever delays the answers: those that come after a freeze are
//! as old as their question.

use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};

use sablehaven_consensus::{Membership, ReplicaId};
use sablehaven_wire::CLOCK_DRIFT_PER_MILLE;

/// The number of a question; it tells the answers to it from those to others.
pub(crate) type ProbeNumber = u64;

/// The limits of a hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LeaseLimits {
    /// Time after which a question no longer proves anything.
    duration: Duration,
    /// Time within which the answers that no leader is heard must come: they must speak of the same moment.
    window: Duration,
}

impl LeaseLimits {
    /// Limits for the silence after which a leader takes a member out, and the time after which members miss a leader.
    pub(crate) fn new(patience: Duration, election_timeout: Duration) -> Self {
        Self {
            duration: patience * (1_000 - CLOCK_DRIFT_PER_MILLE) / 1_000,
            window: election_timeout / 4,
        }
    }
}

/// What a member knows of leaders and of the group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct MemberContact {
    /// Whether it has heard no leader for an election timeout, and leads nothing.
    pub(crate) is_leaderless: bool,
    /// Whether no change of the members is under way, nor in its log unapplied.
    pub(crate) is_settled: bool,
    /// The members in force.
    pub(crate) membership: Membership,
    /// Where these stand in the log.
    pub(crate) membership_index: u64,
}

impl MemberContact {
    /// The members that it can speak of: it hears no leader, and no change of them is half done, of which others of them
    /// might know more.
    pub(crate) fn leaderless_at(&self) -> Option<u64> {
        let is_whole = self.is_settled && self.membership.learners.is_empty();
        (self.is_leaderless && is_whole).then_some(self.membership_index)
    }

    /// Members of which every quorum holds at least one.
    fn blocking(&self) -> usize {
        self.membership.voters.len() + 1 - self.membership.quorum()
    }
}

/// The proof by which a replica keeps its part.
#[derive(Debug)]
pub(crate) struct PartLease {
    own: ReplicaId,
    limits: LeaseLimits,
    /// When the latest question was asked that proves the hold.
    proven_at: Option<Duration>,
    last_number: ProbeNumber,
    probes: VecDeque<OpenProbe>,
}

/// A question that may still be answered.
#[derive(Debug)]
struct OpenProbe {
    number: ProbeNumber,
    asked_at: Duration,
    /// The members that hear no leader, and where the members of which they speak stand in the log.
    leaderless: BTreeSet<(u64, ReplicaId)>,
}

impl PartLease {
    /// A replica that starts holds nothing. Numbers go on from `first_number`, a random one: an answer to the same
    /// replica before its restart must not be taken for one to this.
    pub(crate) fn new(own: ReplicaId, limits: LeaseLimits, first_number: ProbeNumber) -> Self {
        Self {
            own,
            limits,
            proven_at: None,
            last_number: first_number,
            probes: VecDeque::new(),
        }
    }

    /// Whether the replica may keep its part. `now` is a steady time that counts suspension.
    pub(crate) fn holds(&self, now: Duration) -> bool {
        self.proven_at
            .is_some_and(|at| now.saturating_sub(at) < self.limits.duration)
    }

    /// The time since the latest question that proves the hold.
    pub(crate) fn age(&self, now: Duration) -> Option<Duration> {
        self.proven_at.map(|at| now.saturating_sub(at))
    }

    /// Notes a question that is sent after this call.
    pub(crate) fn ask(&mut self, now: Duration) -> ProbeNumber {
        let duration = self.limits.duration;
        self.probes
            .retain(|probe| now.saturating_sub(probe.asked_at) < duration);
        self.last_number = self.last_number.wrapping_add(1);
        self.probes.push_back(OpenProbe {
            number: self.last_number,
            asked_at: now,
            leaderless: BTreeSet::new(),
        });
        self.last_number
    }

    /// A leader has granted the part.
    pub(crate) fn record_grant(&mut self, number: ProbeNumber) {
        let asked = self.probes.iter().find(|probe| probe.number == number);
        if let Some(asked_at) = asked.map(|probe| probe.asked_at) {
            self.prove(asked_at);
        }
    }

    /// A member hears no leader, and speaks of the members that stand at `membership_index` in the log. `contact` is what
    /// this replica itself knows now.
    pub(crate) fn leaderless(
        &mut self,
        now: Duration,
        number: ProbeNumber,
        member: ReplicaId,
        membership_index: u64,
        contact: &MemberContact,
    ) {
        // A proof only goes on from the one before: what a leader did after that one ended is not known.
        if !self.holds(now) || contact.leaderless_at() != Some(membership_index) {
            return;
        }
        let window = self.limits.window;
        let mut probes = self.probes.iter_mut();
        let Some(probe) = probes.find(|probe| probe.number == number) else {
            return;
        };
        if now.saturating_sub(probe.asked_at) > window {
            return;
        }
        probe.leaderless.insert((membership_index, self.own));
        probe.leaderless.insert((membership_index, member));
        let voters = contact.membership.voters.iter();
        let leaderless = voters.filter(|voter| {
            let answer = (membership_index, **voter);
            probe.leaderless.contains(&answer)
        });
        if leaderless.count() >= contact.blocking() {
            let asked_at = probe.asked_at;
            self.prove(asked_at);
        }
    }

    fn prove(&mut self, asked_at: Duration) {
        self.proven_at = self.proven_at.max(Some(asked_at));
    }
}

#[cfg(test)]
mod tests;
