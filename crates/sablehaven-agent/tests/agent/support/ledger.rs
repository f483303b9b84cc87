//! The ledger as the scripted relay answers for it: one map, no log.

use std::collections::HashMap;

use sablehaven_types::{
    ClaimAnswer, ClaimId, LedgerKey, LedgerReply, LedgerRequest, RecordedOutcome,
};

/// Where one key stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Entry {
    Held(ClaimId),
    Settled(ClaimId, RecordedOutcome),
    Released(ClaimId),
}

/// Scripted trouble: how many replies of a kind are lost after the request took effect.
#[derive(Clone, Copy, Debug, Default)]
pub struct Losses {
    pub claims: u32,
    pub settles: u32,
    pub releases: u32,
}

/// The ledger.
#[derive(Debug, Default)]
pub struct LedgerDouble {
    pub entries: HashMap<LedgerKey, Entry>,
    /// Every request in its order of arrival.
    pub requests: Vec<LedgerRequest>,
    pub losses: Losses,
    /// Answers nothing and does nothing.
    pub unreachable: bool,
    /// Requests that came while it was not reachable.
    pub unanswered: u32,
    /// What every claim is answered with, in place of the ledger's own word.
    pub forced: Option<ClaimAnswer>,
    fingerprints: HashMap<LedgerKey, u64>,
}

impl LedgerDouble {
    /// Serves a request; `None` means that the reply is lost.
    pub fn serve(&mut self, request: &LedgerRequest) -> Option<LedgerReply> {
        if self.unreachable {
            self.unanswered += 1;
            return None;
        }
        self.requests.push(request.clone());
        let reply = self.apply(request);
        let losses = match request {
            LedgerRequest::Claim { .. } => &mut self.losses.claims,
            LedgerRequest::Settle { .. } => &mut self.losses.settles,
            LedgerRequest::Release { .. } => &mut self.losses.releases,
            LedgerRequest::LookUp { .. } => return Some(reply),
        };
        if *losses > 0 {
            *losses -= 1;
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
                let settled = Entry::Settled(*claim, outcome.clone());
                self.finish(key, *claim, settled)
            }
            LedgerRequest::Release { key, claim } => {
                self.finish(key, *claim, Entry::Released(*claim))
            }
            LedgerRequest::LookUp { .. } => LedgerReply::Claim(ClaimAnswer::Free),
        }
    }

    fn claim(&mut self, key: &LedgerKey, claim: ClaimId, fingerprint: u64) -> ClaimAnswer {
        if let Some(forced) = &self.forced {
            return forced.clone();
        }
        let known = self.fingerprints.insert(key.clone(), fingerprint);
        if known.is_some_and(|known| known != fingerprint) {
            return ClaimAnswer::FingerprintMismatch;
        }
        match self.entries.get(key) {
            Some(Entry::Held(holder)) if *holder == claim => ClaimAnswer::Granted,
            Some(Entry::Held(_)) => ClaimAnswer::Held,
            Some(Entry::Settled(_, outcome)) => ClaimAnswer::Settled(outcome.clone()),
            Some(Entry::Released(released)) if *released == claim => ClaimAnswer::Released,
            Some(Entry::Released(_)) | None => {
                self.entries.insert(key.clone(), Entry::Held(claim));
                ClaimAnswer::Granted
            }
        }
    }

    fn finish(&mut self, key: &LedgerKey, claim: ClaimId, to: Entry) -> LedgerReply {
        let holder = match self.entries.get(key) {
            Some(Entry::Held(holder) | Entry::Settled(holder, _) | Entry::Released(holder)) => {
                *holder
            }
            None => claim,
        };
        if holder != claim {
            return LedgerReply::NotHeld;
        }
        self.entries.insert(key.clone(), to);
        LedgerReply::Recorded
    }
}
