//! Starts and stops a relay.

use std::{future::pending, net::SocketAddr, sync::Arc, time::Duration};

use sablehaven_telemetry::Telemetry;
use sablehaven_types::{BoundAddresses, RelayId};
use salvo::{Server, conn::tcp::TcpAcceptor, server::ServerHandle};
use tokio::{
    net::{TcpListener, TcpSocket},
    task::JoinHandle,
    time::{Instant, MissedTickBehavior, interval, sleep},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{Config, RelayMetrics, control::link, hub::Hub, server};

/// Connections that may wait to be accepted (the system may cap it). A zone's agents come back all
/// at once; one that finds the queue full tries again only after a second.
const BACKLOG: u32 = 4_096;

/// Time between two looks at what has expired.
const TICK: Duration = Duration::from_millis(50);

/// Time that HTTP connections (health and metrics) get to end in a planned stop.
const HTTP_STOP_LIMIT: Duration = Duration::from_secs(1);

/// Time between two looks at whether a planned stop is done.
const STOP_POLL: Duration = Duration::from_millis(10);

/// Why a relay did not start.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum StartError {
    /// listen on {address} for {interface}: {source}
    Listen {
        /// The address.
        address: SocketAddr,
        /// The interface.
        interface: &'static str,
        /// The cause.
        source: std::io::Error,
    },
}

/// A running relay.
pub struct Handle {
    hub: Arc<Hub>,
    telemetry: Telemetry,
    addresses: BoundAddresses,
    stop_accepting: CancellationToken,
    end: CancellationToken,
    sessions: TaskTracker,
    tasks: Vec<JoinHandle<()>>,
    http: ServerHandle,
}

/// Starts a relay; it connects to control in the background.
pub async fn start(config: Config, telemetry: Telemetry) -> Result<Handle, StartError> {
    let http_listener = listen(config.http_listen, "HTTP")?;
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
    let end = CancellationToken::new();
    let sessions = TaskTracker::new();

    let (http, http_task) = serve_http(http_listener, http_address, &telemetry)?;
    let accepting = server::run(
        hub.clone(),
        listener,
        stop_accepting.clone(),
        end.clone(),
        sessions.clone(),
    );
    let tasks = vec![
        tokio::spawn(link::run(hub.clone(), end.clone())),
        tokio::spawn(accepting),
        tokio::spawn(keep_time(hub.clone(), telemetry.clone(), end.clone())),
        http_task,
    ];
    Ok(Handle {
        hub,
        telemetry,
        addresses,
        stop_accepting,
        end,
        sessions,
        tasks,
        http,
    })
}

impl Handle {
    /// The addresses that the relay listens on.
    pub fn addresses(&self) -> BoundAddresses {
        self.addresses
    }

    /// The relay's identifier, unique for each start.
    pub fn relay(&self) -> &RelayId {
        &self.hub.relay
    }

    /// The counters.
    pub fn metrics(&self) -> &RelayMetrics {
        &self.hub.metrics
    }

    /// Resolves if the relay cannot go on. A relay keeps nothing that can fail for good, so this
    /// waits forever.
    pub async fn failed(&mut self) -> String {
        pending().await
    }

    /// Planned stop: not ready, accepts nobody, asks the agents to move, answers the ledger calls
    /// in flight, and ends.
    pub async fn stop(self) {
        self.telemetry.set_ready(false);
        self.hub.stopping.send_replace(true);
        self.stop_accepting.cancel();
        self.wait_for_agents().await;
        self.end.cancel();
        self.sessions.close();
        self.sessions.wait().await;
        self.http.stop_graceful(HTTP_STOP_LIMIT);
        for task in self.tasks {
            // A task that panicked has been reported by the panic hook.
            let _ = task.await;
        }
    }

    /// Waits until every agent has moved; after the grace, only for ledger calls.
    async fn wait_for_agents(&self) {
        let started = Instant::now();
        let grace = Duration::from_millis(self.hub.config.stop_grace_ms);
        let limit = Duration::from_millis(self.hub.config.stop_limit_ms);
        while self.hub.open_sessions() > 0 && started.elapsed() < limit {
            let calls_done = self.hub.ledger().open_calls() == 0;
            if calls_done && started.elapsed() >= grace {
                return;
            }
            sleep(STOP_POLL).await;
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

fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // A relay that starts again takes its address back at once.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// A restarted relay is another one: control must not take its agents for those of the last run.
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
    telemetry: &Telemetry,
) -> Result<(ServerHandle, JoinHandle<()>), StartError> {
    let acceptor = TcpAcceptor::try_from(listener).map_err(|source| StartError::Listen {
        address,
        interface: "HTTP",
        source,
    })?;
    let server = Server::new(acceptor);
    let handle = server.handle();
    let router = telemetry.router();
    let task = tokio::spawn(async move {
        if let Err(error) = server.try_serve(router).await {
            log::error!("serve HTTP on {address}: {error}");
        }
    });
    Ok((handle, task))
}

async fn keep_time(hub: Arc<Hub>, telemetry: Telemetry, end: CancellationToken) {
    let mut timer = interval(TICK);
    timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = timer.tick() => {}
            () = end.cancelled() => return,
        }
        hub.tick();
        let stopping = *hub.stopping.borrow();
        telemetry.set_ready(!stopping && hub.is_current());
    }
}
