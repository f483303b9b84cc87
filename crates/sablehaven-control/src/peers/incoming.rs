//! Connections that other replicas dialled: their messages go to the driver.

use std::time::Duration;

use tokio::time::timeout;

use super::introduction::{PeerConnection, PeerContext, PeerError, PeerPayload, alive, decode};
use crate::{driver::Input, quotas::LoanCounter};

/// Time without any message after which a dialler is given up; it sends signs of life meanwhile.
const SILENCE_LIMIT: Duration = Duration::from_secs(5);

/// Receives from another replica until the connection ends.
pub(crate) async fn receive_from_peer(
    context: &PeerContext,
    loans: &LoanCounter,
    mut connection: PeerConnection,
) -> Result<(), PeerError> {
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
            PeerPayload::LoanRequest(request) => loans.answer(theirs.replica, &request),
            PeerPayload::TokenLoan(loan) => loans.receive(&loan),
            PeerPayload::Introduction(_) => {}
        }
    }
}
