//! A running control replica and its stop.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use sablehaven_consensus::ReplicaId;
use sablehaven_telemetry::Telemetry;
use sablehaven_types::BoundAddresses;
use salvo::server::ServerHandle;
use tokio::{task::JoinHandle, time::timeout};
use tokio_util::sync::CancellationToken;

use crate::{evacuation::EvacuationService, routes::RoutesService};

use super::{context::Context, tasks::TaskGroup};

/// Longest time for handing over leadership at a planned stop.
const LEADERSHIP_TRANSFER_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest time for requests in flight at a planned stop.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);

/// The addresses of replicas to dial; cheap to clone.
#[derive(Clone)]
pub struct Peers {
    context: Arc<Context>,
}

impl Peers {
    /// Takes other addresses in place of those of the settings.
    pub fn set(&self, peers: impl IntoIterator<Item = SocketAddr>) {
        self.context.peers.set_configured(peers);
    }
}

/// A running control replica.
pub struct Handle {
    pub(super) addresses: BoundAddresses,
    pub(super) context: Arc<Context>,
    pub(super) telemetry: Telemetry,
    /// Links to replicas, the leader's duties and the accepting of connections.
    pub(super) background: TaskGroup,
    /// Connections of relays.
    pub(super) relays: TaskGroup,
    pub(super) stop_driver: CancellationToken,
    pub(super) driver: JoinHandle<()>,
    pub(super) http: ServerHandle,
    pub(super) http_server: JoinHandle<()>,
}

impl Handle {
    /// The addresses that this replica listens on.
    pub fn addresses(&self) -> BoundAddresses {
        self.addresses
    }

    /// Puts and reads the routes, and answers callers where to go.
    pub fn routes(&self) -> RoutesService {
        RoutesService::new(Arc::clone(&self.context))
    }

    /// Takes operators' orders about zones.
    pub fn evacuation(&self) -> EvacuationService {
        EvacuationService::new(Arc::clone(&self.context))
    }

    /// Changes the addresses of replicas to dial while the replica runs.
    pub fn peers(&self) -> Peers {
        Peers {
            context: Arc::clone(&self.context),
        }
    }

    /// The identity of this replica's disk.
    pub fn replica(&self) -> ReplicaId {
        self.context.replica
    }

    /// A planned stop: not ready, leadership handed over, relays told to go, requests in flight
    /// finished, everything synced.
    pub async fn stop(self) {
        self.telemetry.set_ready(false);
        // Leadership goes first: while it does, proposals in flight are still answered.
        let stepped_down = timeout(LEADERSHIP_TRANSFER_TIMEOUT, self.context.driver.step_down());
        if stepped_down.await.is_err() {
            log::warn!("stop: no other replica took over leadership in time");
        }
        self.context.stopping.cancel();
        self.http.stop_graceful(DRAIN_TIMEOUT);
        self.relays.drain(DRAIN_TIMEOUT).await;
        self.end().await;
    }

    /// Ends at once without handing anything over, as a crash would; everything is gone on return.
    pub async fn kill(self) {
        self.telemetry.set_ready(false);
        self.stop_driver.cancel();
        self.http.stop_forceful();
        self.relays.cancel().await;
        self.end().await;
    }

    /// The order must hold: whatever asks the driver ends before it.
    async fn end(self) {
        let http = self.http_server.await;
        self.background.cancel().await;
        self.stop_driver.cancel();
        let driver = self.driver.await;
        if http.is_err() || driver.is_err() {
            log::error!("stop: a task of the replica panicked");
        }
    }

    /// Resolves only if the replica cannot go on; says the step and the place.
    pub async fn failed(&mut self) -> String {
        let mut published = self.context.published.clone();
        let failed = published.wait_for(|published| published.failure.is_some());
        match failed.await {
            Ok(published) => published.failure.clone().unwrap_or_default(),
            Err(_) => "control: the driver ended".to_owned(),
        }
    }
}
