//! Bounds of the ledger's memory and of the issue times that it accepts.

use sablehaven_types::{RecordedOutcome, SettingChecks, SettingError};
use serde::{Deserialize, Serialize};

/// Bounds of one ledger group.
///
/// They travel inside each command, so that replicas with different settings still apply it alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LedgerLimits {
    /// Time for which a key is kept after its issue time, in milliseconds.
    pub retention_ms: u64,
    /// How far a key's issue time may lie ahead of the ledger's clock, in milliseconds.
    pub future_ms: u64,
    /// Keys that one group holds; further claims are refused as not run.
    pub entries: u64,
    /// Bytes of one recorded reply body.
    pub body_bytes: u64,
    /// Bytes of all recorded reply bodies of one group.
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
    /// Every setting that cannot be used; keys start with `prefix`.
    pub fn validate(&self, prefix: &str) -> Vec<SettingError> {
        let mut checks = SettingChecks::new(prefix);
        checks.at_least("retention_ms", self.retention_ms, 1_000);
        checks.at_least("future_ms", self.future_ms, 1);
        checks.at_least("entries", self.entries, 1);
        checks.into_errors()
    }

    /// The outcome as it is recorded: a reply body over the limits is left out, and a resend then
    /// learns only that the request was dispatched.
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
