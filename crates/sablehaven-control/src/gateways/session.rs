//! One connection of a gateway.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use sablehaven_types::{CrashReport, Distance, ListingNumber, RouteDocument, ServerListing};
use sablehaven_wire::{
    Connection, ControlToGateway, DeploymentMembers, EncodedMessage, FrameReader, FrameWriter,
    GatewayStatus, GatewayToControl, WireError,
};
use tokio::{
    sync::{broadcast::error::RecvError, watch},
    time::{MissedTickBehavior, interval, sleep_until, timeout},
};

use super::routes_turn::{RoutesStep, RoutesTurn};
use crate::{driver::read, server::Context};

/// Time between two signs of life towards a gateway.
const ALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// A gateway that is silent for so long is gone.
const SILENCE_LIMIT: Duration = Duration::from_secs(2);
/// Time that one write may take.
const SEND_TIMEOUT: Duration = Duration::from_secs(5);

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

/// Serves a gateway until its connection ends: takes its status, and sends it the routes, the list
/// of servers and the members as they change.
pub(crate) async fn serve_gateway(
    context: Arc<Context>,
    connection: Connection<GatewayToControl, ControlToGateway>,
) {
    let session = context.gateways.open();
    let peer = connection.peer_address.to_string();
    let (reported, status) = watch::channel(None);
    let reader = take_statuses(&context, session, connection.reader, reported, &peer);
    let writer = Writer {
        context: Arc::clone(&context),
        peer: peer.clone(),
        writer: connection.writer,
        distance: Distance::Zone,
        counted_bytes: 0,
        sent_version: 0,
        sent_listing: ListingNumber::default(),
        sent_evacuation: 0,
        sent_members: None,
        address: connection.peer_address,
    };
    let ended = tokio::select! {
        ended = reader => ended,
        ended = writer.run(status) => ended,
    };
    context.gateways.close(session);
    if let Err(error) = ended {
        log::info!("{error}");
    }
}

async fn take_statuses(
    context: &Context,
    session: u64,
    mut reader: FrameReader<GatewayToControl>,
    reported: watch::Sender<Option<GatewayStatus>>,
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
        };
        let bytes = reader.received_bytes();
        context
            .metrics
            .gateway_bytes(name, distance, bytes - counted_bytes);
        counted_bytes = bytes;
    }
}

struct Writer {
    context: Arc<Context>,
    peer: String,
    writer: FrameWriter<ControlToGateway>,
    /// How far the gateway is; known with its first status.
    distance: Distance,
    /// Bytes that the metrics have counted.
    counted_bytes: u64,
    /// The latest version that was sent, or that the gateway said it has.
    sent_version: u64,
    sent_listing: ListingNumber,
    sent_evacuation: u64,
    sent_members: Option<DeploymentMembers>,
    /// Where callers reach the gateway; known with its first status.
    address: SocketAddr,
}

impl Writer {
    async fn run(
        mut self,
        mut status: watch::Receiver<Option<GatewayStatus>>,
    ) -> Result<(), GatewaySessionError> {
        let mut published = self.context.published.clone();
        let mut listing = self.context.gateways.listing();
        let mut members = self.context.gateways.members();
        members.mark_changed();
        let (known_crashes, mut crashes) = self.context.gateways.crashes.subscribe();
        // What the gateway has comes with its first status; nothing is sent twice.
        if let Ok(first) = status.wait_for(Option::is_some).await
            && let Some(first) = &*first
        {
            self.sent_version = first.routes_version;
            self.sent_listing = first.listing;
            self.sent_evacuation = first.evacuation_revision;
            self.address = first.address;
            self.distance = Distance::between(&self.context.config.placement, &first.placement);
        }
        let mut turn = RoutesTurn::new(self.distance);
        let mut alive = interval(ALIVE_INTERVAL);
        alive.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.send_crashes(known_crashes).await?;
        loop {
            self.send_evacuation().await?;
            let look_at = self.send_routes(&mut turn, &status).await?;
            self.send_listing(&mut listing, &status).await?;
            tokio::select! {
                () = sleep_until(look_at.unwrap_or_else(Instant::now).into()), if look_at.is_some() => {}
                Ok(()) = published.changed() => {}
                Ok(()) = listing.changed() => {}
                Ok(()) = members.changed() => {
                    let members = members.borrow_and_update().told_to(self.address);
                    self.send_members(members).await?;
                }
                report = crashes.recv() => {
                    let reports = match report {
                        Ok(report) => vec![report],
                        Err(RecvError::Lagged(_) | RecvError::Closed) => {
                            let (known, news) = self.context.gateways.crashes.subscribe();
                            crashes = news;
                            known
                        }
                    };
                    self.send_crashes(reports).await?;
                }
                _ = alive.tick() => self.send("alive", &ControlToGateway::Alive).await?,
            }
        }
    }

    /// Sends the evacuated zones that the gateway lacks. They are few and urgent, so every replica does.
    async fn send_evacuation(&mut self) -> Result<(), GatewaySessionError> {
        let zones = read(&self.context.state, |state| {
            let zones = state.evacuation().zones();
            (zones.revision > self.sent_evacuation).then(|| zones.clone())
        });
        let Some(zones) = zones else {
            return Ok(());
        };
        self.sent_evacuation = zones.revision;
        let message = ControlToGateway::Evacuation(zones);
        self.send("evacuation", &message).await
    }

    /// Sends routes that the gateway lacks if it is this replica's turn; answers when to look again.
    async fn send_routes(
        &mut self,
        turn: &mut RoutesTurn,
        status: &watch::Receiver<Option<GatewayStatus>>,
    ) -> Result<Option<Instant>, GatewaySessionError> {
        let said = status.borrow().as_ref().map(|said| said.routes_version);
        self.sent_version = self.sent_version.max(said.unwrap_or(0));
        let newer = self.newer_routes();
        match (turn.next(Instant::now(), newer.is_some()), newer) {
            (RoutesStep::WaitUntil(at), _) => return Ok(Some(at)),
            (RoutesStep::Send, Some(routes)) => self.send_document(&routes).await?,
            (RoutesStep::Send | RoutesStep::Nothing, _) => {}
        }
        Ok(None)
    }

    async fn send_document(
        &mut self,
        routes: &Arc<RouteDocument>,
    ) -> Result<(), GatewaySessionError> {
        self.sent_version = routes.version;
        match self.context.gateways.encode_routes(routes) {
            Some(encoded) => self.send_encoded("routes", &encoded).await,
            None => Ok(()),
        }
    }

    fn newer_routes(&self) -> Option<Arc<RouteDocument>> {
        read(&self.context.state, |state| {
            let held = state.routes().held()?;
            (held.document.version > self.sent_version).then(|| Arc::clone(&held.document))
        })
    }

    async fn send_listing(
        &mut self,
        listing: &mut watch::Receiver<Arc<ServerListing>>,
        status: &watch::Receiver<Option<GatewayStatus>>,
    ) -> Result<(), GatewaySessionError> {
        let listing = Arc::clone(&listing.borrow_and_update());
        let said = status.borrow().as_ref().map(|said| said.listing);
        let held = self.sent_listing.max(said.unwrap_or_default());
        if listing.number <= held {
            return Ok(());
        }
        self.sent_listing = listing.number;
        match self.context.gateways.encode_listing(&listing, held) {
            Some(encoded) => self.send_encoded("listing", &encoded).await,
            None => Ok(()),
        }
    }

    /// Sends what is known of requests under which servers ended. Every replica does: each gateway must hear it before the
    /// same request comes to it, also while it has lost some of the replicas.
    async fn send_crashes(&mut self, reports: Vec<CrashReport>) -> Result<(), GatewaySessionError> {
        if reports.is_empty() {
            return Ok(());
        }
        self.send("crashes", &ControlToGateway::Crashes(reports))
            .await
    }

    /// Sends who takes part, unless that says what the gateway was told already.
    async fn send_members(
        &mut self,
        members: DeploymentMembers,
    ) -> Result<(), GatewaySessionError> {
        if self.sent_members.as_ref() == Some(&members) {
            return Ok(());
        }
        self.sent_members = Some(members.clone());
        self.send("members", &ControlToGateway::Members(members))
            .await
    }

    async fn send(
        &mut self,
        name: &'static str,
        message: &ControlToGateway,
    ) -> Result<(), GatewaySessionError> {
        within_limit(&self.peer, self.writer.send(message)).await?;
        self.count_bytes(name);
        Ok(())
    }

    async fn send_encoded(
        &mut self,
        name: &'static str,
        message: &EncodedMessage<ControlToGateway>,
    ) -> Result<(), GatewaySessionError> {
        let sending = async {
            self.writer.feed_encoded(message).await?;
            self.writer.flush().await
        };
        within_limit(&self.peer, sending).await?;
        self.count_bytes(name);
        Ok(())
    }

    fn count_bytes(&mut self, name: &'static str) {
        let bytes = self.writer.sent_bytes();
        let metrics = &self.context.metrics;
        metrics.gateway_bytes(name, self.distance, bytes - self.counted_bytes);
        self.counted_bytes = bytes;
    }
}

async fn within_limit(
    peer: &str,
    sending: impl Future<Output = Result<(), WireError>>,
) -> Result<(), GatewaySessionError> {
    match timeout(SEND_TIMEOUT, sending).await {
        Ok(result) => Ok(result?),
        Err(_) => Err(GatewaySessionError::Slow {
            peer: peer.to_owned(),
        }),
    }
}
