//! Starts and stops a relay.

use std::{future::pending, net::SocketAddr, sync::Arc, time::Duration};

use sablehaven_http::{ClientBudget, ClientLimits};
use sablehaven_telemetry::Telemetry;
use sablehaven_types::{BoundAddresses, RelayId};
use sablehaven_web::bounded_server;
use salvo::server::ServerHandle;
use tokio::{
    net::{TcpListener, TcpSocket},
    task::JoinHandle,
    time::{Instant, MissedTickBehavior, interval, sleep},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{Config, RelayMetrics, control::link, hub::Hub, server};

/// Length of the queue of connections waiting to be accepted (the operating system may cap it). All
/// agents of a zone may reconnect at once, and one that finds the queue full retries only after a
/// second.
const BACKLOG: u32 = 4_096;

/// Interval at which expired state is removed and the readiness is updated.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Time that HTTP connections (health and metrics) have to finish during a planned stop.
const HTTP_STOP_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval at which a planned stop checks whether the agents have left.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Reason why a relay failed to start.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum StartError {
    /// listen on {address} for {interface}: {source}
    Listen {
        /// The address to listen on.
        address: SocketAddr,
        /// The interface that was to be served there.
        interface: &'static str,
        /// The underlying error.
        source: std::io::Error,
    },
}

/// Connections of agents, in halves of those that clients may have by descriptors.
const AGENT_CONNECTION_HALVES: usize = 3;

/// A running relay.
pub struct Handle {
    hub: Arc<Hub>,
    telemetry: Telemetry,
    addresses: BoundAddresses,
    stop_accepting: CancellationToken,
    shutdown: CancellationToken,
    sessions: TaskTracker,
    tasks: Vec<JoinHandle<()>>,
    http: ServerHandle,
}

/// Starts a relay. It connects to control in the background.
pub async fn start(config: Config, telemetry: Telemetry) -> Result<Handle, StartError> {
    let clients = ClientBudget::new(config.clients.limits());
    telemetry.register(|registry| clients.register_metrics(registry));
    let http_listener = listen_http(&config, clients.limits())?;
    let agent_share = clients.listener(max_agent_connections(&config, clients.limits()));
    let listener = listen(config.internal_listen, "agents")?;
    let addresses = BoundAddresses {
        http: http_listener.local_addr().ok(),
        internal: listener.local_addr().ok(),
    };
    let http_address = config.http_listen;
    let relay = relay_id(&addresses);
    let hub = Arc::new(Hub::new(config, relay));
    hub.metrics.register(&telemetry);
    let stop_accepting = CancellationToken::new();
    let shutdown = CancellationToken::new();
    let sessions = TaskTracker::new();

    let (http, http_task) = serve_http(http_listener, http_address, &clients, &telemetry)?;
    let accept_loop = server::run(
        hub.clone(),
        listener,
        agent_share,
        stop_accepting.clone(),
        shutdown.clone(),
        sessions.clone(),
    );
    let tasks = vec![
        tokio::spawn(link::run(hub.clone(), shutdown.clone())),
        tokio::spawn(accept_loop),
        tokio::spawn(run_ticks(hub.clone(), telemetry.clone(), shutdown.clone())),
        http_task,
    ];
    Ok(Handle {
        hub,
        telemetry,
        addresses,
        stop_accepting,
        shutdown,
        sessions,
        tasks,
        http,
    })
}

impl Handle {
    /// Addresses that the relay listens on.
    pub fn addresses(&self) -> BoundAddresses {
        self.addresses
    }

    /// Identifier of the relay, unique for each start.
    pub fn relay(&self) -> &RelayId {
        &self.hub.relay
    }

    /// Metrics of the relay.
    pub fn metrics(&self) -> &RelayMetrics {
        &self.hub.metrics
    }

    /// Resolves with the reason if the relay cannot continue. A relay has no state that can fail
    /// permanently, so this never resolves.
    pub async fn failed(&mut self) -> String {
        pending().await
    }

    /// Stops the relay gracefully: reports not ready, stops accepting connections, asks the agents
    /// to move to another relay, delivers the replies to open ledger calls, and terminates.
    pub async fn stop(self) {
        self.telemetry.set_ready(false);
        self.hub.stopping.send_replace(true);
        self.stop_accepting.cancel();
        self.wait_for_agents().await;
        self.shutdown.cancel();
        self.sessions.close();
        self.sessions.wait().await;
        self.http.stop_graceful(HTTP_STOP_TIMEOUT);
        for task in self.tasks {
            // If the task panicked, the panic hook has already reported it.
            let _ = task.await;
        }
    }

    /// Waits until every agent has moved, at most for `stop_limit_ms`. After `stop_grace_ms`, waits
    /// only for open ledger calls.
    async fn wait_for_agents(&self) {
        let started = Instant::now();
        let grace = Duration::from_millis(self.hub.config.stop_grace_ms);
        let limit = Duration::from_millis(self.hub.config.stop_limit_ms);
        while self.hub.session_count() > 0 && started.elapsed() < limit {
            let calls_done = self.hub.ledger().open_call_count() == 0;
            if calls_done && started.elapsed() >= grace {
                return;
            }
            sleep(STOP_POLL_INTERVAL).await;
        }
    }
}

fn listen(address: SocketAddr, interface: &'static str) -> Result<TcpListener, StartError> {
    bind(address).map_err(|source| StartError::Listen {
        address,
        interface,
        source,
    })
}

fn listen_http(config: &Config, limits: ClientLimits) -> Result<TcpListener, StartError> {
    let address = config.http_listen;
    let listener = sablehaven_http::listen(address, limits.socket_buffer_bytes);
    listener.map_err(|source| StartError::Listen {
        address,
        interface: "HTTP",
        source,
    })
}

/// The maximum number of connections of agents, those in the handshake included.
fn max_agent_connections(config: &Config, limits: ClientLimits) -> usize {
    let by_settings = config
        .maximum_agents
        .saturating_add(config.concurrent_handshakes);
    let by_descriptors = limits.max_connections * AGENT_CONNECTION_HALVES / 2;
    by_descriptors.min(by_settings as usize).max(1)
}

fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // Allows a restarted relay to bind the same address immediately.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Generates a new ID for each start, so that control does not attribute the agents of the previous
/// run to this relay.
fn relay_id(addresses: &BoundAddresses) -> RelayId {
    let start = rand::random::<u64>();
    match addresses.internal {
        Some(address) => RelayId(format!("{address}/{start:016x}")),
        None => RelayId(format!("{start:016x}")),
    }
}

fn serve_http(
    listener: TcpListener,
    address: SocketAddr,
    clients: &ClientBudget,
    telemetry: &Telemetry,
) -> Result<(ServerHandle, JoinHandle<()>), StartError> {
    let share = clients.listener(clients.limits().max_probe_connections);
    let server = bounded_server(listener, share, telemetry.router());
    let (server, service) = server.map_err(|source| StartError::Listen {
        address,
        interface: "HTTP",
        source,
    })?;
    let handle = server.handle();
    let task = tokio::spawn(async move {
        if let Err(error) = server.try_serve(service).await {
            log::error!("failed to serve HTTP on {address}: {error}");
        }
    });
    Ok((handle, task))
}

async fn run_ticks(hub: Arc<Hub>, telemetry: Telemetry, shutdown: CancellationToken) {
    let mut timer = interval(TICK_INTERVAL);
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = timer.tick() => {}
            () = shutdown.cancelled() => return,
        }
        hub.tick();
        let stopping = *hub.stopping.borrow();
        telemetry.set_ready(!stopping && hub.is_current());
    }
}
