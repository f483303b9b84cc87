//! A gateway in this process, between a caller, a stand-in control replica and stand-in servers.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Request, StatusCode, header::HeaderMap};
use sablehaven_gateway::{Config, Handle, RetryBounds, names::HeaderNames, start};
use sablehaven_http::{Opened, WholeBody, open};
use sablehaven_standins::routed::{Behaviour, RoutedNames, RoutedServer};
use sablehaven_types::{
    CallerLimits, Gather, ListedServer, ListingNumber, Placement, RequestKind, Route,
    RouteDocument, RouteTarget, RoutedService, ServerListing, ServiceName,
};
use sablehaven_wire::{
    ControlToGateway, DeploymentMembers, GatewayStatus, GatewayToControl, Hello, PROTOCOL_VERSION,
    Role, accept,
};
use tokio::{net::TcpListener, sync::watch, task::LocalSet, time::sleep};

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

/// What the stand-in control replica says.
#[derive(Clone, Default)]
struct Said {
    /// Gateways of zone `a`; one where it is not said.
    gateways: Option<u32>,
    routes: Option<Arc<RouteDocument>>,
    listing: Option<Arc<ServerListing>>,
}

/// A gateway with what is around it.
pub struct Bed {
    pub gateway: Option<Handle>,
    pub address: SocketAddr,
    pub ready: SocketAddr,
    said: watch::Sender<Said>,
    heard: watch::Receiver<Option<GatewayStatus>>,
    reading: u64,
    /// Servers by service, as they are listed.
    pub servers: BTreeMap<String, Vec<RoutedServer>>,
    draining: Vec<String>,
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
        tokio::task::spawn_local(stand_in_control(listener, saying, hearing));
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
            reading: 0,
            servers: BTreeMap::new(),
            draining: Vec::new(),
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
                    warmup_left_ms: 0,
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
                    };
                    (service, known)
                })
                .collect(),
            routes,
            limits: CallerLimits {
                max_body_bytes: 1_000,
                ..CallerLimits::default()
            },
        };
        self.said
            .send_modify(|said| said.routes = Some(Arc::new(document)));
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

/// A caller's answer.
#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub taken: Duration,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// Sends one request on a connection of its own.
pub async fn call(
    address: SocketAddr,
    id: Option<&str>,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Answer {
    let mut connection = connect(address).await;
    let mut request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "stock.example");
    if let Some(id) = id {
        request = request.header("sablehaven-request-id", id);
    }
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(WholeBody::new(Bytes::copy_from_slice(body.as_bytes())));
    let started = Instant::now();
    let response = connection
        .send_request(request.expect("a request"))
        .await
        .expect("an answer");
    let (head, body) = response.into_parts();
    let body = body.collect().await.expect("a whole body").to_bytes();
    Answer {
        status: head.status,
        headers: head.headers,
        body,
        taken: started.elapsed(),
    }
}

pub async fn connect(address: SocketAddr) -> hyper::client::conn::http1::SendRequest<WholeBody> {
    let opened = open(None, address, LIMIT, LIMIT).await.expect("connect");
    let Opened {
        sender, connection, ..
    } = opened;
    tokio::spawn(async move {
        let _ = connection.await;
    });
    sender
}

async fn stand_in_control(
    listener: TcpListener,
    saying: watch::Receiver<Said>,
    hearing: watch::Sender<Option<GatewayStatus>>,
) {
    loop {
        let (stream, address) = listener.accept().await.expect("accept");
        let hello = Hello {
            protocol_version: PROTOCOL_VERSION,
            deployment: "test".to_owned(),
            role: Role::Control,
            sender: "control".to_owned(),
        };
        let Ok(connection) = accept(stream, address, &hello).await else {
            continue;
        };
        let mut connection = connection.retype::<GatewayToControl, ControlToGateway>();
        let mut saying = saying.clone();
        saying.mark_changed();
        let hearing = hearing.clone();
        tokio::task::spawn_local(async move {
            let members = |said: &Said| {
                ControlToGateway::Members(DeploymentMembers {
                    gateways: BTreeMap::from([("a".into(), said.gateways.unwrap_or(1))]),
                    ..DeploymentMembers::default()
                })
            };
            loop {
                tokio::select! {
                    Ok(()) = saying.changed() => {
                        let said = saying.borrow_and_update().clone();
                        let message = members(&said);
                        connection.writer.send(&message).await.expect("send");
                        if let Some(listing) = said.listing {
                            let message = ControlToGateway::Listing(listing);
                            connection.writer.send(&message).await.expect("send");
                        }
                        if let Some(routes) = said.routes {
                            let message = ControlToGateway::Routes(routes);
                            connection.writer.send(&message).await.expect("send");
                        }
                    }
                    received = connection.reader.receive() => match received {
                        Ok(GatewayToControl::Status(status)) => {
                            hearing.send_replace(Some(status));
                            if connection.writer.send(&ControlToGateway::Alive).await.is_err() {
                                return;
                            }
                        }
                        Err(_) => return,
                    },
                }
            }
        });
    }
}

/// A route to one service.
pub fn single(path_prefix: &str, kind: RequestKind, service: &str) -> Route {
    Route {
        name: format!("r{}", path_prefix.replace('/', "-")),
        host: "stock.example".to_owned(),
        path_prefix: path_prefix.to_owned(),
        kind,
        timeout_ms: 3_000,
        aim_ms: 400,
        priority: 1,
        max_attempts: 2,
        target: RouteTarget::Service(service.into()),
    }
}

/// A route that gathers over shards.
pub fn gather(path_prefix: &str, shards: &[&str], min_coverage: f64) -> Route {
    Route {
        target: RouteTarget::Gather(Gather {
            shards: shards.iter().map(|shard| (*shard).into()).collect(),
            top_k: 3,
            min_coverage,
        }),
        ..single(path_prefix, RequestKind::Safe, "none")
    }
}

/// A record of 16 bytes that ends in a value.
pub fn record(value: u8) -> Vec<u8> {
    let mut record = vec![0; 16];
    record[15] = value;
    record
}
