//! Starts and stops a gateway.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use hyper::{Request, Response, StatusCode, body::Incoming};
use sablehaven_http::{
    ClientBudget, ConnectionLimits, ServerSignals, WholeBody, accept_connections, listen,
};
use sablehaven_types::{BoundAddresses, SettingError};
use tokio::{
    net::TcpListener,
    task::{JoinHandle, spawn_local},
    time::{interval, sleep, timeout},
};

use crate::{
    Config, control_link::maintain_links, control_links::fetch_state, gateway::Gateway,
    names::HeaderNames, request::answer,
};

/// Interval at which idle connections are checked and closed.
const CONNECTION_SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which the load is sampled. It equals the interval of the keepalive messages that report it.
const LOAD_SAMPLE_INTERVAL: Duration = Duration::from_millis(500);
/// Time after the start until a gateway that lacks routes or servers first reports it.
const FIRST_READINESS_REPORT: Duration = Duration::from_secs(3);
/// Maximum time between two such reports.
const MAX_READINESS_REPORT_PAUSE: Duration = Duration::from_secs(60);

/// Why a gateway did not start. Each error names the step that failed.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum StartError {
    /// check settings: {errors:?}
    Settings {
        /// The invalid settings.
        errors: Vec<SettingError>,
    },
    /// listen on {address}: {source}
    Listen {
        /// The address that could not be bound.
        address: SocketAddr,
        /// The error that the system returned.
        source: std::io::Error,
    },
}

/// A running gateway. All its tasks run on the thread that started it.
pub struct Handle {
    gateway: Rc<Gateway>,
    addresses: BoundAddresses,
    accept_task: JoinHandle<()>,
    readiness_address: Option<SocketAddr>,
}

/// The metrics of a running gateway. Cheap to clone.
#[derive(Clone)]
pub struct MetricsHandle {
    gateway: Rc<Gateway>,
}

impl MetricsHandle {
    /// The limits on what the gateway holds for its clients, which those who fetch its metrics share.
    pub fn clients(&self) -> &ClientBudget {
        &self.gateway.clients
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn encode_metrics(&self) -> String {
        let open = i64::try_from(self.gateway.admission.open()).unwrap_or(i64::MAX);
        self.gateway.metrics.open_requests.set(open);
        self.gateway.metrics.encode()
    }
}

/// Starts a gateway. Must be called within a [`tokio::task::LocalSet`].
///
/// # Errors
/// See [`StartError`].
pub fn start(config: Config, names: HeaderNames) -> Result<Handle, StartError> {
    let errors = config.validate("gateway");
    if !errors.is_empty() {
        return Err(StartError::Settings { errors });
    }
    let buffer_bytes = config.clients.socket_buffer_bytes;
    let bind = |address| bind(address, buffer_bytes);
    let (caller_listener, address) = bind(config.listen)?;
    let readiness_listener = config.ready_listen.map(bind).transpose()?;
    let gateway = Rc::new(Gateway::new(config, names, address));
    let accept_task = spawn_local(accept_callers(Rc::clone(&gateway), caller_listener));
    spawn_local(maintain_links(Rc::clone(&gateway)));
    spawn_local(fetch_state(Rc::clone(&gateway)));
    spawn_local(sweep_connections(Rc::clone(&gateway)));
    spawn_local(sample_load(Rc::clone(&gateway)));
    spawn_local(report_missing_state(Rc::clone(&gateway)));
    let mut ready_address = None;
    if let Some((listener, address)) = readiness_listener {
        ready_address = Some(address);
        spawn_local(accept_readiness(Rc::clone(&gateway), listener));
    }
    log::info!(event = "start", role = "gateway", address:% = address; "gateway started");
    Ok(Handle {
        gateway,
        addresses: BoundAddresses {
            http: Some(address),
            internal: None,
        },
        accept_task,
        readiness_address: ready_address,
    })
}

fn bind(address: SocketAddr, buffer_bytes: usize) -> Result<(TcpListener, SocketAddr), StartError> {
    let error = |source| StartError::Listen { address, source };
    let listener = listen(address, buffer_bytes).map_err(error)?;
    let bound = listener.local_addr().map_err(error)?;
    Ok((listener, bound))
}

impl Handle {
    /// The addresses on which this gateway listens.
    pub fn addresses(&self) -> BoundAddresses {
        self.addresses
    }

    /// Never resolves, since a gateway continues to run whatever fails.
    pub async fn failed(&mut self) -> String {
        std::future::pending().await
    }

    /// The address on which `GET /ready` is served, if any.
    pub fn ready_address(&self) -> Option<SocketAddr> {
        self.readiness_address
    }

    /// The metrics of this gateway, to be served by the caller.
    pub fn metrics(&self) -> MetricsHandle {
        MetricsHandle {
            gateway: Rc::clone(&self.gateway),
        }
    }

    /// Adds addresses of control replicas to the known ones.
    pub fn add_controls(&self, controls: impl IntoIterator<Item = SocketAddr>) {
        self.gateway.add_controls(controls);
    }

    /// Stops the gateway gracefully. It is no longer ready from the start of the stop, which removes it from the
    /// directory, but it still accepts requests for as long as callers may keep its address. Then idle connections are
    /// closed, and the others after their response. Every request that has been read is answered, with a refusal if no
    /// server can answer it before the last answers are due.
    pub async fn stop(self) {
        let gateway = &self.gateway;
        let signals = &gateway.signals;
        let exit_at = gateway.clock.now() + Duration::from_millis(gateway.config.stop_limit_ms);
        log::info!(
            event = "stop", open = gateway.admission.open(), connections = signals.open_connections();
            "stopping"
        );
        gateway.begin_stop(exit_at);
        sleep(Duration::from_millis(gateway.config.stop_linger_ms)).await;
        self.accept_task.abort();
        signals.closing.cancel();
        // A connection closes once it has no request to read or to answer, and its last response is written.
        let time_left = exit_at.saturating_sub(gateway.clock.now());
        let all_closed = timeout(time_left, signals.wait_until_closed()).await;
        log::info!(
            event = "stopped", open = gateway.admission.open(), connections = signals.open_connections(),
            is_limit_reached = all_closed.is_err();
            "stopped"
        );
    }
}

/// Logs from time to time what a gateway that is not ready lacks, until it has routes and servers for the first time.
async fn report_missing_state(gateway: Rc<Gateway>) {
    let mut pause = FIRST_READINESS_REPORT;
    loop {
        sleep(pause).await;
        if gateway.has_routes() {
            return;
        }
        gateway.log_readiness();
        pause = (2 * pause).min(MAX_READINESS_REPORT_PAUSE);
    }
}

async fn accept_callers(gateway: Rc<Gateway>, listener: TcpListener) {
    let settings_source = Rc::clone(&gateway);
    let bounds = move || {
        let limits = settings_source.limits();
        ConnectionLimits {
            max_header_bytes: limits.max_header_bytes,
            header_timeout: Duration::from_millis(limits.header_timeout_ms),
            idle_timeout: Duration::from_millis(limits.idle_timeout_ms),
        }
    };
    let share = gateway
        .clients
        .listener(gateway.clients.limits().max_connections);
    let signals = gateway.signals.clone();
    let handler = move |client, request| answer(Rc::clone(&gateway), client, request);
    accept_connections(listener, bounds, share, signals, handler).await;
}

/// Serves the readiness check until the process ends.
async fn accept_readiness(gateway: Rc<Gateway>, listener: TcpListener) {
    let bounds = || ConnectionLimits {
        max_header_bytes: 8 * 1024,
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(60),
    };
    let max_connections = gateway.config.clients.max_probe_connections;
    let share = gateway.clients.listener(max_connections);
    let signals = ServerSignals::default();
    let handler =
        move |_, request: Request<Incoming>| std::future::ready(readiness(&gateway, &request));
    accept_connections(listener, bounds, share, signals, handler).await;
}

fn readiness(gateway: &Gateway, request: &Request<Incoming>) -> Response<WholeBody> {
    let status = match (request.uri().path(), gateway.is_ready()) {
        ("/ready", true) => StatusCode::OK,
        ("/ready", false) => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    };
    let mut response = Response::new(WholeBody::new(Bytes::new()));
    *response.status_mut() = status;
    response
}

async fn sweep_connections(gateway: Rc<Gateway>) {
    let mut ticker = interval(CONNECTION_SWEEP_INTERVAL);
    loop {
        ticker.tick().await;
        gateway.registry.close_expired_connections();
    }
}

/// Samples the load. The runtime's single thread counts as busy from when it wakes until it waits again. On a
/// machine with a fraction of a core this includes the time during which the system did not schedule it, which
/// callers notice as well.
async fn sample_load(gateway: Rc<Gateway>) {
    let runtime = tokio::runtime::Handle::current().metrics();
    let mut ticker = interval(LOAD_SAMPLE_INTERVAL);
    loop {
        ticker.tick().await;
        let busy = runtime.worker_total_busy_duration(0);
        gateway.load.record(gateway.clock.now(), busy);
    }
}
