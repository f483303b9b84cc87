//! The handle of a running control replica, which also stops it.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use sablehaven_consensus::ReplicaId;
use sablehaven_telemetry::Telemetry;
use sablehaven_types::BoundAddresses;
use salvo::server::ServerHandle;
use tokio::{task::JoinHandle, time::timeout};
use tokio_util::sync::CancellationToken;

use crate::{evacuation::EvacuationService, routes::RoutesService};

use super::{context::Context, tasks::TaskGroup};

/// The time limit for transferring leadership at a planned stop.
const LEADERSHIP_TRANSFER_TIMEOUT: Duration = Duration::from_secs(5);

/// The time limit for finishing requests in flight at a planned stop.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);

/// Sets the addresses of the replicas to connect to; cheap to clone.
#[derive(Clone)]
pub struct Peers {
    context: Arc<Context>,
}

impl Peers {
    /// Replaces the addresses from the settings.
    pub fn set(&self, peers: impl IntoIterator<Item = SocketAddr>) {
        self.context.peers.set_configured(peers);
    }
}

/// The handle of a running control replica.
pub struct Handle {
    pub(super) addresses: BoundAddresses,
    pub(super) context: Arc<Context>,
    pub(super) telemetry: Telemetry,
    /// Connections to other replicas, the leader's periodic tasks, and the accept loop.
    pub(super) background: TaskGroup,
    /// Connections from relays.
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

    /// The service that stores and reads the routes and resolves them for callers.
    pub fn routes(&self) -> RoutesService {
        RoutesService::new(Arc::clone(&self.context))
    }

    /// The service through which operators evacuate zones.
    pub fn evacuation(&self) -> EvacuationService {
        EvacuationService::new(Arc::clone(&self.context))
    }

    /// A handle that changes the addresses of the replicas to connect to while this replica runs.
    pub fn peers(&self) -> Peers {
        Peers {
            context: Arc::clone(&self.context),
        }
    }

    /// The identity of this replica, which is stored in its data folder.
    pub fn replica(&self) -> ReplicaId {
        self.context.replica
    }

    /// Stops the replica as planned: reports it as not ready, transfers its leadership, tells the relays to leave,
    /// finishes the requests in flight, and syncs everything.
    pub async fn stop(self) {
        self.telemetry.set_ready(false);
        // Leadership is transferred first: meanwhile, proposals in flight still get their outcomes.
        let stepped_down = timeout(LEADERSHIP_TRANSFER_TIMEOUT, self.context.driver.step_down());
        if stepped_down.await.is_err() {
            log::warn!("stop: leadership was not transferred to another replica in time");
        }
        self.context.stopping.cancel();
        self.http.stop_graceful(DRAIN_TIMEOUT);
        self.relays.drain(DRAIN_TIMEOUT).await;
        self.end().await;
    }

    /// Stops the replica abruptly without transferring leadership, as a crash would. All its tasks have ended on
    /// return.
    pub async fn kill(self) {
        self.telemetry.set_ready(false);
        self.stop_driver.cancel();
        self.http.stop_forceful();
        self.relays.cancel().await;
        self.end().await;
    }

    /// Ends the remaining tasks. The order matters: every task that uses the driver ends before the driver.
    async fn end(self) {
        let http = self.http_server.await;
        self.background.cancel().await;
        self.stop_driver.cancel();
        let driver = self.driver.await;
        if http.is_err() || driver.is_err() {
            log::error!("stop: the HTTP server or the driver panicked");
        }
    }

    /// Resolves only if the replica has failed. Returns the step that failed and where it failed.
    pub async fn failed(&mut self) -> String {
        let mut published = self.context.published.clone();
        let failed = published.wait_for(|published| published.failure.is_some());
        match failed.await {
            Ok(published) => published.failure.clone().unwrap_or_default(),
            Err(_) => "control: the driver ended".to_owned(),
        }
    }
}
