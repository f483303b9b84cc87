//! Loans of tokens between replicas: each asks another one in turn while its part of a tenant's quota is used up.

use std::{sync::Arc, time::Duration};

use sablehaven_consensus::ReplicaId;
use sablehaven_types::{LoanRequest, TokenLoan};
use tokio::time::sleep;

use super::replica_quotas::ReplicaQuotas;
use crate::peers::{Links, PeerPayload};

/// Time between two looks at what is wanted while gateways ask: short against the way between two replicas.
const LOOK_INTERVAL: Duration = Duration::from_millis(5);

/// Asks other replicas for what gateways want and this one lacks, until it is dropped. While no gateway asks for tokens
/// it rests.
pub(crate) async fn request_loans(quotas: Arc<ReplicaQuotas>, links: Arc<Links>) {
    loop {
        quotas.asked().await;
        let lenders = links.connected();
        quotas.note_lenders(!lenders.is_empty());
        for request in quotas.loans_wanted() {
            let Some(lender) = lender(&lenders, request.number) else {
                break;
            };
            links.send_payload(lender, PeerPayload::LoanRequest(request));
        }
        quotas.settle();
        sleep(LOOK_INTERVAL).await;
    }
}

/// The replica that a request goes to: the numbers of a tenant's requests are consecutive, so each is asked in turn.
fn lender(lenders: &[ReplicaId], number: u64) -> Option<ReplicaId> {
    let position = number.checked_rem(lenders.len() as u64)?;
    lenders.get(position as usize).copied()
}

/// Answers other replicas' requests for loans, and takes what they lend.
pub(crate) struct LoanHandler {
    pub(crate) quotas: Arc<ReplicaQuotas>,
    /// The connections to the other replicas.
    pub(crate) links: Arc<Links>,
}

impl LoanHandler {
    /// Lends to a replica what this one can spare; it hears nothing where that is nothing.
    pub(crate) fn handle_request(&self, borrower: ReplicaId, request: &LoanRequest) {
        if let Some(loan) = self.quotas.lend(request) {
            let payload = PeerPayload::TokenLoan(loan);
            self.links.send_payload(borrower, payload);
        }
    }

    /// Takes a loan.
    pub(crate) fn handle_loan(&self, loan: &TokenLoan) {
        self.quotas.receive(loan);
    }
}

#[cfg(test)]
mod tests;
