//! The request ledger of the scripted relay: a map without a log.

use std::collections::HashMap;

use sablehaven_types::{
    ClaimAnswer, ClaimId, LedgerKey, LedgerReply, LedgerRequest, RecordedOutcome,
};

/// The state of a ledger key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LedgerEntry {
    Held(ClaimId),
    Settled(ClaimId, RecordedOutcome),
    Released(ClaimId),
}

/// How many replies of each kind are still to be lost after the request has taken effect.
#[derive(Clone, Copy, Debug, Default)]
pub struct LostReplies {
    pub claims: u32,
    pub settles: u32,
    pub releases: u32,
}

/// A scripted ledger.
#[derive(Debug, Default)]
pub struct LedgerDouble {
    pub entries: HashMap<LedgerKey, LedgerEntry>,
    /// All requests in order of arrival.
    pub requests: Vec<LedgerRequest>,
    pub lost_replies: LostReplies,
    /// Whether requests are dropped without effect and without a reply.
    pub unreachable: bool,
    /// Number of requests that arrived while the ledger was unreachable.
    pub unanswered_requests: u32,
    /// If set, the answer to every claim, whatever the entries say.
    pub forced_answer: Option<ClaimAnswer>,
    fingerprints: HashMap<LedgerKey, u64>,
}

impl LedgerDouble {
    /// Applies a request. Returns `None` if the reply is lost.
    pub fn serve(&mut self, request: &LedgerRequest) -> Option<LedgerReply> {
        if self.unreachable {
            self.unanswered_requests += 1;
            return None;
        }
        self.requests.push(request.clone());
        let reply = self.apply(request);
        let lost_replies = match request {
            LedgerRequest::Claim { .. } => &mut self.lost_replies.claims,
            LedgerRequest::Settle { .. } => &mut self.lost_replies.settles,
            LedgerRequest::Release { .. } => &mut self.lost_replies.releases,
            LedgerRequest::LookUp { .. } => return Some(reply),
        };
        if *lost_replies > 0 {
            *lost_replies -= 1;
            return None;
        }
        Some(reply)
    }

    pub fn claims(&self) -> Vec<ClaimId> {
        let claims = self.requests.iter().filter_map(|request| match request {
            LedgerRequest::Claim { claim, .. } => Some(*claim),
            _ => None,
        });
        claims.collect()
    }

    fn apply(&mut self, request: &LedgerRequest) -> LedgerReply {
        match request {
            LedgerRequest::Claim {
                key,
                claim,
                fingerprint,
            } => LedgerReply::Claim(self.claim(key, *claim, *fingerprint)),
            LedgerRequest::Settle {
                key,
                claim,
                outcome,
            } => {
                let settled = LedgerEntry::Settled(*claim, outcome.clone());
                self.finish(key, *claim, settled)
            }
            LedgerRequest::Release { key, claim } => {
                self.finish(key, *claim, LedgerEntry::Released(*claim))
            }
            LedgerRequest::LookUp { .. } => LedgerReply::Claim(ClaimAnswer::Free),
        }
    }

    fn claim(&mut self, key: &LedgerKey, claim: ClaimId, fingerprint: u64) -> ClaimAnswer {
        if let Some(forced) = &self.forced_answer {
            return forced.clone();
        }
        let known = self.fingerprints.insert(key.clone(), fingerprint);
        if known.is_some_and(|known| known != fingerprint) {
            return ClaimAnswer::FingerprintMismatch;
        }
        match self.entries.get(key) {
            Some(LedgerEntry::Held(holder)) if *holder == claim => ClaimAnswer::Granted,
            Some(LedgerEntry::Held(_)) => ClaimAnswer::Held,
            Some(LedgerEntry::Settled(_, outcome)) => ClaimAnswer::Settled(outcome.clone()),
            Some(LedgerEntry::Released(released)) if *released == claim => ClaimAnswer::Released,
            Some(LedgerEntry::Released(_)) | None => {
                self.entries.insert(key.clone(), LedgerEntry::Held(claim));
                ClaimAnswer::Granted
            }
        }
    }

    fn finish(&mut self, key: &LedgerKey, claim: ClaimId, new_entry: LedgerEntry) -> LedgerReply {
        let holder = match self.entries.get(key) {
            Some(
                LedgerEntry::Held(holder)
                | LedgerEntry::Settled(holder, _)
                | LedgerEntry::Released(holder),
            ) => *holder,
            None => claim,
        };
        if holder != claim {
            return LedgerReply::NotHeld;
        }
        self.entries.insert(key.clone(), new_entry);
        LedgerReply::Recorded
    }
}
