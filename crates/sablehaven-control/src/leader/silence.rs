//! Since when each member has been silent to a leader that proves again and again that it leads, as a pure decision.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use sablehaven_consensus::ReplicaId;

/// A proof that this replica led.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeadershipProof {
    pub(crate) term: u64,
    /// When it was asked for.
    pub(crate) asked_at: Duration,
    /// When it was there.
    pub(crate) proven_at: Duration,
}

/// Since when each member has been silent. Times are steady and count suspension.
#[derive(Debug)]
pub(crate) struct SilenceTracker {
    /// Longest time that two proofs may be apart.
    longest_gap: Duration,
    last_proof: Option<LeadershipProof>,
    last_answers: BTreeMap<ReplicaId, Duration>,
}

impl SilenceTracker {
    /// Two proofs that are further apart than five eighths of an election timeout leave room for members to have missed
    /// the leader meanwhile: those then keep their parts of the quotas without it for the repair patience, so silence
    /// counts from the later one. The rest of the timeout is for the members' answers to each other.
    pub(crate) fn new(election_timeout: Duration) -> Self {
        Self {
            longest_gap: election_timeout * 5 / 8,
            last_proof: None,
            last_answers: BTreeMap::new(),
        }
    }

    /// This replica does not lead, or cannot prove it.
    pub(crate) fn reset(&mut self) {
        self.last_proof = None;
        self.last_answers.clear();
    }

    /// Takes a proof, and the members that answer.
    pub(crate) fn record_proof(
        &mut self,
        proof: LeadershipProof,
        members: impl IntoIterator<Item = ReplicaId>,
        answering: &BTreeSet<ReplicaId>,
    ) {
        let goes_on = self.last_proof.is_some_and(|last| {
            let gap = proof.proven_at.saturating_sub(last.asked_at);
            last.term == proof.term && gap <= self.longest_gap
        });
        if !goes_on {
            self.reset();
        }
        self.last_proof = Some(proof);
        for member in members {
            let last = self.last_answers.entry(member).or_insert(proof.proven_at);
            if answering.contains(&member) {
                *last = proof.proven_at;
            }
        }
    }

    /// How long a member has been silent as of the latest proof.
    pub(crate) fn silent_for(&self, member: ReplicaId) -> Duration {
        let last_answer = self.last_answers.get(&member);
        match (self.last_proof, last_answer) {
            (Some(proof), Some(last)) => proof.proven_at.saturating_sub(*last),
            _ => Duration::ZERO,
        }
    }
}

#[cfg(test)]
mod tests;
