//! The sending side of a gateway connection.

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

/// Time between two keep-alive messages to a gateway.
const ALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum time for the write of one message.
const SEND_TIMEOUT: Duration = Duration::from_secs(5);

/// Sends messages to one gateway.
pub(super) struct Writer {
    context: Arc<Context>,
    peer: String,
    writer: FrameWriter<ControlToGateway>,
    /// Distance to the gateway; set from its first status.
    distance: Distance,
    /// Sent bytes that are already counted in the metrics.
    counted_bytes: u64,
    /// The versions that were last announced to the gateway.
    sent_versions: StateVersions,
    /// Revision of the evacuated zones that the gateway has.
    sent_evacuation: u64,
    /// Whether the gateway wants the members of the deployment from this replica.
    is_preferred: bool,
    sent_members: Option<DeploymentMembers>,
    /// Address at which callers reach the gateway; set from its first status.
    address: SocketAddr,
}

impl Writer {
    /// Creates a writer for a new connection.
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

    /// Sends state changes and the replies to the gateway's requests until the connection fails.
    pub(super) async fn run(
        mut self,
        mut status: watch::Receiver<Option<GatewayStatus>>,
        mut requests: mpsc::Receiver<GatewayRequest>,
        mut replies: mpsc::Receiver<Vec<TokenReply>>,
    ) -> Result<(), GatewaySessionError> {
        let mut published = self.context.published.clone();
        let mut listing = self.context.gateways.listing();
        let mut members = self.context.gateways.members();
        let (stored_reports, mut crash_reports) = self.context.gateways.crash_reports.subscribe();
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
        self.send_crash_reports(stored_reports).await?;
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
                    let members = members.borrow_and_update().members_for(self.address);
                    self.send_members(members).await?;
                }
                report = crash_reports.recv() => {
                    let reports = match report {
                        Ok(report) => vec![report],
                        Err(RecvError::Lagged(_) | RecvError::Closed) => {
                            let (stored, updates) = self.context.gateways.crash_reports.subscribe();
                            crash_reports = updates;
                            stored
                        }
                    };
                    self.send_crash_reports(reports).await?;
                }
                _ = alive.tick() => self.send("alive", &ControlToGateway::Alive).await?,
            }
        }
    }

    /// Sends the evacuated zones if the gateway has an older revision. They are few and urgent, so every replica sends
    /// them.
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

    /// Announces the versions of the routes and the listing that this replica has, if they have changed.
    async fn send_versions(&mut self) -> Result<(), GatewaySessionError> {
        let versions = self.versions();
        if versions == self.sent_versions {
            return Ok(());
        }
        // Every session does this, so that each announced version is later available as the base of a change.
        if let Some(routes) = self.routes() {
            self.context.gateways.set_latest_routes(&routes);
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

    /// Sends the routes if they are newer than the version `held`, and the evacuated zones before them.
    async fn send_routes(&mut self, held: u64) -> Result<(), GatewaySessionError> {
        self.send_evacuation().await?;
        if let Some(routes) = self.routes() {
            self.context.gateways.set_latest_routes(&routes);
        }
        match self.context.gateways.encode_routes(held) {
            Some(encoded) => self.send_encoded("routes", &encoded).await,
            None => Ok(()),
        }
    }

    /// Sends the update from the listing numbered `held` to the latest one.
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

    /// Sends crash reports. Every replica sends them: each gateway must have a report before it receives the same
    /// request, even while it has no connection to some of the replicas.
    async fn send_crash_reports(
        &mut self,
        reports: Vec<CrashReport>,
    ) -> Result<(), GatewaySessionError> {
        if reports.is_empty() {
            return Ok(());
        }
        self.send("crashes", &ControlToGateway::Crashes(reports))
            .await
    }

    /// Sends all waiting token replies in one message.
    async fn send_tokens(
        &mut self,
        mut batch: Vec<TokenReply>,
        replies: &mut mpsc::Receiver<Vec<TokenReply>>,
    ) -> Result<(), GatewaySessionError> {
        while let Ok(more) = replies.try_recv() {
            batch.extend(more);
        }
        self.send("tokens", &ControlToGateway::Tokens(batch)).await
    }

    /// Sends the members of the deployment, unless they are the same as those sent last.
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
        with_send_timeout(&self.peer, self.writer.send(message)).await?;
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
        with_send_timeout(&self.peer, sending).await?;
        self.count_bytes(name);
        Ok(())
    }

    /// Adds the bytes sent since the last call to the metrics, under the name of the message.
    fn count_bytes(&mut self, name: &'static str) {
        let bytes = self.writer.sent_bytes();
        let metrics = &self.context.metrics;
        metrics.gateway_bytes(name, self.distance, bytes - self.counted_bytes);
        self.counted_bytes = bytes;
    }
}

async fn with_send_timeout(
    peer: &str,
    sending: impl Future<Output = Result<(), WireError>>,
) -> Result<(), GatewaySessionError> {
    match timeout(SEND_TIMEOUT, sending).await {
        Ok(result) => Ok(result?),
        Err(_) => Err(GatewaySessionError::SendTimeout {
            peer: peer.to_owned(),
        }),
    }
}
