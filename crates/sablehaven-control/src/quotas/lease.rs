//! The lease on this replica's part of the quotas: how long the replica may spend its part. Does no I/O.
//!
//! A replica's part may be given to another replica only after the replica was removed from the group, by a leader
//! because of its silence or by an operator. The replica may therefore spend its part as long as no leader can have
//! counted it as silent for the whole repair patience. To renew the lease, the replica sends probes. Two kinds of answer
//! renew it:
//!
//! - A grant from the leader. The leader proves its leadership after it has received the probe and before it answers. Any
//!   leader that counts this replica as silent therefore started to count after the probe was sent.
//! - Without a leader, answers from so many members that every quorum contains at least one of them. Each states that it
//!   has not heard from a leader for an election timeout. A leader's count of silence restarts after such a gap between
//!   its proofs ([`crate::leader::SilenceTracker`]), so that count, too, started after the probe was sent, provided that the
//!   lease was still valid before the renewal.
//!
//! The lease runs from the time at which the probe was sent, however long its answers take: answers that are read after
//! the process was frozen are as old as their probe.

use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};

use sablehaven_consensus::{Membership, ReplicaId};
use sablehaven_wire::CLOCK_DRIFT_PER_MILLE;

/// The number of a probe, by which an answer is matched to its probe.
pub(crate) type ProbeNumber = u64;

/// The time limits of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LeaseLimits {
    /// How long the lease lasts after a probe was sent.
    duration: Duration,
    /// How long after a probe its leaderless answers count; they must describe nearly the same moment.
    answer_window: Duration,
}

impl LeaseLimits {
    /// Limits for a repair patience (the silence after which a leader removes a member) and an election timeout. The
    /// lease is shorter than the patience by the drift allowed between two clocks.
    pub(crate) fn new(patience: Duration, election_timeout: Duration) -> Self {
        Self {
            duration: patience * (1_000 - CLOCK_DRIFT_PER_MILLE) / 1_000,
            answer_window: election_timeout / 4,
        }
    }
}

/// A member's view of the leader and of the group's membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct GroupView {
    /// Whether the member has not heard from a leader for an election timeout and is not the leader itself.
    pub(crate) is_leaderless: bool,
    /// Whether no membership change is in progress, and none is in the member's log without being applied.
    pub(crate) is_settled: bool,
    /// The membership in force.
    pub(crate) membership: Membership,
    /// The log index of this membership.
    pub(crate) membership_index: u64,
}

impl GroupView {
    /// The log index of the membership for which this member can state that it has no leader; `None` if it cannot. It
    /// cannot while it hears a leader. Nor can it during a membership change, about which other members might know more.
    pub(crate) fn leaderless_at(&self) -> Option<u64> {
        let is_stable = self.is_settled && self.membership.learners.is_empty();
        (self.is_leaderless && is_stable).then_some(self.membership_index)
    }

    /// The least number of voters such that every quorum contains at least one of them.
    fn blocking_count(&self) -> usize {
        self.membership.voters.len() + 1 - self.membership.quorum()
    }
}

/// A replica's lease on its part of the quotas.
#[derive(Debug)]
pub(crate) struct PartLease {
    own: ReplicaId,
    limits: LeaseLimits,
    /// When the latest probe was sent that renewed the lease.
    renewed_at: Option<Duration>,
    last_number: ProbeNumber,
    probes: VecDeque<OpenProbe>,
}

/// A probe whose answers still count.
#[derive(Debug)]
struct OpenProbe {
    number: ProbeNumber,
    sent_at: Duration,
    /// The members that hear no leader, each with the log index of the membership to which its answer refers.
    leaderless: BTreeSet<(u64, ReplicaId)>,
}

impl PartLease {
    /// A replica starts without a lease. Probe numbers continue from `first_number`, which must be random: an answer to a
    /// probe that this replica sent before a restart must not match a probe of this process.
    pub(crate) fn new(own: ReplicaId, limits: LeaseLimits, first_number: ProbeNumber) -> Self {
        Self {
            own,
            limits,
            renewed_at: None,
            last_number: first_number,
            probes: VecDeque::new(),
        }
    }

    /// Whether the replica may spend its part. `now` is a reading of a monotonic clock that also advances while the
    /// machine is suspended.
    pub(crate) fn is_valid(&self, now: Duration) -> bool {
        self.renewed_at
            .is_some_and(|at| now.saturating_sub(at) < self.limits.duration)
    }

    /// The time since the latest probe that renewed the lease.
    pub(crate) fn age(&self, now: Duration) -> Option<Duration> {
        self.renewed_at.map(|at| now.saturating_sub(at))
    }

    /// Registers a new probe. The caller must send it after this call.
    pub(crate) fn start_probe(&mut self, now: Duration) -> ProbeNumber {
        let duration = self.limits.duration;
        self.probes
            .retain(|probe| now.saturating_sub(probe.sent_at) < duration);
        self.last_number = self.last_number.wrapping_add(1);
        self.probes.push_back(OpenProbe {
            number: self.last_number,
            sent_at: now,
            leaderless: BTreeSet::new(),
        });
        self.last_number
    }

    /// Records that a leader has granted the lease.
    pub(crate) fn record_grant(&mut self, number: ProbeNumber) {
        let probe = self.probes.iter().find(|probe| probe.number == number);
        if let Some(sent_at) = probe.map(|probe| probe.sent_at) {
            self.renew(sent_at);
        }
    }

    /// Records a member's answer that it hears no leader. `membership_index` is the log index of the membership to which
    /// the answer refers, `own_view` is what this replica knows itself now.
    pub(crate) fn record_leaderless(
        &mut self,
        now: Duration,
        number: ProbeNumber,
        member: ReplicaId,
        membership_index: u64,
        own_view: &GroupView,
    ) {
        // Only a lease that is still valid can be renewed without a leader: what a leader has done since the lease
        // expired is not known.
        if !self.is_valid(now) || own_view.leaderless_at() != Some(membership_index) {
            return;
        }
        let answer_window = self.limits.answer_window;
        let mut probes = self.probes.iter_mut();
        let Some(probe) = probes.find(|probe| probe.number == number) else {
            return;
        };
        if now.saturating_sub(probe.sent_at) > answer_window {
            return;
        }
        probe.leaderless.insert((membership_index, self.own));
        probe.leaderless.insert((membership_index, member));
        let voters = own_view.membership.voters.iter();
        let leaderless = voters.filter(|voter| {
            let answer = (membership_index, **voter);
            probe.leaderless.contains(&answer)
        });
        if leaderless.count() >= own_view.blocking_count() {
            let sent_at = probe.sent_at;
            self.renew(sent_at);
        }
    }

    fn renew(&mut self, sent_at: Duration) {
        self.renewed_at = self.renewed_at.max(Some(sent_at));
    }
}

#[cfg(test)]
mod tests;
