//! A gateway in the test's process, with a caller and test doubles of a control replica and of servers.

mod caller;
mod control;
pub mod raw_caller;
pub mod routes;
pub mod tenants;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use sablehaven_gateway::{Config, Handle, RetryBounds, names::HeaderNames, start};
use sablehaven_standins::routed::{Behaviour, RoutedNames, RoutedServer};
use sablehaven_types::{
    CallerLimits, EvacuatedZones, ListedServer, ListingNumber, Placement, Route, RouteDocument,
    RoutedService, RoutesChange, ServerListing, ServiceName, Tenant,
};
use sablehaven_wire::GatewayStatus;
use tokio::{
    net::TcpListener,
    sync::watch,
    task::{JoinHandle, LocalSet, spawn_local},
    time::sleep,
};

#[allow(
    unused_imports,
    reason = "the example gather_cost does not inspect responses"
)]
pub use self::caller::{Response, assert_unavailable, send_request};
use self::control::{ControlState, ReceivedKinds, run_control_double};

pub const HEADER_NAMES: RoutedNames = RoutedNames {
    request_id: "sablehaven-request-id",
    stamp: "sablehaven-stamp",
    not_executed: "sablehaven-not-executed",
    instance: "sablehaven-instance",
};

/// Maximum time to wait for a condition. It is generous, since the machine may be busy.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs a test on a single thread, as a gateway runs.
pub fn run_test(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime");
    LocalSet::new().block_on(&runtime, test);
}

/// Waits until a condition holds, and panics if that takes longer than [`WAIT_TIMEOUT`].
pub async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "timed out waiting until {what}"
        );
        sleep(Duration::from_millis(5)).await;
    }
}

/// A gateway with the test doubles that it is connected to.
pub struct TestBed {
    pub gateway: Option<Handle>,
    /// Runs the gateway's tasks. Aborting it drops all of them, as the exit of a process does.
    gateway_tasks: JoinHandle<()>,
    pub address: SocketAddr,
    pub ready_address: SocketAddr,
    control_state: watch::Sender<ControlState>,
    reported_status: watch::Receiver<Option<GatewayStatus>>,
    received_kinds: ReceivedKinds,
    /// The reading number of the latest server list.
    listing_reading: u64,
    /// Servers by service, in the order of the server list.
    pub servers: BTreeMap<String, Vec<RoutedServer>>,
    /// IDs of the servers that are listed as draining.
    draining: Vec<String>,
    /// IDs of the servers that are listed as cold.
    cold: Vec<String>,
    /// Maximum requests per second to a cold server; 0 for no limit.
    pub warmup_per_second: f64,
    /// The limits on callers that are sent with the next routes.
    pub caller_limits: CallerLimits,
    /// The tenants that are sent with the next routes.
    pub tenants: Vec<Tenant>,
}

impl TestBed {
    /// Starts a gateway without routes and servers.
    pub async fn new() -> Self {
        Self::with(|_| {}).await
    }

    /// Starts a gateway with changed settings.
    pub async fn with(change: impl FnOnce(&mut Config)) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listen");
        let control_address = listener.local_addr().expect("address");
        let (control_state, state_receiver) = watch::channel(ControlState::default());
        let (status_sender, reported_status) = watch::channel(None);
        let received_kinds = ReceivedKinds::default();
        let recorded_kinds = ReceivedKinds::clone(&received_kinds);
        spawn_local(run_control_double(
            listener,
            state_receiver,
            status_sender,
            recorded_kinds,
        ));
        let mut config = Config {
            deployment: "test".to_owned(),
            ready_listen: Some(([127, 0, 0, 1], 0).into()),
            placement: Placement {
                region: "north".into(),
                zone: "a".into(),
            },
            regions: BTreeMap::from([("a".into(), "north".into()), ("b".into(), "south".into())]),
            controls: vec![control_address],
            retries: RetryBounds {
                ratio: 0.2,
                slack: 1_000.0,
                window_ms: 10_000,
                slack_pause_ms: 0,
            },
            stop_linger_ms: 300,
            stop_limit_ms: 5_000,
            ..Config::default()
        };
        change(&mut config);
        let gateway_tasks = LocalSet::new();
        let gateway = {
            let _entered = gateway_tasks.enter();
            start(config, HeaderNames::default()).expect("start gateway")
        };
        Self {
            gateway_tasks: spawn_local(gateway_tasks),
            address: gateway.addresses().http.expect("an address"),
            ready_address: gateway.ready_address().expect("an address"),
            gateway: Some(gateway),
            control_state,
            reported_status,
            received_kinds,
            listing_reading: 0,
            servers: BTreeMap::new(),
            draining: Vec::new(),
            cold: Vec::new(),
            warmup_per_second: 0.0,
            caller_limits: CallerLimits {
                max_body_bytes: 1_000,
                ..CallerLimits::default()
            },
            tenants: Vec::new(),
        }
    }

    /// Stops the gateway and then ends everything that still runs in it, as a process does that stops and exits.
    #[allow(dead_code, reason = "not used by the example gather_cost")]
    pub async fn stop_and_exit(&self, gateway: Handle) {
        gateway.stop().await;
        self.gateway_tasks.abort();
    }

    /// Starts servers of a service, one for each behaviour, and publishes the list.
    pub async fn add_servers(&mut self, service: &str, behaviours: &[Behaviour]) {
        for behaviour in behaviours {
            let servers = self.servers.entry(service.to_owned()).or_default();
            let id = format!("{service}-{}", servers.len());
            let server = RoutedServer::start(&id, HEADER_NAMES, behaviour.clone()).await;
            servers.push(server.expect("start server"));
        }
        self.publish_listing();
    }

    /// Starts the shards `both`, with a server in each zone, and `near-only`, with a server in zone `a`. Puts two
    /// routes to them in force: `/half/`, for which either shard is enough, and `/all/`, which needs both. `change` is
    /// applied to each route first.
    #[allow(dead_code, reason = "not used by the example gather_cost")]
    pub async fn set_up_two_shards(&mut self, change: impl Fn(Route) -> Route) {
        let body = || Behaviour::answer(routes::record(1));
        self.add_servers("both", &[body(), body()]).await;
        self.add_servers("near-only", &[body()]).await;
        let shards = ["both", "near-only"];
        let half = routes::gather_route("/half/", &shards, 0.5);
        let all = routes::gather_route("/all/", &shards, 0.9);
        self.apply_routes(1, vec![change(half), change(all)]).await;
    }

    /// Like [`Self::add_servers`], but runs the servers on another runtime, so that this thread only spends processor
    /// time on the gateway.
    #[allow(dead_code, reason = "used by the example gather_cost")]
    pub async fn add_servers_on(
        &mut self,
        runtime: &tokio::runtime::Handle,
        service: &str,
        behaviours: &[Behaviour],
    ) {
        for behaviour in behaviours {
            let servers = self.servers.entry(service.to_owned()).or_default();
            let id = format!("{service}-{}", servers.len());
            let behaviour = behaviour.clone();
            let start_task = runtime
                .spawn(async move { RoutedServer::start(&id, HEADER_NAMES, behaviour).await });
            let server = start_task.await.expect("the start task finishes");
            servers.push(server.expect("start server"));
        }
        self.publish_listing();
    }

    /// Marks a server as draining and publishes the list.
    pub fn set_draining(&mut self, id: &str) {
        self.draining.push(id.to_owned());
        self.publish_listing();
    }

    /// Marks a server as cold and publishes the list.
    pub fn set_cold(&mut self, id: &str) {
        self.cold.push(id.to_owned());
        self.publish_listing();
    }

    /// Publishes the current server list. The first server of each service is in the gateway's zone `a`, the others are
    /// in zone `b`, which is in another region.
    pub fn publish_listing(&mut self) {
        self.listing_reading += 1;
        let mut listed = Vec::new();
        for (service, servers) in &self.servers {
            for (position, server) in servers.iter().enumerate() {
                listed.push(ListedServer {
                    id: server.id.as_str().into(),
                    service: service.as_str().into(),
                    address: server.address,
                    zone: if position == 0 { "a" } else { "b" }.into(),
                    slots: 8,
                    is_draining: self.draining.contains(&server.id),
                    warmup_left_ms: if self.cold.contains(&server.id) {
                        20_000
                    } else {
                        0
                    },
                    started_at_ms: None,
                });
            }
        }
        let listing = ServerListing {
            number: ListingNumber {
                term: 1,
                reading: self.listing_reading,
            },
            servers: listed,
        };
        self.control_state
            .send_modify(|control_state| control_state.listing = Some(Arc::new(listing)));
    }

    /// Publishes routes and waits until the gateway has applied them and the latest server list.
    pub async fn apply_routes(&mut self, version: u64, routes: Vec<Route>) {
        self.set_routes(version, routes);
        self.wait_until_applied(version).await;
    }

    /// Publishes routes without waiting for the gateway.
    pub fn set_routes(&mut self, version: u64, routes: Vec<Route>) {
        let services = routes
            .iter()
            .flat_map(|route| route.services().into_iter().cloned());
        let document = RouteDocument {
            version,
            services: services
                .map(|service: ServiceName| {
                    let settings = RoutedService {
                        health_path: "/health".to_owned(),
                        max_connections: 64,
                        warmup_ms: 20_000,
                        warmup_per_second: self.warmup_per_second,
                    };
                    (service, settings)
                })
                .collect(),
            routes,
            limits: self.caller_limits,
            tenants: self.tenants.clone(),
        };
        self.control_state
            .send_modify(|control_state| control_state.routes = Some(Arc::new(document)));
    }

    /// Publishes a change of version `base`. It contains only what differs between the latest routes and the same
    /// routes with `tenants`.
    pub fn send_tenants_change(&mut self, base: u64, version: u64, tenants: Vec<Tenant>) {
        self.control_state.send_modify(|control_state| {
            let current = control_state
                .routes
                .as_ref()
                .expect("routes were published");
            let next = RouteDocument {
                version,
                tenants,
                ..RouteDocument::clone(current)
            };
            let change = RoutesChange::between(current, &next);
            control_state.routes_change = Some(RoutesChange { base, ..change });
        });
    }

    /// Publishes the evacuated zones and waits until the gateway has applied them.
    pub async fn evacuate(&self, revision: u64, zones: &[&str]) {
        let zones = zones.iter().map(|zone| (*zone).into()).collect();
        let evacuated = EvacuatedZones { revision, zones };
        self.control_state
            .send_modify(|control_state| control_state.evacuated = evacuated);
        let mut reported_status = self.reported_status.clone();
        let acknowledged = reported_status.wait_for(|status| {
            status
                .as_ref()
                .is_some_and(|status| status.evacuation_revision >= revision)
        });
        let acknowledged = tokio::time::timeout(WAIT_TIMEOUT, acknowledged).await;
        acknowledged
            .expect("the gateway applies the evacuation in time")
            .expect("the control replica runs");
    }

    /// Tells the gateway that callers are only told of other gateways, so that it has no share of the limits that all
    /// gateways have together.
    pub fn set_unadvertised(&self) {
        self.control_state
            .send_modify(|control_state| control_state.is_unadvertised = true);
    }

    /// Publishes the number of gateways in zone `a`.
    pub fn set_gateway_count(&self, count: u32) {
        self.control_state
            .send_modify(|control_state| control_state.gateway_count = Some(count));
    }

    /// Waits until the gateway has applied this version of the routes, or a newer one, and the latest server list.
    pub async fn wait_until_applied(&mut self, version: u64) {
        let listing_reading = self.listing_reading;
        let mut reported_status = self.reported_status.clone();
        let applied = reported_status.wait_for(|status| {
            status.as_ref().is_some_and(|status| {
                status.routes_version >= version && status.listing.reading >= listing_reading
            })
        });
        let applied = tokio::time::timeout(WAIT_TIMEOUT, applied).await;
        applied
            .expect("the gateway applies the configuration in time")
            .expect("the control replica runs");
    }

    /// The kinds of messages that the gateway has sent.
    pub fn received_kinds(&self) -> Vec<&'static str> {
        self.received_kinds.borrow().iter().copied().collect()
    }

    /// The latest status that the gateway has reported.
    pub fn status(&self) -> Option<GatewayStatus> {
        self.reported_status.borrow().clone()
    }

    pub fn server(&self, service: &str, position: usize) -> &RoutedServer {
        &self.servers[service][position]
    }

    /// Number of requests that have reached the servers of a service.
    pub fn arrivals(&self, service: &str) -> usize {
        self.servers[service]
            .iter()
            .map(|server| server.seen().len())
            .sum()
    }

    pub async fn get(&self, id: &str, path: &str) -> Response {
        self.send(id, "GET", path, &[], "").await
    }

    pub async fn send(
        &self,
        id: &str,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Response {
        send_request(self.address, Some(id), method, path, headers, body).await
    }
}
