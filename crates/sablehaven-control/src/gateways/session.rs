//! The connection of a gateway: receives its messages and hands its requests to the [`Writer`].

mod writer;

use std::{sync::Arc, time::Duration};

use sablehaven_types::{Distance, ListingNumber, TokenReply};
use sablehaven_wire::{
    Connection, ControlToGateway, FrameReader, GatewayStatus, GatewayToControl, WireError,
};
use tokio::{
    sync::{mpsc, watch},
    time::timeout,
};

use self::writer::Writer;
use crate::{quotas::ReplySender, server::Context};

/// Time without a message after which the connection is closed.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Requests of a gateway that may wait while earlier messages are being written; it sends two per second at most.
const REQUEST_QUEUE_LENGTH: usize = 8;

/// Batches of token replies that may wait while earlier messages are being written. Further ones are dropped: by then
/// the gateway has asked another replica.
const REPLY_QUEUE_LENGTH: usize = 256;

/// Errors of a gateway connection.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub(crate) enum GatewaySessionError {
    /// {0}
    Wire(#[from] WireError),
    /// gateway {peer} sent no message within the timeout
    ReceiveTimeout {
        /// The address of the gateway.
        peer: String,
    },
    /// sending to gateway {peer} timed out
    SendTimeout {
        /// The address of the gateway.
        peer: String,
    },
}

/// A request of a gateway.
enum GatewayRequest {
    /// The routes, if they are newer than this version.
    Routes(u64),
    /// The update from the listing with this number to the latest one.
    Listing(ListingNumber),
    /// Whether to send the members of the deployment from now on.
    Prefer(bool),
}

/// Serves a gateway until its connection ends: records its status, announces the versions of the routes and the listing
/// as they change, and sends the routes, the listing and the members that it requests.
pub(crate) async fn serve_gateway(
    context: Arc<Context>,
    connection: Connection<GatewayToControl, ControlToGateway>,
) {
    let session = context.gateways.open_session();
    let peer = connection.peer_address.to_string();
    let (status_sender, status) = watch::channel(None);
    let (request_sender, requests) = mpsc::channel(REQUEST_QUEUE_LENGTH);
    let (reply_sender, replies) = mpsc::channel(REPLY_QUEUE_LENGTH);
    let queues = WriterQueues {
        request_sender,
        reply_sender,
    };
    let reader = receive_messages(
        &context,
        session,
        connection.reader,
        status_sender,
        queues,
        &peer,
    );
    let writer = Writer::new(
        Arc::clone(&context),
        connection.peer_address,
        connection.writer,
    );
    let result = tokio::select! {
        result = reader => result,
        result = writer.run(status, requests, replies) => result,
    };
    context.gateways.close_session(session);
    if let Err(error) = result {
        log::info!("{error}");
    }
}

/// Receives messages until the connection fails or times out.
async fn receive_messages(
    context: &Context,
    session: u64,
    mut reader: FrameReader<GatewayToControl>,
    status_sender: watch::Sender<Option<GatewayStatus>>,
    queues: WriterQueues,
    peer: &str,
) -> Result<(), GatewaySessionError> {
    // Set by the status, which is the first message on the connection.
    let mut distance = Distance::Zone;
    let mut counted_bytes = 0;
    loop {
        let Ok(received) = timeout(SILENCE_TIMEOUT, reader.receive()).await else {
            let peer = peer.to_owned();
            return Err(GatewaySessionError::ReceiveTimeout { peer });
        };
        let name = match received? {
            GatewayToControl::Status(status) => {
                distance = Distance::between(&context.config.placement, &status.placement);
                context.gateways.record_status(session, status.clone());
                status_sender.send_replace(Some(status));
                "status"
            }
            GatewayToControl::Alive(load) => {
                context.gateways.record_load(session, load);
                "gateway_alive"
            }
            GatewayToControl::Crashes(reports) => {
                context.gateways.crash_reports.record(&reports);
                "crashes"
            }
            GatewayToControl::FetchRoutes(held) => {
                queues.enqueue_request(GatewayRequest::Routes(held)).await;
                "fetch_routes"
            }
            GatewayToControl::FetchListing(held) => {
                queues.enqueue_request(GatewayRequest::Listing(held)).await;
                "fetch_listing"
            }
            GatewayToControl::TakeTokens(requests) => {
                let replies = context.quotas.take(&requests, &queues.reply_sender);
                queues.enqueue_replies(context, replies);
                "take_tokens"
            }
            GatewayToControl::Prefer(is_preferred) => {
                queues
                    .enqueue_request(GatewayRequest::Prefer(is_preferred))
                    .await;
                "prefer"
            }
        };
        let bytes = reader.received_bytes();
        context
            .metrics
            .gateway_bytes(name, distance, bytes - counted_bytes);
        counted_bytes = bytes;
    }
}

/// Queues from the receiving side of the connection to its writer.
struct WriterQueues {
    request_sender: mpsc::Sender<GatewayRequest>,
    reply_sender: ReplySender,
}

impl WriterQueues {
    /// Sending fails only if the writer has ended; the connection ends then as well.
    async fn enqueue_request(&self, request: GatewayRequest) {
        let _ = self.request_sender.send(request).await;
    }

    /// Never waits, since further token requests are queued behind this one; replies are dropped if the queue is full.
    fn enqueue_replies(&self, context: &Context, replies: Vec<TokenReply>) {
        if replies.is_empty() {
            return;
        }
        if self.reply_sender.try_send(replies).is_err() {
            context.metrics.token_replies_dropped.inc();
        }
    }
}
