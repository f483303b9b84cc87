//! Tracks for how long each member has not responded to a leader that repeatedly proves its leadership, as a pure state
//! machine.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use sablehaven_consensus::ReplicaId;

/// A quorum's confirmation that this replica led at some time between the request and its completion.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeadershipProof {
    /// The term in which it led.
    pub(crate) term: u64,
    /// When the proof was requested.
    pub(crate) asked_at: Duration,
    /// When the proof was complete.
    pub(crate) proven_at: Duration,
}

/// Tracks for how long each member has been silent. Times are those of a monotonic clock that includes system
/// suspension.
#[derive(Debug)]
pub(crate) struct SilenceTracker {
    /// Maximum time from the request of a proof to the completion of the next one.
    maximum_gap: Duration,
    last_proof: Option<LeadershipProof>,
    last_answers: BTreeMap<ReplicaId, Duration>,
}

impl SilenceTracker {
    /// Creates a tracker without proofs.
    ///
    /// If two proofs are further apart than five eighths of an election timeout, members may have missed the leader
    /// between them. Such members keep their parts of the quotas without the leader for the repair patience, so silence
    /// must be counted from the later proof. The remaining three eighths of the timeout are reserved for the members'
    /// answers to each other.
    pub(crate) fn new(election_timeout: Duration) -> Self {
        Self {
            maximum_gap: election_timeout * 5 / 8,
            last_proof: None,
            last_answers: BTreeMap::new(),
        }
    }

    /// Discards all proofs and answers; called when this replica does not lead or cannot prove that it does.
    pub(crate) fn reset(&mut self) {
        self.last_proof = None;
        self.last_answers.clear();
    }

    /// Records a proof, and the members that were responsive at that time.
    pub(crate) fn record_proof(
        &mut self,
        proof: LeadershipProof,
        members: impl IntoIterator<Item = ReplicaId>,
        responsive: &BTreeSet<ReplicaId>,
    ) {
        let is_continuous = self.last_proof.is_some_and(|last| {
            let gap = proof.proven_at.saturating_sub(last.asked_at);
            last.term == proof.term && gap <= self.maximum_gap
        });
        if !is_continuous {
            self.reset();
        }
        self.last_proof = Some(proof);
        for member in members {
            let last = self.last_answers.entry(member).or_insert(proof.proven_at);
            if responsive.contains(&member) {
                *last = proof.proven_at;
            }
        }
    }

    /// Returns for how long a member had been silent at the latest proof; zero without a proof.
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
