//! Limits on the ledger's memory and on the issue times that it accepts.

use sablehaven_types::{RecordedOutcome, SettingChecks, SettingError};
use serde::{Deserialize, Serialize};

/// The limits of one ledger group.
///
/// Each command contains the limits of its proposer, so that replicas with different settings apply it with the same
/// result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LedgerLimits {
    /// How long a key is kept after its issue time, in milliseconds.
    pub retention_ms: u64,
    /// How far a key's issue time may be ahead of the ledger's clock, in milliseconds.
    pub future_ms: u64,
    /// The most keys that one group holds. Claims of further keys are refused, and their requests are not run.
    pub entries: u64,
    /// The maximum size of one recorded reply body, in bytes.
    pub body_bytes: u64,
    /// The maximum total size of the recorded reply bodies of one group, in bytes.
    pub total_body_bytes: u64,
}

impl Default for LedgerLimits {
    fn default() -> Self {
        Self {
            retention_ms: 60 * 60 * 1_000,
            future_ms: 60 * 1_000,
            entries: 200_000,
            body_bytes: 16 * 1_024,
            total_body_bytes: 64 * 1_024 * 1_024,
        }
    }
}

impl LedgerLimits {
    /// Returns an error for every invalid setting; the keys in the errors start with `prefix`.
    pub fn validate(&self, prefix: &str) -> Vec<SettingError> {
        let mut checks = SettingChecks::new(prefix);
        checks.at_least("retention_ms", self.retention_ms, 1_000);
        checks.at_least("future_ms", self.future_ms, 1);
        checks.at_least("entries", self.entries, 1);
        checks.into_errors()
    }

    /// Returns the outcome to record. A reply body that exceeds the limits is not recorded; the reply to a resend then
    /// says only that the request was dispatched.
    pub(super) fn outcome_within_limits(
        &self,
        outcome: &RecordedOutcome,
        remaining_body_bytes: u64,
    ) -> RecordedOutcome {
        match outcome {
            RecordedOutcome::Done { body }
                if body.len() as u64 > self.body_bytes.min(remaining_body_bytes) =>
            {
                RecordedOutcome::Unknown
            }
            outcome => outcome.clone(),
        }
    }
}
