//! Connections that other replicas dialled: their messages go to the driver.

use std::{sync::Arc, time::Duration};

use tokio::time::timeout;

use super::{
    introduction::{PeerConnection, PeerError},
    payload::{PeerPayload, alive, decode},
};
use crate::{
    driver::Input,
    quotas::{LoanHandler, answer_probe, handle_probe_answer},
    server::Context,
};

/// Time without any message after which a dialler is given up; it sends signs of life meanwhile.
const SILENCE_LIMIT: Duration = Duration::from_secs(5);

/// Receives from another replica until the connection ends.
pub(crate) async fn receive_from_peer(
    server: &Context,
    mut connection: PeerConnection,
) -> Result<(), PeerError> {
    let context = &server.peers;
    let loans = LoanHandler {
        quotas: Arc::clone(&server.quotas),
        links: Arc::clone(&server.links),
    };
    let peer = connection.peer_address.to_string();
    let theirs = context.introduce(&mut connection).await?;
    loop {
        let received = timeout(SILENCE_LIMIT, connection.reader.receive()).await;
        let Ok(received) = received else {
            return Err(PeerError::Silent { peer });
        };
        let received = received?;
        match decode(&received, &peer)? {
            PeerPayload::Consensus { to, message } if to == context.replica => {
                let input = Input::Peer {
                    from: theirs.replica,
                    group: received.group,
                    message,
                };
                if !context.driver.send(input).await {
                    return Ok(());
                }
            }
            // Meant for the replica whose disk was here before.
            PeerPayload::Consensus { .. } => {}
            PeerPayload::Alive(_) => connection.writer.send(&alive(context, &peer)?).await?,
            // On the next connection the leader hears which reading this replica has.
            PeerPayload::Listing(update) => {
                if !context.listing.take(update) {
                    return Err(PeerError::ListingGap { peer });
                }
            }
            PeerPayload::LoanRequest(request) => loans.handle_request(theirs.replica, &request),
            PeerPayload::TokenLoan(loan) => loans.handle_loan(&loan),
            PeerPayload::PartProbe(probe) => {
                answer_probe(server, theirs.replica, probe).await;
            }
            PeerPayload::PartAnswer(answer) => {
                handle_probe_answer(server, theirs.replica, answer).await;
            }
            PeerPayload::Introduction(_) => {}
        }
    }
}
