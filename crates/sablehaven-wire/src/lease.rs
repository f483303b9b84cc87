//! Lease arithmetic of a receiver: an agent, or a relay on behalf of its agents.
//!
//! The age of a proof is measured on the receiver's own monotonic clock. It is the time since the
//! request was sent plus the age stated in the grant. The proof was made no earlier than the time
//! of sending minus the stated age. So whatever the delay of the messages, the receiver may consider
//! the lease to end too early, but never too late.
//! Source: C. G. Gray and D. R. Cheriton, "Leases: an efficient fault-tolerant mechanism for
//! distributed file cache consistency", SOSP 1989.
//!
//! Times are durations since an arbitrary starting point of the receiver's clock.

use std::{collections::VecDeque, time::Duration};

use crate::LeaseGrant;

/// The fraction by which a lease is shortened, in thousandths, in case the monotonic clocks of two
/// machines run at different rates. Ordinary clocks differ by less than one thousandth.
pub const CLOCK_DRIFT_PER_MILLE: u32 = 10;

/// Maximum number of unanswered requests. Beyond it, the oldest request is discarded.
const MAXIMUM_PENDING_REQUESTS: usize = 16;

/// The lease requests of a receiver that are not answered yet.
#[derive(Debug, Default)]
pub struct LeaseRequests {
    last_nonce: u64,
    pending: VecDeque<PendingRequest>,
}

#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    nonce: u64,
    sent_at: Duration,
}

/// A proof that the leader was current, as held by a receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseProof {
    requested_at: Duration,
    age_at_request: Duration,
    duration: Duration,
    /// The revision in force when the proof was made.
    pub revision: u64,
    /// The configuration version in force when the proof was made.
    pub configuration_version: u64,
}

impl LeaseRequests {
    /// Records a request that is about to be sent. Returns its nonce.
    ///
    /// Must be called before the message is written. A later time would let the lease outlast the
    /// proof.
    pub fn record_request(&mut self, now: Duration) -> u64 {
        self.last_nonce += 1;
        if self.pending.len() == MAXIMUM_PENDING_REQUESTS {
            self.pending.pop_front();
        }
        self.pending.push_back(PendingRequest {
            nonce: self.last_nonce,
            sent_at: now,
        });
        self.last_nonce
    }

    /// Returns the proof in a grant, or `None` if the grant answers no pending request.
    pub fn accept_grant(&mut self, grant: &LeaseGrant) -> Option<LeaseProof> {
        let position = self
            .pending
            .iter()
            .position(|request| request.nonce == grant.nonce)?;
        let request = self.pending.remove(position)?;
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
    /// Returns the upper bound of the proof's age.
    pub fn age(&self, now: Duration) -> Duration {
        (now + self.age_at_request).saturating_sub(self.requested_at)
    }

    /// Returns the duration of the lease from its proof on, minus the allowance for clock drift.
    pub fn usable_duration(&self) -> Duration {
        self.duration * (1_000 - CLOCK_DRIFT_PER_MILLE) / 1_000
    }

    /// Returns whether the lease has not expired.
    pub fn is_valid(&self, now: Duration) -> bool {
        self.age(now) < self.usable_duration()
    }

    /// Returns whether a receiver to which this proof was forwarded may still hold the lease. The
    /// allowance for clock drift is not subtracted, since it only shortens the time for which the
    /// receiver itself uses the lease.
    pub fn may_be_held(&self, now: Duration) -> bool {
        self.age(now) < self.duration
    }

    /// Returns the time until the lease expires, or zero if it has expired.
    pub fn remaining(&self, now: Duration) -> Duration {
        self.usable_duration().saturating_sub(self.age(now))
    }

    /// Returns whether this proof was made later than `other`.
    pub fn is_newer_than(&self, other: &LeaseProof) -> bool {
        self.requested_at + other.age_at_request > other.requested_at + self.age_at_request
    }

    /// Returns a grant that forwards this proof in answer to a request that arrived at `received_at`.
    ///
    /// The requester sent its request before `received_at`, so it is sufficient to measure the age
    /// up to that time. The age is rounded up to whole milliseconds.
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
