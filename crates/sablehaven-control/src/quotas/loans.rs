//! Loans of tokens between replicas: while its part of a tenant's quota is used up, a replica asks the others in turn.

use std::{sync::Arc, time::Duration};

use sablehaven_consensus::ReplicaId;
use sablehaven_types::{LoanRequest, TokenLoan};
use tokio::time::sleep;

use super::replica_quotas::ReplicaQuotas;
use crate::peers::{Links, PeerPayload};

/// Time between two checks for missing tokens while gateways request some; short compared with the latency between two
/// replicas.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Requests from other replicas the tokens that gateways want and this replica lacks, until the future is dropped. Does
/// nothing while no gateway requests tokens.
pub(crate) async fn request_loans(quotas: Arc<ReplicaQuotas>, links: Arc<Links>) {
    loop {
        quotas.wait_for_requests().await;
        let lenders = links.connected();
        quotas.set_has_lenders(!lenders.is_empty());
        for request in quotas.loans_wanted() {
            let Some(lender) = select_lender(&lenders, request.number) else {
                break;
            };
            links.send_payload(lender, PeerPayload::LoanRequest(request));
        }
        quotas.decide_waiting();
        sleep(CHECK_INTERVAL).await;
    }
}

/// The replica to which a request is sent. A tenant's requests have consecutive numbers, so the replicas are asked in
/// turn.
fn select_lender(lenders: &[ReplicaId], number: u64) -> Option<ReplicaId> {
    let position = number.checked_rem(lenders.len() as u64)?;
    lenders.get(position as usize).copied()
}

/// Handles other replicas' loan requests and the loans that they grant.
pub(crate) struct LoanHandler {
    pub(crate) quotas: Arc<ReplicaQuotas>,
    /// The connections to the other replicas.
    pub(crate) links: Arc<Links>,
}

impl LoanHandler {
    /// Lends the tokens that this replica can spare; sends no reply if there are none.
    pub(crate) fn handle_request(&self, borrower: ReplicaId, request: &LoanRequest) {
        if let Some(loan) = self.quotas.lend(request) {
            let payload = PeerPayload::TokenLoan(loan);
            self.links.send_payload(borrower, payload);
        }
    }

    /// Adds borrowed tokens to this replica's part.
    pub(crate) fn handle_loan(&self, loan: &TokenLoan) {
        self.quotas.receive(loan);
    }
}

#[cfg(test)]
mod tests;
