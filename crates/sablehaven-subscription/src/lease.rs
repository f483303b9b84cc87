//! Whether the state in force is proved to be current.

use std::time::Duration;

use sablehaven_types::ConfigurationAge;
use sablehaven_wire::{LeaseGrant, LeaseProof, LeaseRequests};

/// Proofs kept while their revision is not applied yet.
const MAXIMUM_WAITING_PROOFS: usize = 8;

/// What a grant did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Renewal {
    /// The lease lasts longer than before.
    Renewed,
    /// It proves that the state in force is current, but the lease held lasts longer.
    Confirmed,
    /// The grant counts once its revision has been applied.
    WaitsForRevision,
    /// It answers no open request, or has run out.
    Ignored,
}

/// The lease of an agent. Times are durations since an arbitrary start of the agent's clock.
#[derive(Debug, Default)]
pub struct LeaseState {
    requests: LeaseRequests,
    held: Option<LeaseProof>,
    waiting: Vec<LeaseProof>,
}

impl LeaseState {
    /// Notes a request that is sent after this call; returns its nonce.
    pub fn request(&mut self, now: Duration) -> u64 {
        self.requests.record_request(now)
    }

    /// Takes a grant; `applied_revision` is the revision in force.
    pub fn granted(&mut self, grant: &LeaseGrant, applied_revision: u64, now: Duration) -> Renewal {
        let answered = self.requests.accept_grant(grant);
        let Some(proof) = answered.filter(|proof| proof.is_valid(now)) else {
            return Renewal::Ignored;
        };
        if proof.revision > applied_revision {
            self.keep_waiting(proof);
            return Renewal::WaitsForRevision;
        }
        self.hold(proof)
    }

    /// Counts the proofs whose revision is applied now; returns whether the lease lasts longer.
    pub fn applied(&mut self, revision: u64) -> bool {
        let waiting = std::mem::take(&mut self.waiting);
        let (usable, waiting): (Vec<_>, Vec<_>) = waiting
            .into_iter()
            .partition(|proof| proof.revision <= revision);
        self.waiting = waiting;
        let renewals = usable.into_iter().map(|proof| self.hold(proof));
        renewals.fold(false, |renewed, renewal| {
            renewed | (renewal == Renewal::Renewed)
        })
    }

    /// Time until the lease ends; zero without one.
    pub fn remaining(&self, now: Duration) -> Duration {
        self.held
            .map_or(Duration::ZERO, |proof| proof.remaining(now))
    }

    /// The lease's whole duration; zero before the first one.
    pub fn duration(&self) -> Duration {
        self.held
            .map_or(Duration::ZERO, |proof| proof.usable_duration())
    }

    /// What answers state about the configuration of the given version. The age is `u64::MAX` while
    /// the version was never proved to be current.
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

    fn hold(&mut self, proof: LeaseProof) -> Renewal {
        if self.held.is_some_and(|held| !proof.is_newer_than(&held)) {
            return Renewal::Confirmed;
        }
        self.held = Some(proof);
        Renewal::Renewed
    }

    fn keep_waiting(&mut self, proof: LeaseProof) {
        if self.waiting.len() == MAXIMUM_WAITING_PROOFS {
            self.waiting.remove(0);
        }
        self.waiting.push(proof);
    }
}
