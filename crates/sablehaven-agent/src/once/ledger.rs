//! Calls to the ledger, which are sent again until they are answered or a deadline has passed.

use std::time::Instant;

use sablehaven_subscription::Subscription;
use sablehaven_types::{ClaimId, LedgerKey, LedgerReply, LedgerRequest, RecordedOutcome};

use super::decision::{ClaimDecision, after_claim};
use crate::{config::Timing, metrics::Metrics};

/// The ledger entry of one request, with the means to claim, release and settle it.
#[derive(Clone)]
pub struct LedgerEntry {
    /// The connection through which the ledger is called.
    pub subscription: Subscription,
    /// Timeouts, delays and intervals.
    pub timing: Timing,
    /// The agent's metrics.
    pub metrics: Metrics,
    /// The key of the request.
    pub key: LedgerKey,
    /// The id of this agent's claim. A call whose reply was lost is sent again with the same id, by
    /// which the ledger recognizes it.
    pub claim: ClaimId,
}

impl LedgerEntry {
    /// Claims the key. `None` means that no answer came before `deadline`. The claim may still take
    /// effect, so the request must not be dispatched and the claim must be released.
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

    /// Releases the claim. Returns `false` if the ledger does not hold the claim or if the release
    /// was not recorded before `deadline`.
    pub async fn release(&self, deadline: Instant) -> bool {
        let request = LedgerRequest::Release {
            key: self.key.clone(),
            claim: self.claim,
        };
        self.record("release", &request, deadline).await
    }

    /// Records the outcome. Returns `false` if the ledger does not hold the claim or if the outcome
    /// was not recorded before `deadline`.
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
