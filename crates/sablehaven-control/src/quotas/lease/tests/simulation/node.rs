//! One replica of the simulation: its consensus state, its lease, and its tasks while it leads.

use std::sync::{Arc, Mutex};

use sablehaven_consensus::{
    Config, Entry, EntryPayload, MembershipChange, Message, PersistentState, Ready, Replica, Role,
};

use super::super::*;
use super::*;
use crate::{
    codec,
    driver::RemovalMonitor,
    leader::{LeadershipProof, SilenceTracker},
    quotas::PartGrants,
    repair::{MemberView, NewcomerView, RepairPolicy, next_change},
    replicas::{ChangePhase, ReplicaAddresses, ReplicasCommand, ReplicasState},
};

pub(super) const TICK_MS: u64 = 25;
pub(super) const ELECTION_TIMEOUT_MS: u64 = 500;
pub(super) const PATIENCE_MS: u64 = 2_500;
pub(super) const PROBE_INTERVAL_MS: u64 = 100;
/// The first nodes are members from the start; the others are spares, which the leader may add.
pub(super) const INITIAL_MEMBERS: u64 = 6;
pub(super) const NODE_COUNT: u64 = 8;
pub(super) const RUN_LENGTH_MS: u64 = 40_000;
/// The whole bucket, with a tolerance for rounding.
pub(in super::super) const ONE_BUCKET: f64 = 1.0 + 1e-9;

/// A rule of the lease that the simulation breaks on purpose, to check that the violation is detected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in super::super) enum BrokenRule {
    None,
    /// Leaderless answers count as long as a lease lasts, and a grant runs from when it is read.
    Freshness,
    /// A lease does not expire during the simulation.
    Expiry,
    /// Leaders keep counting silence across gaps between their proofs.
    Gaps,
}

/// The content of a simulated message.
pub(super) enum Payload {
    Consensus(Message),
    Probe(ProbeNumber),
    Granted(ProbeNumber),
    /// With the log index of the membership to which the answer refers.
    Leaderless(ProbeNumber, u64),
}

/// A proof of leadership in progress.
pub(super) struct OpenProof {
    pub(super) token: u64,
    pub(super) started_at_ms: u64,
    pub(super) term: u64,
    /// The probes that arrived before it started, with their senders.
    pub(super) probes: Vec<(ReplicaId, ProbeNumber)>,
}

/// The state of one replica; only `disk` and `frozen_until_ms` survive a restart.
pub(super) struct Node {
    pub(super) id: ReplicaId,
    pub(super) replica: Replica,
    pub(super) disk: PersistentState,
    pub(super) state: ReplicasState,
    /// The index of the last applied entry.
    pub(super) applied: u64,
    /// The index of the last entry in the log that begins a membership change.
    pub(super) last_change: u64,
    pub(super) frozen_until_ms: u64,
    pub(super) inbox: Vec<(ReplicaId, Payload)>,
    pub(super) lease: PartLease,
    pub(super) silence: SilenceTracker,
    pub(super) grants: Arc<Mutex<PartGrants>>,
    pub(super) removal: RemovalMonitor,
    /// Probes that wait for the next proof of leadership.
    pub(super) probes: Vec<(ReplicaId, ProbeNumber)>,
    pub(super) proof: Option<OpenProof>,
    pub(super) last_token: u64,
    /// The index of the last entry that this node proposed.
    pub(super) last_proposed: u64,
}

pub(super) fn addresses(id: ReplicaId) -> ReplicaAddresses {
    let port = 10 * id.0 as u16;
    ReplicaAddresses {
        internal: ([127, 0, 0, 1], port).into(),
        http: ([127, 0, 0, 1], port + 1).into(),
    }
}

pub(super) fn encode(command: &ReplicasCommand) -> Vec<u8> {
    codec::encode("encode", command).expect("encode")
}

pub(super) fn decode(command: &[u8]) -> ReplicasCommand {
    codec::decode("decode", command).expect("decode")
}

pub(super) fn begins_change(entry: &Entry) -> bool {
    let EntryPayload::Command(command) = &entry.payload else {
        return false;
    };
    matches!(decode(command), ReplicasCommand::Begin { .. })
}

pub(super) fn persist(disk: &mut PersistentState, ready: &Ready) {
    if let Some(hard_state) = ready.hard_state {
        disk.hard_state = hard_state;
    }
    if let Some(first) = ready.entries.first() {
        disk.entries.retain(|entry| entry.index < first.index);
        disk.entries.extend(ready.entries.iter().cloned());
    }
}

pub(super) fn consensus_config() -> Config {
    Config {
        election_timeout_ticks: (ELECTION_TIMEOUT_MS / TICK_MS) as u32,
        first_election_timeout_ticks: (ELECTION_TIMEOUT_MS / TICK_MS) as u32,
        heartbeat_ticks: 4,
        ..Config::default()
    }
}

impl Node {
    pub(super) fn new(
        id: ReplicaId,
        disk: PersistentState,
        broken: BrokenRule,
        first_probe_number: u64,
    ) -> Self {
        let mut limits = LeaseLimits::new(at(PATIENCE_MS), at(ELECTION_TIMEOUT_MS));
        let mut silence = SilenceTracker::new(at(ELECTION_TIMEOUT_MS));
        match broken {
            BrokenRule::Freshness => limits.answer_window = limits.duration,
            BrokenRule::Expiry => limits.duration = at(RUN_LENGTH_MS),
            BrokenRule::Gaps => silence = SilenceTracker::new(at(RUN_LENGTH_MS)),
            BrokenRule::None => {}
        }
        let grants: Arc<Mutex<PartGrants>> = Arc::default();
        Self {
            id,
            replica: Replica::new(consensus_config(), id, disk.clone()),
            state: ReplicasState::default(),
            applied: 0,
            last_change: disk.entries.last().map_or(0, |entry| entry.index),
            disk,
            frozen_until_ms: 0,
            inbox: Vec::new(),
            lease: PartLease::new(id, limits, first_probe_number),
            silence,
            removal: RemovalMonitor::new(Arc::clone(&grants), at(PATIENCE_MS)),
            grants,
            probes: Vec::new(),
            proof: None,
            last_token: 0,
            last_proposed: 0,
        }
    }

    pub(super) fn group_view(&self) -> GroupView {
        let status = self.replica.status();
        let is_silent = u64::from(status.leader_silent_ticks) * TICK_MS >= ELECTION_TIMEOUT_MS;
        GroupView {
            is_leaderless: is_silent && status.role != Role::Leader,
            is_settled: self.last_change <= self.applied && self.state.change().is_none(),
            membership: status.membership,
            membership_index: status.membership_index,
        }
    }

    pub(super) fn propose(&mut self, command: &ReplicasCommand) {
        if let Ok(position) = self.replica.propose(vec![encode(command)]) {
            self.last_proposed = position.index;
        }
    }

    /// At each tick of the leader, moves the membership towards the one that the replicated state asks for.
    pub(super) fn run_leader_tasks(&mut self, now_ms: u64, all: &[ReplicaId]) {
        let status = self.replica.status();
        if status.role != Role::Leader {
            return;
        }
        if self.last_proposed <= self.applied {
            if self.state.replicas().is_empty() {
                let voters = status.membership.voters.iter();
                let first = voters.map(|voter| (*voter, addresses(*voter))).collect();
                self.propose(&ReplicasCommand::Form(first));
            } else if let Some(change) = self.state.change().cloned()
                && self.is_phase_done(now_ms, &change)
            {
                let (change, phase) = (change.number, change.phase);
                self.propose(&ReplicasCommand::Advance { change, phase });
            }
        }
        if self.state.replicas().is_empty() {
            return;
        }
        let target = self.state.target();
        let wanted: BTreeSet<ReplicaId> = target.voters.union(&target.learners).copied().collect();
        let membership = &status.membership;
        let missing = wanted.iter().find(|each| !membership.contains(**each));
        let mut learners = membership.learners.iter();
        let ready = learners.find(|each| target.voters.contains(each));
        let surplus = all
            .iter()
            .find(|each| membership.contains(**each) && !wanted.contains(each));
        let change = missing
            .map(|each| MembershipChange::AddLearner(*each))
            .or(ready.map(|each| MembershipChange::Promote(*each)))
            .or(surplus.map(|each| MembershipChange::Remove(*each)));
        if let Some(change) = change {
            // Consensus refuses the change while an earlier one is not committed or a learner has not caught up. The next
            // tick tries again.
            let _ = self.replica.change_membership(change);
        }
    }

    pub(super) fn is_phase_done(
        &mut self,
        now_ms: u64,
        change: &crate::replicas::ReplicaChange,
    ) -> bool {
        let status = self.replica.status();
        let is_committed = status.membership_index <= status.commit;
        let membership = &status.membership;
        let added = change.kind.added();
        match change.phase {
            ChangePhase::Learning => added.is_some_and(|learner| {
                let peer = status.peers.get(&learner);
                peer.is_some_and(|peer| peer.active && peer.match_index > 0)
            }),
            ChangePhase::Promoting => {
                is_committed && added.is_some_and(|each| membership.voters.contains(&each))
            }
            ChangePhase::Removing => {
                let removed = change.kind.removed().expect("a removed replica");
                let is_removed = is_committed && !membership.contains(removed);
                let term = status.term;
                is_removed
                    && self
                        .removal
                        .is_removal_complete(at(now_ms), term, change, &self.state)
            }
        }
    }

    /// Starts a proof that this node leads, unless one is in progress.
    pub(super) fn start_leadership_proof(&mut self, now_ms: u64) {
        let probes = std::mem::take(&mut self.probes);
        if !self.replica.is_leader() {
            self.silence.reset();
            self.proof = None;
            return;
        }
        if self.proof.is_some() {
            self.probes = probes;
            return;
        }
        for (member, _) in &probes {
            let mut grants = self.grants.lock().expect("grants");
            grants.record_probe(at(now_ms), *member);
        }
        self.last_token += 1;
        if self.replica.read_index(self.last_token).is_ok() {
            self.proof = Some(OpenProof {
                token: self.last_token,
                started_at_ms: now_ms,
                term: self.replica.term(),
                probes,
            });
        }
    }

    /// Completes a proof of leadership: may start a membership change, and returns the probes that are granted.
    pub(super) fn finish_leadership_proof(
        &mut self,
        now_ms: u64,
        connected: &[ReplicaId],
    ) -> Vec<(ReplicaId, ProbeNumber)> {
        let Some(proof) = self.proof.take() else {
            return Vec::new();
        };
        let OpenProof {
            started_at_ms,
            term,
            probes,
            ..
        } = proof;
        let status = self.replica.status();
        if status.role != Role::Leader || status.term != term {
            self.silence.reset();
            return Vec::new();
        }
        let active = status.peers.iter().filter(|(_, peer)| peer.active);
        let mut answering: BTreeSet<ReplicaId> = active.map(|(peer, _)| *peer).collect();
        answering.insert(self.id);
        let members: Vec<ReplicaId> = self.state.replicas().keys().copied().collect();
        let proof = LeadershipProof {
            term,
            asked_at: at(started_at_ms),
            proven_at: at(now_ms),
        };
        let voters = status.membership.voters.iter().copied();
        self.silence
            .record_proof(proof, members.iter().copied().chain(voters), &answering);
        self.grants
            .lock()
            .expect("grants")
            .record_leadership(at(now_ms), term);
        self.repair(&members, connected);
        let voters = status.membership.voters;
        let is_granted = |member: &ReplicaId| voters.contains(member) && answering.contains(member);
        let probes = probes.into_iter();
        probes.filter(|(member, _)| is_granted(member)).collect()
    }

    /// Proposes the next membership change that the repair policy asks for.
    pub(super) fn repair(&mut self, members: &[ReplicaId], connected: &[ReplicaId]) {
        let policy = RepairPolicy {
            patience: at(PATIENCE_MS),
            minimum_members: 5,
            maximum_members: 7,
        };
        let views: Vec<MemberView> = members
            .iter()
            .map(|replica| MemberView {
                replica: *replica,
                internal: addresses(*replica).internal,
                silent_for: self.silence.silent_for(*replica),
            })
            .collect();
        let newcomers: Vec<NewcomerView> = connected
            .iter()
            .filter(|each| !members.contains(each))
            .map(|replica| NewcomerView {
                replica: *replica,
                addresses: addresses(*replica),
            })
            .collect();
        let planned = next_change(&views, &newcomers, self.state.change(), &policy);
        if let Some(planned) = planned
            && !members.is_empty()
        {
            self.propose(&ReplicasCommand::Begin {
                kind: planned.kind,
                addresses: planned.addresses,
            });
        }
    }

    /// The fraction of a quota that this node may spend.
    pub(super) fn leased_share(&self, now_ms: u64) -> f64 {
        let voters = self.replica.status().membership.voters;
        if !self.lease.is_valid(at(now_ms)) || !voters.contains(&self.id) {
            return 0.0;
        }
        1.0 / (voters.len() + 1) as f64
    }
}
