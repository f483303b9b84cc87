//! The ledger's record of one key.

use sablehaven_types::{ClaimAnswer, ClaimId, LedgerReply, RecordedOutcome};
use serde::{Deserialize, Serialize};

/// The most released claims that are recorded for one key. An older claim that the network delivers again may be
/// granted although its sender no longer dispatches the request. This makes one key unavailable, but never causes a
/// second dispatch.
const MAX_RELEASED_CLAIMS: usize = 4;

/// The claims of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct LedgerEntry {
    /// The fingerprint of the request; a claim with a different one is refused.
    fingerprint: u64,
    status: EntryStatus,
    /// Released claims, oldest first.
    released: Vec<ClaimId>,
}

/// The state of a key that has been claimed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum EntryStatus {
    /// The holder of the claim may dispatch the request once, and may have done so already.
    Held(ClaimId),
    /// The holder of the claim has dispatched the request, with this outcome.
    Settled(ClaimId, RecordedOutcome),
    /// The claim was released; another one may be granted.
    Released,
}

impl LedgerEntry {
    /// A new entry that is held by a claim.
    pub(super) fn held(claim: ClaimId, fingerprint: u64) -> Self {
        Self {
            fingerprint,
            status: EntryStatus::Held(claim),
            released: Vec::new(),
        }
    }

    /// The size of the recorded reply body.
    pub(super) fn body_bytes(&self) -> u64 {
        match &self.status {
            EntryStatus::Settled(_, RecordedOutcome::Done { body }) => body.len() as u64,
            _ => 0,
        }
    }

    /// Grants a claim if the last one was released. A claim that the holder sends again is granted again: the holder
    /// dispatches the request only once, however many replies it gets.
    pub(super) fn claim(&mut self, claim: ClaimId, fingerprint: u64) -> ClaimAnswer {
        if fingerprint != self.fingerprint {
            return ClaimAnswer::FingerprintMismatch;
        }
        if self.released.contains(&claim) {
            return ClaimAnswer::Released;
        }
        match &self.status {
            EntryStatus::Held(holder) if *holder == claim => ClaimAnswer::Granted,
            EntryStatus::Held(_) => ClaimAnswer::Held,
            EntryStatus::Settled(_, outcome) => ClaimAnswer::Settled(outcome.clone()),
            EntryStatus::Released => {
                self.status = EntryStatus::Held(claim);
                ClaimAnswer::Granted
            }
        }
    }

    /// Records the outcome of the claim that holds the key. A later outcome for the same claim does not replace the
    /// first.
    pub(super) fn settle(&mut self, claim: ClaimId, outcome: RecordedOutcome) -> LedgerReply {
        match &self.status {
            EntryStatus::Held(holder) if *holder == claim => {
                self.status = EntryStatus::Settled(claim, outcome);
                LedgerReply::Recorded
            }
            EntryStatus::Settled(holder, _) if *holder == claim => LedgerReply::Recorded,
            _ => LedgerReply::NotHeld,
        }
    }

    /// Releases a claim whose request was not dispatched, so that another claim may be granted.
    pub(super) fn release(&mut self, claim: ClaimId) -> LedgerReply {
        if self.released.contains(&claim) {
            return LedgerReply::Recorded;
        }
        match &self.status {
            EntryStatus::Held(holder) if *holder == claim => {
                self.status = EntryStatus::Released;
                self.record_released(claim);
                LedgerReply::Recorded
            }
            _ => LedgerReply::NotHeld,
        }
    }

    /// Records a released claim in place of the oldest one if there are already [`MAX_RELEASED_CLAIMS`].
    fn record_released(&mut self, claim: ClaimId) {
        if self.released.len() == MAX_RELEASED_CLAIMS {
            self.released.remove(0);
        }
        self.released.push(claim);
    }

    /// Returns the state of the key without claiming it.
    pub(super) fn look_up(&self) -> ClaimAnswer {
        match &self.status {
            EntryStatus::Held(_) => ClaimAnswer::Held,
            EntryStatus::Settled(_, outcome) => ClaimAnswer::Settled(outcome.clone()),
            EntryStatus::Released => ClaimAnswer::Released,
        }
    }
}
