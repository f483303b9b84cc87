//! The agent's lease: a proof that the state in force is current.

use std::time::Duration;

use sablehaven_types::ConfigurationAge;
use sablehaven_wire::{LeaseGrant, LeaseProof, LeaseRequests};

/// Maximum number of proofs kept until their revision has been applied.
const MAXIMUM_PENDING_PROOFS: usize = 8;

/// The effect of a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Renewal {
    /// The grant extended the lease.
    Renewed,
    /// The grant proves that the state in force is current, but the held lease expires later.
    Confirmed,
    /// The grant takes effect once its revision has been applied.
    AwaitingRevision,
    /// The grant answers no pending request, or has already expired.
    Ignored,
}

/// The lease of an agent. Times are durations since an arbitrary starting point of the agent's clock.
#[derive(Debug, Default)]
pub struct LeaseState {
    requests: LeaseRequests,
    held: Option<LeaseProof>,
    pending: Vec<LeaseProof>,
}

impl LeaseState {
    /// Records a request that is about to be sent, and returns its nonce. Must be called before the
    /// request is written; see [`LeaseRequests::record_request`].
    pub fn record_request(&mut self, now: Duration) -> u64 {
        self.requests.record_request(now)
    }

    /// Processes a grant. `applied_revision` is the revision in force.
    pub fn accept_grant(
        &mut self,
        grant: &LeaseGrant,
        applied_revision: u64,
        now: Duration,
    ) -> Renewal {
        let proof = self.requests.accept_grant(grant);
        let Some(proof) = proof.filter(|proof| proof.is_valid(now)) else {
            return Renewal::Ignored;
        };
        if proof.revision > applied_revision {
            self.add_pending(proof);
            return Renewal::AwaitingRevision;
        }
        self.replace_if_newer(proof)
    }

    /// Uses the pending proofs for revisions up to `revision`, which has now been applied. Returns
    /// whether this extended the lease.
    pub fn revision_applied(&mut self, revision: u64) -> bool {
        let pending = std::mem::take(&mut self.pending);
        let (usable, pending): (Vec<_>, Vec<_>) = pending
            .into_iter()
            .partition(|proof| proof.revision <= revision);
        self.pending = pending;
        let renewals = usable.into_iter().map(|proof| self.replace_if_newer(proof));
        renewals.fold(false, |renewed, renewal| {
            renewed | (renewal == Renewal::Renewed)
        })
    }

    /// Returns the time until the lease expires, or zero if there is none.
    pub fn remaining(&self, now: Duration) -> Duration {
        self.held
            .map_or(Duration::ZERO, |proof| proof.remaining(now))
    }

    /// Returns the total duration of the lease, or zero before the first one.
    pub fn duration(&self) -> Duration {
        self.held
            .map_or(Duration::ZERO, |proof| proof.usable_duration())
    }

    /// Returns the age of the configuration with the given version, as stated in replies. The age is
    /// `u64::MAX` until the configuration has been proved to be current for the first time.
    pub fn configuration_age(&self, version: u64, now: Duration) -> ConfigurationAge {
        let age_ms = self
            .held
            .map_or(u64::MAX, |proof| proof.age(now).as_millis() as u64);
        ConfigurationAge {
            version,
            current: self.held.is_some_and(|proof| proof.is_valid(now)),
            age_ms,
        }
    }

    fn replace_if_newer(&mut self, proof: LeaseProof) -> Renewal {
        if self.held.is_some_and(|held| !proof.is_newer_than(&held)) {
            return Renewal::Confirmed;
        }
        self.held = Some(proof);
        Renewal::Renewed
    }

    fn add_pending(&mut self, proof: LeaseProof) {
        if self.pending.len() == MAXIMUM_PENDING_PROOFS {
            self.pending.remove(0);
        }
        self.pending.push(proof);
    }
}
