//! One connection of a gateway.

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

/// A gateway that is silent for so long is gone.
const SILENCE_LIMIT: Duration = Duration::from_secs(2);
/// Requests of a gateway that wait until what was sent before has been taken; it asks twice a second at most.
const WAITING_REQUESTS: usize = 8;

/// Answers to requests for tokens that wait until what was sent before has been taken. Beyond them the gateway has long
/// asked elsewhere.
const WAITING_REPLIES: usize = 256;

/// Errors of a gateway's connection.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub(crate) enum GatewaySessionError {
    /// {0}
    Wire(#[from] WireError),
    /// connection of gateway {peer}: no message in time
    Silent {
        /// The gateway.
        peer: String,
    },
    /// send to gateway {peer}: not taken in time
    Slow {
        /// The gateway.
        peer: String,
    },
}

/// What a gateway asks for.
enum GatewayRequest {
    /// Routes that are newer than this version.
    Routes(u64),
    /// What leads from this reading of the list to the latest.
    Listing(ListingNumber),
    /// To be told who takes part, or no more.
    Prefer(bool),
}

/// Serves a gateway until its connection ends: takes its status, tells it which versions there are as they change,
/// and sends the routes, the list of servers and the members that it asks for.
pub(crate) async fn serve_gateway(
    context: Arc<Context>,
    connection: Connection<GatewayToControl, ControlToGateway>,
) {
    let session = context.gateways.open();
    let peer = connection.peer_address.to_string();
    let (reported, status) = watch::channel(None);
    let (asked, requests) = mpsc::channel(WAITING_REQUESTS);
    let (replying, replies) = mpsc::channel(WAITING_REPLIES);
    let answers = GatewayAnswers { asked, replying };
    let reader = take_messages(
        &context,
        session,
        connection.reader,
        reported,
        answers,
        &peer,
    );
    let writer = Writer::new(
        Arc::clone(&context),
        connection.peer_address,
        connection.writer,
    );
    let ended = tokio::select! {
        ended = reader => ended,
        ended = writer.run(status, requests, replies) => ended,
    };
    context.gateways.close(session);
    if let Err(error) = ended {
        log::info!("{error}");
    }
}

async fn take_messages(
    context: &Context,
    session: u64,
    mut reader: FrameReader<GatewayToControl>,
    reported: watch::Sender<Option<GatewayStatus>>,
    answers: GatewayAnswers,
    peer: &str,
) -> Result<(), GatewaySessionError> {
    // Known with the first status, which comes first.
    let mut distance = Distance::Zone;
    let mut counted_bytes = 0;
    loop {
        let Ok(received) = timeout(SILENCE_LIMIT, reader.receive()).await else {
            let peer = peer.to_owned();
            return Err(GatewaySessionError::Silent { peer });
        };
        let name = match received? {
            GatewayToControl::Status(status) => {
                distance = Distance::between(&context.config.placement, &status.placement);
                context.gateways.report(session, status.clone());
                reported.send_replace(Some(status));
                "status"
            }
            GatewayToControl::Alive(load) => {
                context.gateways.report_load(session, load);
                "gateway_alive"
            }
            GatewayToControl::Crashes(reports) => {
                context.gateways.crashes.take(&reports);
                "crashes"
            }
            GatewayToControl::FetchRoutes(held) => {
                answers.ask(GatewayRequest::Routes(held)).await;
                "fetch_routes"
            }
            GatewayToControl::FetchListing(held) => {
                answers.ask(GatewayRequest::Listing(held)).await;
                "fetch_listing"
            }
            GatewayToControl::TakeTokens(requests) => {
                let replies = context.quotas.take(&requests, &answers.replying);
                answers.reply(context, replies);
                "take_tokens"
            }
            GatewayToControl::Prefer(is_preferred) => {
                answers.ask(GatewayRequest::Prefer(is_preferred)).await;
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

/// The way from what a gateway asks to the connection's writer.
struct GatewayAnswers {
    asked: mpsc::Sender<GatewayRequest>,
    replying: ReplySender,
}

impl GatewayAnswers {
    /// The writer ends with the connection, and this with it.
    async fn ask(&self, request: GatewayRequest) {
        let _ = self.asked.send(request).await;
    }

    /// Never waits: others' requests for tokens are behind this one.
    fn reply(&self, context: &Context, replies: Vec<TokenReply>) {
        if replies.is_empty() {
            return;
        }
        if self.replying.try_send(replies).is_err() {
            context.metrics.token_replies_dropped.inc();
        }
    }
}
