//! One key of the ledger.

use sablehaven_types::{ClaimAnswer, ClaimId, LedgerReply, RecordedOutcome};
use serde::{Deserialize, Serialize};

/// Released claims that one key remembers. A claim older than these, delivered again by the
/// network, would hold the key without anyone dispatching: a loss of service for one key, never a
/// second dispatch.
const MAX_RELEASED_CLAIMS: usize = 4;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct LedgerEntry {
    fingerprint: u64,
    status: EntryStatus,
    /// Claims that were given back, oldest first.
    released: Vec<ClaimId>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum EntryStatus {
    /// The claim's holder may dispatch once, and may have done so.
    Held(ClaimId),
    /// The claim's holder dispatched, and this came of it.
    Settled(ClaimId, RecordedOutcome),
    /// The claim was given back; another one may be granted.
    Released,
}

impl LedgerEntry {
    pub(super) fn held(claim: ClaimId, fingerprint: u64) -> Self {
        Self {
            fingerprint,
            status: EntryStatus::Held(claim),
            released: Vec::new(),
        }
    }

    pub(super) fn body_bytes(&self) -> u64 {
        match &self.status {
            EntryStatus::Settled(_, RecordedOutcome::Done { body }) => body.len() as u64,
            _ => 0,
        }
    }

    /// The holder's own resend is granted again: the holder dispatches once whatever it hears.
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

    /// The first outcome stays: a later one for the same claim changes nothing.
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

    fn record_released(&mut self, claim: ClaimId) {
        if self.released.len() == MAX_RELEASED_CLAIMS {
            self.released.remove(0);
        }
        self.released.push(claim);
    }

    pub(super) fn look_up(&self) -> ClaimAnswer {
        match &self.status {
            EntryStatus::Held(_) => ClaimAnswer::Held,
            EntryStatus::Settled(_, outcome) => ClaimAnswer::Settled(outcome.clone()),
            EntryStatus::Released => ClaimAnswer::Released,
        }
    }
}
