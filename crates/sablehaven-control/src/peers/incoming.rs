//! Receives the messages on connections that other replicas opened, and passes them to the driver and the other
//! components.

use std::{sync::Arc, time::Duration};

use tokio::time::timeout;

use super::{
    introduction::{PeerConnection, PeerError},
    payload::{PeerPayload, decode, keepalive_message},
};
use crate::{
    driver::Input,
    quotas::{LoanHandler, answer_probe, handle_probe_answer},
    server::Context,
};

/// The time without any message after which a connection is closed. The other replica sends keepalives much more often.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(5);

/// Receives messages from another replica until the connection or the driver ends.
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
    let remote = context.exchange_introductions(&mut connection).await?;
    loop {
        let received = timeout(SILENCE_TIMEOUT, connection.reader.receive()).await;
        let Ok(received) = received else {
            return Err(PeerError::Timeout { peer });
        };
        let received = received?;
        match decode(&received, &peer)? {
            PeerPayload::Consensus { to, message } if to == context.replica => {
                let input = Input::Peer {
                    from: remote.replica,
                    group: received.group,
                    message,
                };
                if !context.driver.send(input).await {
                    return Ok(());
                }
            }
            // Addressed to another identity: the one that this replica had before it lost its disk.
            PeerPayload::Consensus { .. } => {}
            PeerPayload::Alive(_) => {
                connection
                    .writer
                    .send(&keepalive_message(context, &peer)?)
                    .await?
            }
            // The error closes the connection. The leader reconnects and learns from a keepalive which listing this
            // replica has.
            PeerPayload::Listing(update) => {
                if !context.listing.apply(update) {
                    return Err(PeerError::ListingGap { peer });
                }
            }
            PeerPayload::LoanRequest(request) => loans.handle_request(remote.replica, &request),
            PeerPayload::TokenLoan(loan) => loans.handle_loan(&loan),
            PeerPayload::PartProbe(probe) => {
                answer_probe(server, remote.replica, probe).await;
            }
            PeerPayload::PartAnswer(answer) => {
                handle_probe_answer(server, remote.replica, answer).await;
            }
            PeerPayload::Introduction(_) => {}
        }
    }
}
