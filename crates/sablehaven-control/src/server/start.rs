//! Starts a control replica.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use sablehaven_http::ClientBudget;
use sablehaven_storage::{Disk, OpenedStorage, RealDisk, Storage};
use sablehaven_telemetry::Telemetry;
use sablehaven_types::BoundAddresses;
use sablehaven_web::{MAX_HEADER_BYTES, bounded_server};
use sablehaven_wire::BootTimeClock;
use salvo::server::ServerHandle;
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
    task::JoinHandle,
};
use tokio_util::sync::CancellationToken;

use super::{
    accept::accept_connections, context::Context, gauges::refresh_gauges, handle::Handle,
    listing_store::ListingStore, tasks::TaskGroup,
};
use crate::{
    Config, StartError,
    driver::{self, Driver, DriverParts, PublishedState, SharedStateHandle, StoredAddresses},
    gateways::Gateways,
    leader::{self, ServerSource},
    membership::AgentObservation,
    metrics::Metrics,
    operator,
    peers::{Directory, Links, PeerContext, PeerListing, form_or_join, maintain_links},
    quotas::{
        LeaseLimits, PartGrants, PartLease, ProbeQueue, ReplicaQuotas, follow_published_state,
        renew_part_lease, request_loans,
    },
    relays::Registry,
    replicas::ReplicaAddresses,
};

/// The listening sockets of a replica.
#[derive(Debug)]
pub struct Listeners {
    /// For internal connections.
    pub internal: TcpListener,
    /// For the operator interface.
    pub http: TcpListener,
}

/// Interfaces among which the connections of clients are divided: that of this crate, and two that an embedding program
/// may add, for its own calls and for a directory.
pub const CLIENT_LISTENERS: usize = 3;
/// Connections from other processes, in quarters of those that clients may have.
const INTERNAL_CONNECTION_QUARTERS: usize = 3;

/// What a replica needs besides its settings.
pub struct Environment {
    /// The listening sockets.
    pub listeners: Listeners,
    /// The disk that holds the data folder.
    pub disk: Arc<dyn Disk>,
    /// Lists the servers to which gateways send requests, if there are gateways.
    pub servers: Option<Arc<dyn ServerSource>>,
    /// What the process holds for its clients.
    pub clients: ClientBudget,
}

impl Listeners {
    /// Listens on the addresses in the settings.
    ///
    /// # Errors
    /// Returns [`StartError::Listen`] with the address that could not be used.
    pub async fn bind(config: &Config) -> Result<Self, StartError> {
        Ok(Self {
            internal: listen(config.internal_listen).await?,
            http: listen_http(config)?,
        })
    }

    /// The addresses that the sockets are bound to, internal and HTTP.
    fn addresses(&self, config: &Config) -> Result<(SocketAddr, SocketAddr), StartError> {
        let internal = local_address(&self.internal, config.internal_listen)?;
        let http = local_address(&self.http, config.http_listen)?;
        Ok((internal, http))
    }
}

/// Starts a control replica.
///
/// # Errors
/// See [`StartError`].
pub async fn start(config: Config, telemetry: Telemetry) -> Result<Handle, StartError> {
    check(&config)?;
    let environment = Environment {
        listeners: Listeners::bind(&config).await?,
        disk: Arc::new(RealDisk),
        servers: None,
        clients: ClientBudget::new(config.clients.limits()),
    };
    start_in(config, telemetry, environment).await
}

/// Starts a control replica in a given environment.
///
/// # Errors
/// See [`StartError`].
pub async fn start_in(
    config: Config,
    telemetry: Telemetry,
    environment: Environment,
) -> Result<Handle, StartError> {
    check(&config)?;
    let Environment {
        listeners,
        disk,
        servers,
        clients,
    } = environment;
    let (internal, http) = listeners.addresses(&config)?;
    let own_addresses = ReplicaAddresses {
        internal: config.internal_advertise.unwrap_or(internal),
        http: config.http_advertise.unwrap_or(http),
    };
    let config = Arc::new(config);
    let opened = open_storage(Arc::clone(&config), disk).await?;
    let listing_store = ListingStore::open(opened.storage.listing_file()).await;
    let gateways = Arc::new(Gateways::new(listing_store.restored()));
    let (context, driver, observations) =
        assemble(config, opened, own_addresses, gateways, &telemetry)?;
    let stop_driver = CancellationToken::new();
    let driver = tokio::spawn(driver.run(stop_driver.clone()));
    let background = TaskGroup::default();
    let relays = TaskGroup::default();
    let (http_handle, http_server) =
        serve_http(&context, &telemetry, &clients, listeners.http, http)?;
    spawn_background(&context, &background, observations);
    if let Some(servers) = servers {
        background.spawn(leader::read_listing(Arc::clone(&context), servers));
        background.spawn(listing_store.store_changes(Arc::clone(&context)));
    }
    background.spawn(accept_connections(
        Arc::clone(&context),
        listeners.internal,
        clients.listener(max_internal_connections(&clients)),
        background.clone(),
        relays.clone(),
    ));
    telemetry.set_ready(true);
    Ok(Handle {
        addresses: BoundAddresses {
            http: Some(http),
            internal: Some(internal),
        },
        context,
        telemetry,
        background,
        relays,
        stop_driver,
        driver,
        http: http_handle,
        http_server,
    })
}

fn check(config: &Config) -> Result<(), StartError> {
    let errors = config.validate("control");
    if errors.is_empty() {
        Ok(())
    } else {
        Err(StartError::Settings { errors })
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, StartError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|source| StartError::Listen { address, source })
}

fn listen_http(config: &Config) -> Result<TcpListener, StartError> {
    let address = config.http_listen;
    let listener = sablehaven_http::listen(address, config.clients.socket_buffer_bytes);
    listener.map_err(|source| StartError::Listen { address, source })
}

/// The maximum number of connections from other processes.
fn max_internal_connections(clients: &ClientBudget) -> usize {
    let limit = clients.limits().max_connections;
    (limit * INTERNAL_CONNECTION_QUARTERS / 4).max(1)
}

fn local_address(listener: &TcpListener, address: SocketAddr) -> Result<SocketAddr, StartError> {
    let local = listener.local_addr();
    local.map_err(|source| StartError::Listen { address, source })
}

/// Opens the storage on a blocking thread, because this reads the whole log.
async fn open_storage(
    config: Arc<Config>,
    disk: Arc<dyn Disk>,
) -> Result<OpenedStorage, StartError> {
    let open = move || Storage::open(&config.data_folder, disk, config.storage());
    match tokio::task::spawn_blocking(open).await {
        Ok(opened) => opened.map_err(|source| StartError::Storage { source }),
        Err(panicked) => std::panic::resume_unwind(panicked.into_panic()),
    }
}

type AssembledParts = (Arc<Context>, Driver, mpsc::Receiver<AgentObservation>);

/// Creates the components of the replica and connects them. No task runs yet.
fn assemble(
    config: Arc<Config>,
    opened: OpenedStorage,
    own_addresses: ReplicaAddresses,
    gateways: Arc<Gateways>,
    telemetry: &Telemetry,
) -> Result<AssembledParts, StartError> {
    let replica = opened.identity.replica;
    let metrics = Metrics::register(telemetry);
    let state = SharedStateHandle::default();
    let (driver_handle, inputs) = driver::channel();
    let (published, published_receiver) = watch::channel(PublishedState::default());
    let links = Arc::new(Links::new(metrics.clone()));
    let shared = opened.groups.get(&0);
    let stored = shared.map_or_else(StoredAddresses::default, |group| {
        StoredAddresses::read(&group.restored.entries)
    });
    let directory = Directory::new(replica, own_addresses, stored);
    let grants = Arc::new(Mutex::new(PartGrants::default()));
    let driver = Driver::new(DriverParts {
        config: Arc::clone(&config),
        opened,
        state: Arc::clone(&state),
        handle: driver_handle.clone(),
        inputs,
        links: Arc::clone(&links),
        directory: directory.clone(),
        published,
        grants: Arc::clone(&grants),
        metrics: metrics.clone(),
    })?;
    let peers = Arc::new(PeerContext::new(
        Arc::clone(&config),
        replica,
        own_addresses,
        directory,
        driver_handle.clone(),
        Arc::clone(&state),
        PeerListing {
            gateways: Arc::clone(&gateways),
            published: published_receiver.clone(),
        },
    ));
    let patience = Duration::from_millis(config.repair_patience_ms);
    let lease_limits = LeaseLimits::new(patience, config.election_timeout());
    let quotas = Arc::new(ReplicaQuotas::new(
        config.quotas,
        PartLease::new(replica, lease_limits, rand::random()),
        grants,
        published_receiver.clone(),
        Arc::clone(&state),
        metrics.clone(),
    ));
    let (observations, observation_queue) = mpsc::channel(leader::OBSERVATION_QUEUE_LENGTH);
    let context = Arc::new(Context {
        replica,
        driver: driver_handle,
        state,
        published: published_receiver,
        registry: Registry::new(config.lease_duration()),
        gateways,
        config,
        observations,
        peers,
        links,
        quotas,
        probes: ProbeQueue::default(),
        age_clock: BootTimeClock::default(),
        metrics,
        stopping: CancellationToken::new(),
    });
    Ok((context, driver, observation_queue))
}

/// Starts the HTTP server for the operator interface and telemetry.
fn serve_http(
    context: &Arc<Context>,
    telemetry: &Telemetry,
    clients: &ClientBudget,
    listener: TcpListener,
    address: SocketAddr,
) -> Result<(ServerHandle, JoinHandle<()>), StartError> {
    telemetry.register(|registry| clients.register_metrics(registry));
    let limits = clients.limits();
    let max_connections = limits.connections_per_listener(MAX_HEADER_BYTES, CLIENT_LISTENERS);
    let router = operator::router(context).push(telemetry.router());
    let server = bounded_server(listener, clients.listener(max_connections), router);
    let (server, service) = server.map_err(|source| StartError::Listen { address, source })?;
    let handle = server.handle();
    let task = tokio::spawn(async move { server.serve(service).await });
    Ok((handle, task))
}

/// Spawns the background tasks, except for the accept loop and the reading of the server listing.
fn spawn_background(
    context: &Arc<Context>,
    background: &TaskGroup,
    observations: mpsc::Receiver<AgentObservation>,
) {
    let peers = &context.peers;
    background.spawn(form_or_join(Arc::clone(peers)));
    background.spawn(maintain_links(
        Arc::clone(peers),
        Arc::clone(&context.links),
        Arc::clone(&context.state),
    ));
    let observing = leader::propose_observations(Arc::clone(context), observations);
    background.spawn(observing);
    background.spawn(leader::propose_watchers(Arc::clone(context)));
    background.spawn(refresh_gauges(Arc::clone(context)));
    background.spawn(follow_published_state(Arc::clone(&context.quotas)));
    background.spawn(request_loans(
        Arc::clone(&context.quotas),
        Arc::clone(&context.links),
    ));
    background.spawn(renew_part_lease(Arc::clone(context)));
    let minimum = context.config.repair_minimum_members;
    background.spawn(leader::watch_members(Arc::clone(context), minimum));
    if let Some(platform) = context.config.platform.clone() {
        background.spawn(leader::poll_platform(Arc::clone(context), platform));
    }
}
