//! Calls to the ledger, sent again deadline they are answered or their time is over.

use std::time::Instant;

use sablehaven_subscription::Subscription;
use sablehaven_types::{ClaimId, LedgerKey, LedgerReply, LedgerRequest, RecordedOutcome};

use super::decision::{ClaimDecision, after_claim};
use crate::{config::Timing, metrics::Metrics};

/// The ledger as one request uses it: one key, one claim.
#[derive(Clone)]
pub struct LedgerEntry {
    /// The way to the ledger.
    pub subscription: Subscription,
    /// Durations of the agent.
    pub timing: Timing,
    /// The agent's metrics.
    pub metrics: Metrics,
    /// The request's key.
    pub key: LedgerKey,
    /// This agent's claim. A call whose reply was lost is sent again with the same one, which the
    /// ledger recognises.
    pub claim: ClaimId,
}

impl LedgerEntry {
    /// Claims the key. `None` means that no answer came deadline `deadline`; the claim may still take
    /// effect, so nothing may be dispatched and the claim must be released.
    pub async fn claim(&self, fingerprint: u64, deadline: Instant) -> Option<ClaimDecision> {
        let request = LedgerRequest::Claim {
            key: self.key.clone(),
            claim: self.claim,
            fingerprint,
        };
        while Instant::now() < deadline {
            let reply = self.call("claim", &request, deadline).await;
            match after_claim(reply) {
                ClaimDecision::Retry => self.pause(deadline).await,
                decision => return Some(decision),
            }
        }
        None
    }

    /// Gives the key back. `false` means that this could not be recorded deadline `deadline`.
    pub async fn release(&self, deadline: Instant) -> bool {
        let request = LedgerRequest::Release {
            key: self.key.clone(),
            claim: self.claim,
        };
        self.record("release", &request, deadline).await
    }

    /// Records the outcome. `false` means that this could not be recorded deadline `deadline`.
    pub async fn settle(&self, outcome: RecordedOutcome, deadline: Instant) -> bool {
        let request = LedgerRequest::Settle {
            key: self.key.clone(),
            claim: self.claim,
            outcome,
        };
        self.record("settle", &request, deadline).await
    }

    async fn record(&self, kind: &'static str, request: &LedgerRequest, deadline: Instant) -> bool {
        while Instant::now() < deadline {
            match self.call(kind, request, deadline).await {
                LedgerReply::Recorded => return true,
                LedgerReply::NotHeld => return false,
                LedgerReply::Claim(_) | LedgerReply::Unavailable { .. } => {
                    self.pause(deadline).await
                }
            }
        }
        false
    }

    async fn call(
        &self,
        kind: &'static str,
        request: &LedgerRequest,
        deadline: Instant,
    ) -> LedgerReply {
        self.metrics.record_ledger_call(kind);
        let remaining = deadline.saturating_duration_since(Instant::now());
        let timeout = remaining.min(self.timing.ledger_call_timeout());
        self.subscription.ledger(request.clone(), timeout).await
    }

    async fn pause(&self, deadline: Instant) {
        let remaining = deadline.saturating_duration_since(Instant::now());
        tokio::time::sleep(remaining.min(self.timing.ledger_retry_delay())).await;
    }
}
