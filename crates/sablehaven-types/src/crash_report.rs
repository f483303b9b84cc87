//! Reports that gateways exchange about requests that crash their servers.

use serde::{Deserialize, Serialize};

/// A hash of a request's content, equal for every attempt of the request at every gateway.
pub type RequestFingerprint = u64;

/// Formats a fingerprint for log lines, in the same way in every role.
pub fn fingerprint_text(fingerprint: RequestFingerprint) -> String {
    format!("{fingerprint:016x}")
}

/// What is known about a request during which servers crashed. Merging reports about one request is commutative and
/// idempotent, so reports may arrive in any order and more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// Increases each time a server answers the request. The counts of earlier revisions no longer apply.
    pub revision: u32,
    /// The number of attempts whose connection was lost while the server had the request, as known to one gateway.
    pub lost: u32,
    /// How many of these were the only attempt of the request at the time and were followed by the server's exit.
    pub crashes: u32,
}

impl CrashReport {
    /// Creates a report about a request with no lost attempts.
    pub fn new(fingerprint: RequestFingerprint) -> Self {
        Self {
            fingerprint,
            revision: 0,
            lost: 0,
            crashes: 0,
        }
    }

    /// Merges another report about the same request. Returns `false` if it contains nothing new.
    pub fn merge(&mut self, other: &Self) -> bool {
        let previous = *self;
        if other.revision > self.revision {
            *self = *other;
        } else if other.revision == self.revision {
            self.lost = self.lost.max(other.lost);
            self.crashes = self.crashes.max(other.crashes);
        }
        *self != previous
    }

    /// Returns whether connections were lost but no crash was seen. The usual cause of that is not the request.
    pub fn is_loss_only(&self) -> bool {
        self.lost > 0 && self.crashes == 0
    }

    /// Clears the counts and starts a new revision, because a server has answered the request.
    pub fn clear(&mut self) {
        *self = Self {
            revision: self.revision.saturating_add(1),
            ..Self::new(self.fingerprint)
        };
    }
}
