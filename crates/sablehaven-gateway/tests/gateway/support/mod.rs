//! A gateway in this process, between a caller, a stand-in control replica and stand-in servers.

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
use tokio::{net::TcpListener, sync::watch, task::LocalSet, time::sleep};

#[allow(
    unused_imports,
    reason = "the example gather_cost needs no answers of the gateway's own"
)]
pub use self::caller::{Answer, assert_unservable, call};
use self::control::{HeardNames, Said, stand_in_control};

pub const NAMES: RoutedNames = RoutedNames {
    request_id: "sablehaven-request-id",
    stamp: "sablehaven-stamp",
    not_executed: "sablehaven-not-executed",
    instance: "sablehaven-instance",
};

/// Longest time that a condition may take; generous, since the machine may be busy.
const LIMIT: Duration = Duration::from_secs(30);

/// Runs a test on one thread, as a gateway runs.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime");
    LocalSet::new().block_on(&runtime, test);
}

/// Waits until a condition holds.
pub async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < LIMIT, "not in time: {what}");
        sleep(Duration::from_millis(5)).await;
    }
}
/// A gateway with what is around it.
pub struct Bed {
    pub gateway: Option<Handle>,
    pub address: SocketAddr,
    pub ready: SocketAddr,
    said: watch::Sender<Said>,
    heard: watch::Receiver<Option<GatewayStatus>>,
    heard_names: HeardNames,
    reading: u64,
    /// Servers by service, as they are listed.
    pub servers: BTreeMap<String, Vec<RoutedServer>>,
    draining: Vec<String>,
    cold: Vec<String>,
    /// What cold servers bear; 0 for no bound.
    pub warmup_per_second: f64,
    /// The tenants of the routes that are put in force next; none at first.
    pub tenants: Vec<Tenant>,
}

impl Bed {
    /// A gateway without routes and servers.
    pub async fn new() -> Self {
        Self::with(|_| {}).await
    }

    /// A gateway with other settings.
    pub async fn with(change: impl FnOnce(&mut Config)) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("listen");
        let control = listener.local_addr().expect("address");
        let (said, saying) = watch::channel(Said::default());
        let (hearing, heard) = watch::channel(None);
        let heard_names = HeardNames::default();
        let names = HeardNames::clone(&heard_names);
        tokio::task::spawn_local(stand_in_control(listener, saying, hearing, names));
        let mut config = Config {
            deployment: "test".to_owned(),
            ready_listen: Some(([127, 0, 0, 1], 0).into()),
            placement: Placement {
                region: "north".into(),
                zone: "a".into(),
            },
            regions: BTreeMap::from([("a".into(), "north".into()), ("b".into(), "south".into())]),
            controls: vec![control],
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
        let gateway = start(config, HeaderNames::default()).expect("start gateway");
        Self {
            address: gateway.addresses().http.expect("an address"),
            ready: gateway.ready_address().expect("an address"),
            gateway: Some(gateway),
            said,
            heard,
            heard_names,
            reading: 0,
            servers: BTreeMap::new(),
            draining: Vec::new(),
            cold: Vec::new(),
            warmup_per_second: 0.0,
            tenants: Vec::new(),
        }
    }

    /// Adds a server to a service and lists it.
    pub async fn serve(&mut self, service: &str, zone_behaviours: &[Behaviour]) {
        for behaviour in zone_behaviours {
            let servers = self.servers.entry(service.to_owned()).or_default();
            let id = format!("{service}-{}", servers.len());
            let server = RoutedServer::start(&id, NAMES, behaviour.clone()).await;
            servers.push(server.expect("start server"));
        }
        self.list();
    }

    /// Serves the shards `both`, with a server in each zone, and `near-only`, with one in zone `a`, through the
    /// routes `/half/`, which either of them is enough for, and `/all/`, which needs both.
    #[allow(dead_code, reason = "not used by the example gather_cost")]
    pub async fn serve_two_shards(&mut self, change: impl Fn(Route) -> Route) {
        let body = || Behaviour::answer(routes::record(1));
        self.serve("both", &[body(), body()]).await;
        self.serve("near-only", &[body()]).await;
        let shards = ["both", "near-only"];
        let half = routes::gather("/half/", &shards, 0.5);
        let all = routes::gather("/all/", &shards, 0.9);
        self.route(1, vec![change(half), change(all)]).await;
    }

    /// As [`Self::serve`], with the servers on another runtime, so that this thread's processor time
    /// is the gateway's.
    #[allow(dead_code, reason = "used by the example gather_cost")]
    pub async fn serve_on(
        &mut self,
        elsewhere: &tokio::runtime::Handle,
        service: &str,
        behaviours: &[Behaviour],
    ) {
        for behaviour in behaviours {
            let servers = self.servers.entry(service.to_owned()).or_default();
            let id = format!("{service}-{}", servers.len());
            let behaviour = behaviour.clone();
            let starting =
                elsewhere.spawn(async move { RoutedServer::start(&id, NAMES, behaviour).await });
            let server = starting.await.expect("the start ends");
            servers.push(server.expect("start server"));
        }
        self.list();
    }

    /// The list says from now on that a server is leaving.
    pub fn drain(&mut self, id: &str) {
        self.draining.push(id.to_owned());
        self.list();
    }

    /// The list says from now on that a server is cold.
    pub fn cool(&mut self, id: &str) {
        self.cold.push(id.to_owned());
        self.list();
    }

    /// Says the list as it is now; the first server of each service is near, the others are far.
    pub fn list(&mut self) {
        self.reading += 1;
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
                reading: self.reading,
            },
            servers: listed,
        };
        self.said
            .send_modify(|said| said.listing = Some(Arc::new(listing)));
    }

    /// Puts routes in force and waits for them and the list.
    pub async fn route(&mut self, version: u64, routes: Vec<Route>) {
        self.say_routes(version, routes);
        self.settle(version).await;
    }

    pub fn say_routes(&mut self, version: u64, routes: Vec<Route>) {
        let services = routes
            .iter()
            .flat_map(|route| route.services().into_iter().cloned());
        let document = RouteDocument {
            version,
            services: services
                .map(|service: ServiceName| {
                    let known = RoutedService {
                        health_path: "/health".to_owned(),
                        max_connections: 64,
                        warmup_ms: 20_000,
                        warmup_per_second: self.warmup_per_second,
                    };
                    (service, known)
                })
                .collect(),
            routes,
            limits: CallerLimits {
                max_body_bytes: 1_000,
                ..CallerLimits::default()
            },
            tenants: self.tenants.clone(),
        };
        self.said
            .send_modify(|said| said.routes = Some(Arc::new(document)));
    }

    /// Says only what differs between the routes that were said last and these tenants, as a change of the version `base`.
    pub fn say_tenants_change(&mut self, base: u64, version: u64, tenants: Vec<Tenant>) {
        self.said.send_modify(|said| {
            let held = said.routes.as_ref().expect("routes were said");
            let next = RouteDocument {
                version,
                tenants,
                ..RouteDocument::clone(held)
            };
            let change = RoutesChange::between(held, &next);
            said.routes_change = Some(RoutesChange { base, ..change });
        });
    }

    /// Says which zones are evacuated, and waits until the gateway has heard it.
    pub async fn evacuate(&self, revision: u64, zones: &[&str]) {
        let zones = zones.iter().map(|zone| (*zone).into()).collect();
        let evacuated = EvacuatedZones { revision, zones };
        self.said.send_modify(|said| said.evacuated = evacuated);
        let mut heard = self.heard.clone();
        let obeyed = heard.wait_for(|status| {
            status
                .as_ref()
                .is_some_and(|status| status.evacuation_revision >= revision)
        });
        let obeyed = tokio::time::timeout(LIMIT, obeyed).await;
        obeyed.expect("the gateway hears in time").expect("control");
    }

    /// Says that callers are told of other gateways, so that this one has no part of what they share.
    pub fn take_part_away(&self) {
        self.said.send_modify(|said| said.has_no_part = true);
    }

    /// Says how many gateways there are.
    pub fn say_gateways(&self, gateways: u32) {
        self.said.send_modify(|said| said.gateways = Some(gateways));
    }

    /// Waits until the gateway has a version and the latest list.
    pub async fn settle(&mut self, version: u64) {
        let reading = self.reading;
        let mut heard = self.heard.clone();
        let settled = heard.wait_for(|status| {
            status.as_ref().is_some_and(|status| {
                status.routes_version >= version && status.listing.reading >= reading
            })
        });
        let settled = tokio::time::timeout(LIMIT, settled).await;
        settled
            .expect("the gateway settles in time")
            .expect("control");
    }

    /// The names of the messages that the gateway has sent.
    pub fn heard_names(&self) -> Vec<&'static str> {
        self.heard_names.borrow().iter().copied().collect()
    }

    /// The latest word of the gateway.
    pub fn status(&self) -> Option<GatewayStatus> {
        self.heard.borrow().clone()
    }

    pub fn server(&self, service: &str, position: usize) -> &RoutedServer {
        &self.servers[service][position]
    }

    /// Requests that reached the servers of a service.
    pub fn arrivals(&self, service: &str) -> usize {
        self.servers[service]
            .iter()
            .map(|server| server.seen().len())
            .sum()
    }

    pub async fn get(&self, id: &str, path: &str) -> Answer {
        self.send(id, "GET", path, &[], "").await
    }

    pub async fn send(
        &self,
        id: &str,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Answer {
        call(self.address, Some(id), method, path, headers, body).await
    }
}
