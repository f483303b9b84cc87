//! What is sent to one gateway.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use sablehaven_types::{
    CrashReport, Distance, ListingNumber, RouteDocument, ServerListing, TokenReply,
};
use sablehaven_wire::{
    ControlToGateway, DeploymentMembers, EncodedMessage, FrameWriter, GatewayStatus, StateVersions,
    WireError,
};
use tokio::{
    sync::{broadcast::error::RecvError, mpsc, watch},
    time::{MissedTickBehavior, interval, timeout},
};

use super::{GatewayRequest, GatewaySessionError};
use crate::{driver::read, server::Context};

/// Time between two signs of life towards a gateway.
const ALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// Time that one write may take.
const SEND_TIMEOUT: Duration = Duration::from_secs(5);

/// Writes to one gateway.
pub(super) struct Writer {
    context: Arc<Context>,
    peer: String,
    writer: FrameWriter<ControlToGateway>,
    /// How far the gateway is; known with its first status.
    distance: Distance,
    /// Bytes that the metrics have counted.
    counted_bytes: u64,
    /// The latest word of which versions this replica has.
    sent_versions: StateVersions,
    sent_evacuation: u64,
    /// Whether the gateway hears from this replica who takes part.
    is_preferred: bool,
    sent_members: Option<DeploymentMembers>,
    /// Where callers reach the gateway; known with its first status.
    address: SocketAddr,
}

impl Writer {
    /// A writer that has sent nothing yet.
    pub(super) fn new(
        context: Arc<Context>,
        peer: SocketAddr,
        writer: FrameWriter<ControlToGateway>,
    ) -> Self {
        Self {
            context,
            peer: peer.to_string(),
            writer,
            distance: Distance::Zone,
            counted_bytes: 0,
            sent_versions: StateVersions::default(),
            sent_evacuation: 0,
            is_preferred: false,
            sent_members: None,
            address: peer,
        }
    }

    /// Sends what changes and what the gateway asks for, until the connection fails.
    pub(super) async fn run(
        mut self,
        mut status: watch::Receiver<Option<GatewayStatus>>,
        mut requests: mpsc::Receiver<GatewayRequest>,
        mut replies: mpsc::Receiver<Vec<TokenReply>>,
    ) -> Result<(), GatewaySessionError> {
        let mut published = self.context.published.clone();
        let mut listing = self.context.gateways.listing();
        let mut members = self.context.gateways.members();
        let (known_crashes, mut crashes) = self.context.gateways.crashes.subscribe();
        if let Ok(first) = status.wait_for(Option::is_some).await
            && let Some(first) = &*first
        {
            self.sent_evacuation = first.evacuation_revision;
            self.address = first.address;
            self.distance = Distance::between(&self.context.config.placement, &first.placement);
        }
        let placement = self.context.config.placement.clone();
        self.send("placement", &ControlToGateway::Placement(placement))
            .await?;
        let mut alive = interval(ALIVE_INTERVAL);
        alive.set_missed_tick_behavior(MissedTickBehavior::Delay);
        self.send_crashes(known_crashes).await?;
        loop {
            self.send_evacuation().await?;
            self.send_versions().await?;
            tokio::select! {
                Some(first) = replies.recv() => self.send_tokens(first, &mut replies).await?,
                Ok(()) = published.changed() => {}
                Ok(()) = listing.changed() => {}
                Some(request) = requests.recv() => match request {
                    GatewayRequest::Routes(held) => self.send_routes(held).await?,
                    GatewayRequest::Listing(held) => self.send_listing(held).await?,
                    GatewayRequest::Prefer(is_preferred) => {
                        self.is_preferred = is_preferred;
                        members.mark_changed();
                    }
                },
                Ok(()) = members.changed(), if self.is_preferred => {
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

    /// Says which versions this replica has, where that has changed.
    async fn send_versions(&mut self) -> Result<(), GatewaySessionError> {
        let versions = self.versions();
        if versions == self.sent_versions {
            return Ok(());
        }
        // Every session does, so that the replica knows each version that it may have told of.
        if let Some(routes) = self.routes() {
            self.context.gateways.take_routes(&routes);
        }
        self.sent_versions = versions;
        self.send("versions", &ControlToGateway::Versions(versions))
            .await
    }

    fn versions(&self) -> StateVersions {
        StateVersions {
            routes: self.routes().map_or(0, |document| document.version),
            listing: self.listing().number,
        }
    }

    fn routes(&self) -> Option<Arc<RouteDocument>> {
        read(&self.context.state, |state| state.routes().document())
    }

    fn listing(&self) -> Arc<ServerListing> {
        Arc::clone(&self.context.gateways.listing().borrow())
    }

    /// Sends the routes where they are newer than what the gateway has, and the evacuated zones before them.
    async fn send_routes(&mut self, held: u64) -> Result<(), GatewaySessionError> {
        self.send_evacuation().await?;
        if let Some(routes) = self.routes() {
            self.context.gateways.take_routes(&routes);
        }
        match self.context.gateways.encode_routes(held) {
            Some(encoded) => self.send_encoded("routes", &encoded).await,
            None => Ok(()),
        }
    }

    /// Sends what leads from the reading that the gateway has to the latest one.
    async fn send_listing(&mut self, held: ListingNumber) -> Result<(), GatewaySessionError> {
        let listing = self.listing();
        if listing.number <= held {
            return Ok(());
        }
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

    /// Sends all answers to requests for tokens that wait.
    async fn send_tokens(
        &mut self,
        mut first: Vec<TokenReply>,
        replies: &mut mpsc::Receiver<Vec<TokenReply>>,
    ) -> Result<(), GatewaySessionError> {
        while let Ok(more) = replies.try_recv() {
            first.extend(more);
        }
        self.send("tokens", &ControlToGateway::Tokens(first)).await
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
