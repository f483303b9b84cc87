//! Loans of tokens between replicas: each asks another one in turn while its part of a tenant's quota is used up.

use std::{sync::Arc, time::Duration};

use sablehaven_consensus::ReplicaId;
use sablehaven_types::{LoanRequest, TokenLoan};
use tokio::time::sleep;

use super::desk::QuotaDesk;
use crate::peers::{Links, PeerPayload};

/// Time between two looks at what is wanted: a loan of another region has mostly come by then, and a caller that is
/// refused meanwhile comes back later than that.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Asks other replicas for what gateways want and this one lacks, until it is dropped. While no gateway asks for tokens
/// it rests.
pub(crate) async fn ask_for_loans(desk: Arc<QuotaDesk>, links: Arc<Links>) {
    let mut turn: usize = rand::random_range(0..1_024);
    loop {
        desk.asked().await;
        let lenders = links.connected();
        for request in desk.loans_wanted() {
            let Some(lender) = lender(&lenders, turn) else {
                break;
            };
            turn = turn.wrapping_add(1);
            links.send_payload(lender, PeerPayload::LoanRequest(request));
        }
        sleep(LOOK_INTERVAL).await;
    }
}

/// The replica whose turn it is.
fn lender(lenders: &[ReplicaId], turn: usize) -> Option<ReplicaId> {
    let position = turn.checked_rem(lenders.len())?;
    Some(lenders[position])
}

/// Answers other replicas' requests for loans, and takes what they lend.
pub(crate) struct LoanCounter {
    pub(crate) desk: Arc<QuotaDesk>,
    pub(crate) links: Arc<Links>,
}

impl LoanCounter {
    /// Lends to a replica what this one can spare; it hears nothing where that is nothing.
    pub(crate) fn answer(&self, borrower: ReplicaId, request: &LoanRequest) {
        if let Some(loan) = self.desk.lend(request) {
            let payload = PeerPayload::TokenLoan(loan);
            self.links.send_payload(borrower, payload);
        }
    }

    /// Takes a loan.
    pub(crate) fn receive(&self, loan: &TokenLoan) {
        self.desk.receive(loan);
    }
}

#[cfg(test)]
mod tests;
