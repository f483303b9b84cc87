//! Lease arithmetic of a receiver (an agent, or a relay on its agents' behalf).
//!
//! A proof's age is counted from the moment at which its request was sent, on the receiver's own
//! monotonic clock. The proof was made after that moment less the age in the grant, so the lease
//! can only be taken to end too early, never too late, whatever the delay of the messages.
//! Source: C. G. Gray and D. R. Cheriton, "Leases: an efficient fault-tolerant mechanism for
//! distributed file cache consistency", SOSP 1989.
//!
//! Times are durations since an arbitrary start of the receiver's clock.

use std::{collections::VecDeque, time::Duration};

use crate::LeaseGrant;

/// The part of a lease, in thousandths, that is given up in case two monotonic clocks differ in
/// rate; ordinary clocks differ by less than a thousandth.
pub const CLOCK_DRIFT_PER_MILLE: u32 = 10;

/// Requests kept while they have no answer; older ones no longer count.
const MAXIMUM_OPEN_REQUESTS: usize = 16;

/// The requests that a receiver has sent and that are not answered yet.
#[derive(Debug, Default)]
pub struct LeaseRequests {
    last_nonce: u64,
    open: VecDeque<OpenRequest>,
}

#[derive(Clone, Copy, Debug)]
struct OpenRequest {
    nonce: u64,
    sent_at: Duration,
}

/// A proof that the leader was current, as a receiver holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseProof {
    requested_at: Duration,
    age_at_request: Duration,
    duration: Duration,
    /// The revision that was in force at the proof.
    pub revision: u64,
    /// The version of the configuration that was in force at the proof.
    pub configuration_version: u64,
}

impl LeaseRequests {
    /// Notes a request that is sent after this call; returns its nonce.
    ///
    /// The call must come before the message is written: a moment taken later would let the lease
    /// outlast the proof.
    pub fn record_request(&mut self, now: Duration) -> u64 {
        self.last_nonce += 1;
        if self.open.len() == MAXIMUM_OPEN_REQUESTS {
            self.open.pop_front();
        }
        self.open.push_back(OpenRequest {
            nonce: self.last_nonce,
            sent_at: now,
        });
        self.last_nonce
    }

    /// The proof in a grant, or `None` when the grant answers no open request.
    pub fn accept_grant(&mut self, grant: &LeaseGrant) -> Option<LeaseProof> {
        let position = self
            .open
            .iter()
            .position(|open| open.nonce == grant.nonce)?;
        let request = self.open.remove(position)?;
        Some(LeaseProof {
            requested_at: request.sent_at,
            age_at_request: Duration::from_millis(grant.age_ms),
            duration: Duration::from_millis(grant.duration_ms),
            revision: grant.revision,
            configuration_version: grant.configuration_version,
        })
    }
}

impl LeaseProof {
    /// The greatest age that the proof can have.
    pub fn age(&self, now: Duration) -> Duration {
        (now + self.age_at_request).saturating_sub(self.requested_at)
    }

    /// Time that the lease lasts from its proof, less the allowance for clock drift.
    pub fn usable_duration(&self) -> Duration {
        self.duration * (1_000 - CLOCK_DRIFT_PER_MILLE) / 1_000
    }

    /// Whether the lease still holds.
    pub fn is_valid(&self, now: Duration) -> bool {
        self.age(now) < self.usable_duration()
    }

    /// Whether a receiver that this proof was passed on to may still hold the lease: without the
    /// allowance for clock drift, which only shortens the receiver's own count.
    pub fn may_be_held(&self, now: Duration) -> bool {
        self.age(now) < self.duration
    }

    /// Time until the lease ends; zero when it has ended.
    pub fn remaining(&self, now: Duration) -> Duration {
        self.usable_duration().saturating_sub(self.age(now))
    }

    /// Whether this proof was made later than `other`.
    pub fn is_newer_than(&self, other: &LeaseProof) -> bool {
        self.requested_at + other.age_at_request > other.requested_at + self.age_at_request
    }

    /// The grant that passes this proof on, for a request that arrived at `received_at`.
    ///
    /// The asker sent its request before `received_at`, so counting the age up to that moment is
    /// enough; it is rounded up to whole milliseconds.
    pub fn to_grant(&self, nonce: u64, received_at: Duration) -> LeaseGrant {
        let age = self.age(received_at);
        LeaseGrant {
            nonce,
            age_ms: age.as_micros().div_ceil(1_000) as u64,
            duration_ms: self.duration.as_millis() as u64,
            revision: self.revision,
            configuration_version: self.configuration_version,
        }
    }
}
