//! The state of a gateway, shared by its tasks on one thread.

use std::{
    cell::RefCell,
    collections::BTreeSet,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use sablehaven_http::{ClientBudget, ClientLimits, ServerSignals};
use sablehaven_routing::crash_table::CrashTable;
use sablehaven_types::{
    CallerLimits, CrashReport, EvacuatedZones, ListingChange, ListingNumber, RequestFingerprint,
    RouteDocument, RoutesChange, ServerListing, ZoneName,
};
use sablehaven_wire::{BootTimeClock, DeploymentMembers, GatewayStatus, StateVersions};
use tokio::sync::{broadcast, watch};

use crate::{
    Config,
    admission::Admission,
    caller::{Caller, CallerValidity},
    control_links::ControlLinks,
    crashes::log_quarantine,
    load::LoadMeter,
    metrics::Metrics,
    names::HeaderNames,
    planned_stop::PlannedStop,
    quotas::TokenClient,
    resends::ResendDetector,
    route_table::RouteTable,
    servers::Registry,
    throttle::RequestThrottle,
};

/// Number of crash reports by which a connection to a control replica may lag behind. If it lags further, all
/// known reports are sent on it again.
const MAX_UNSENT_REPORTS: usize = 64;

/// Fraction of the connections of callers whose requests may be open, in eighths. Only the others can be closed to make
/// room for new ones.
const OPEN_REQUEST_EIGHTHS: usize = 7;

/// A monotonic clock that starts at zero.
#[derive(Clone, Copy)]
pub(crate) struct Clock {
    started_at: Instant,
}

impl Clock {
    pub(crate) fn new() -> Self {
        Self {
            started_at: Instant::now(),
        }
    }

    pub(crate) fn now(&self) -> Duration {
        self.started_at.elapsed()
    }
}

/// The state of a gateway.
pub(crate) struct Gateway {
    pub(crate) config: Config,
    pub(crate) names: HeaderNames,
    pub(crate) clock: Clock,
    pub(crate) registry: Registry,
    pub(crate) admission: Admission,
    pub(crate) throttle: RefCell<RequestThrottle>,
    pub(crate) resends: RefCell<ResendDetector>,
    /// Requests during which servers crashed.
    pub(crate) crashes: Rc<RefCell<CrashTable>>,
    /// Sends what this gateway observes of such requests to the connections to control replicas.
    crash_reports: broadcast::Sender<CrashReport>,
    pub(crate) load: LoadMeter,
    pub(crate) signals: ServerSignals,
    /// What is held for callers and for other clients.
    pub(crate) clients: ClientBudget,
    pub(crate) metrics: Metrics,
    routes: RefCell<Option<Rc<RouteTable>>>,
    advertised_address: SocketAddr,
    pub(crate) planned_stop: PlannedStop,
    status: watch::Sender<GatewayStatus>,
    /// The connections to the control replicas, over which state is fetched.
    pub(crate) control_links: ControlLinks,
    /// The client for tokens of tenants' quotas.
    pub(crate) tokens: TokenClient<BootTimeClock>,
    /// Internal addresses of control replicas: those from the settings and those learned since.
    controls: watch::Sender<BTreeSet<SocketAddr>>,
}

impl Gateway {
    pub(crate) fn new(config: Config, names: HeaderNames, listen_address: SocketAddr) -> Self {
        let advertised_address = config.advertise.unwrap_or(listen_address);
        let status = GatewayStatus {
            address: advertised_address,
            placement: config.placement.clone(),
            is_ready: false,
            routes_version: 0,
            listing: ListingNumber::default(),
            evacuation_revision: 0,
        };
        let tokens = TokenClient::new(BootTimeClock::default(), &config.quotas);
        let controls = config.controls.iter().copied().collect();
        let clock = Clock::new();
        let clients = ClientBudget::new(config.clients.limits());
        let mut metrics = Metrics::new();
        metrics.register_clients(&clients);
        Self {
            registry: Registry::new(&config),
            admission: Admission::new(max_requests(&config, clients.limits())),
            throttle: RefCell::new(RequestThrottle::new(config.max_throttled)),
            clients,
            config,
            names,
            clock,
            resends: RefCell::default(),
            crashes: Rc::default(),
            crash_reports: broadcast::channel(MAX_UNSENT_REPORTS).0,
            load: LoadMeter::default(),
            signals: ServerSignals::default(),
            metrics,
            routes: RefCell::default(),
            advertised_address,
            planned_stop: PlannedStop::new(clock),
            status: watch::channel(status).0,
            control_links: ControlLinks::default(),
            tokens,
            controls: watch::channel(controls).0,
        }
    }

    /// The routes in force; `None` before the first version arrives.
    pub(crate) fn routes(&self) -> Option<Rc<RouteTable>> {
        self.routes.borrow().clone()
    }

    /// Whether a caller that was identified by the version in force or an earlier one is still valid.
    pub(crate) fn caller_validity(&self, caller: &Caller) -> CallerValidity {
        let routes = self.routes.borrow();
        let validity = routes.as_ref().map(|table| caller.check_validity(table));
        // There are always routes once a caller has been identified by them.
        validity.unwrap_or(CallerValidity::Valid)
    }

    /// The limits on callers that are in force.
    pub(crate) fn limits(&self) -> CallerLimits {
        let routes = self.routes.borrow();
        routes
            .as_ref()
            .map_or_else(CallerLimits::default, |table| table.document().limits)
    }

    /// The versions of the routes and of the list of servers in force.
    pub(crate) fn versions(&self) -> StateVersions {
        let routes = self.routes.borrow();
        StateVersions {
            routes: routes.as_ref().map_or(0, |table| table.document().version),
            listing: self.registry.listing_number(),
        }
    }

    /// Whether this gateway accepts callers' requests.
    pub(crate) fn is_ready(&self) -> bool {
        !self.planned_stop.has_begun() && self.has_routes()
    }

    /// Whether there are routes, and the list of servers has been read at least once.
    pub(crate) fn has_routes(&self) -> bool {
        self.routes.borrow().is_some() && self.registry.listing_number() > ListingNumber::default()
    }

    /// Applies a version of the routes. A version that is not newer than the one in force is ignored.
    pub(crate) fn apply_routes(&self, document: Arc<RouteDocument>) {
        let previous = self.routes();
        let held = previous
            .as_ref()
            .map_or(0, |table| table.document().version);
        if previous.is_some() && document.version <= held {
            return;
        }
        log::info!(event = "routes_in_force", version = document.version, former = held; "applied routes");
        let version = i64::try_from(document.version).unwrap_or(i64::MAX);
        self.metrics.routes_version.set(version);
        self.registry.apply_routes(&document);
        let table = RouteTable::new(document, previous.as_deref());
        *self.routes.borrow_mut() = Some(Rc::new(table));
        self.refresh_status();
    }

    /// Applies a change of the routes: the differences between the version that was in force when the change was
    /// requested and a newer version. If a reply of another replica has been applied in the meantime, the change
    /// no longer fits and is ignored, and what is still missing is fetched again.
    pub(crate) fn apply_routes_change(&self, change: &RoutesChange) {
        let Some(held) = self.routes() else {
            log::info!(event = "routes_change_ignored", base = change.base, held = 0; "ignored a change of the routes");
            return;
        };
        let held = held.document();
        if change.version <= held.version {
            return;
        }
        match change.apply(held) {
            Some(document) => self.apply_routes(Arc::new(document)),
            None => log::info!(
                event = "routes_change_ignored", base = change.base, held = held.version;
                "ignored a change of the routes"
            ),
        }
    }

    /// Applies a reading of the list of servers. A reading that is not newer than the one in force is ignored.
    pub(crate) fn apply_listing(&self, listing: &ServerListing) {
        if !self.registry.apply_listing(listing) {
            return;
        }
        let number = listing.number;
        self.metrics
            .listed_servers
            .set(listing.servers.len() as i64);
        log::info!(
            event = "listing_in_force", term = number.term, reading = number.reading,
            servers = listing.servers.len();
            "applied the list of servers"
        );
        self.refresh_status();
    }

    /// Applies a change of the list of servers: the differences between the reading that was in force when the
    /// change was requested and a newer reading. If a reply of another replica has been applied in the meantime,
    /// the change no longer fits and is ignored, and what is still missing is fetched again.
    pub(crate) fn apply_listing_change(&self, change: &ListingChange) {
        let held = self.registry.listing_number();
        if change.number <= held {
            return;
        }
        if !self.registry.apply_listing_change(change) {
            log::info!(
                event = "listing_change_ignored", base_term = change.base.term,
                base_reading = change.base.reading, held_term = held.term,
                held_reading = held.reading;
                "ignored a change of the list of servers"
            );
            return;
        }
        let number = change.number;
        let servers = self.registry.server_count();
        self.metrics.listed_servers.set(servers as i64);
        log::info!(
            event = "listing_in_force", term = number.term, reading = number.reading,
            servers = servers, changed = change.changed.len(), gone = change.gone.len();
            "applied the list of servers"
        );
        self.refresh_status();
    }

    /// Applies the evacuated zones. A revision that is not newer than the one in force is ignored.
    pub(crate) fn apply_evacuation(&self, evacuated: EvacuatedZones) {
        let revision = evacuated.revision;
        let zones: Vec<&str> = evacuated.zones.iter().map(ZoneName::as_str).collect();
        let zones = zones.join(", ");
        if self.registry.apply_evacuation(evacuated) {
            log::info!(event = "evacuation_in_force", revision = revision, zones = zones.as_str(); "applied the evacuated zones");
            self.refresh_status();
        }
    }

    /// Applies the members of the deployment.
    pub(crate) fn apply_members(&self, members: DeploymentMembers) {
        // A replica that has just started does not know of any gateway yet.
        if !members.gateways.is_empty() {
            self.registry
                .set_gateways(members.gateways, members.is_sharer);
        }
        self.add_controls(members.controls);
    }

    /// Reports what was newly observed of the servers of a request to the control replicas, if anything.
    pub(crate) fn report_crashes(&self, fingerprint: RequestFingerprint) {
        let new_report = self
            .crashes
            .borrow_mut()
            .take_unsent_report(self.clock.now(), fingerprint);
        if let Some(report) = new_report {
            // Sending fails if there is no connection. The next connection starts with all known reports.
            let _ = self.crash_reports.send(report);
        }
    }

    /// Subscribes to the crash reports that are made from now on.
    pub(crate) fn subscribe_crash_reports(&self) -> broadcast::Receiver<CrashReport> {
        self.crash_reports.subscribe()
    }

    /// Applies reports of other gateways about requests during which servers crashed.
    pub(crate) fn apply_crash_reports(&self, reports: &[CrashReport]) {
        let now = self.clock.now();
        let mut crashes = self.crashes.borrow_mut();
        for report in reports {
            let quarantine = crashes.merge_report(now, report);
            log_quarantine(quarantine, "control");
        }
    }

    /// Adds addresses of control replicas to the known ones.
    pub(crate) fn add_controls(&self, controls: impl IntoIterator<Item = SocketAddr>) {
        self.controls.send_if_modified(|known| {
            let previous_count = known.len();
            known.extend(controls);
            known.len() != previous_count
        });
    }

    pub(crate) fn controls(&self) -> watch::Receiver<BTreeSet<SocketAddr>> {
        self.controls.subscribe()
    }

    pub(crate) fn status(&self) -> watch::Receiver<GatewayStatus> {
        self.status.subscribe()
    }

    /// Begins a graceful stop, which ends with the exit at `exit_at` at the latest: the gateway is not ready any more,
    /// and every response asks the caller to close its connection.
    pub(crate) fn begin_stop(&self, exit_at: Duration) {
        self.planned_stop.begin(exit_at);
        self.signals.leaving.cancel();
        self.refresh_status();
    }

    fn refresh_status(&self) {
        let versions = self.versions();
        self.control_links.wake();
        let is_ready = self.is_ready();
        let former = self.status.send_replace(GatewayStatus {
            address: self.advertised_address,
            placement: self.config.placement.clone(),
            is_ready,
            routes_version: versions.routes,
            listing: versions.listing,
            evacuation_revision: self.registry.evacuation_revision(),
        });
        if former.is_ready != is_ready {
            self.log_readiness();
        }
    }

    /// Logs whether this gateway accepts requests, and what it knows of the routes and the servers.
    pub(crate) fn log_readiness(&self) {
        let versions = self.versions();
        log::info!(
            event = "readiness", is_ready = self.is_ready(), routes = versions.routes,
            listing_term = versions.listing.term, listing_reading = versions.listing.reading,
            control_connections = self.metrics.control_connections.get();
            "readiness of the gateway"
        );
    }
}

/// The maximum number of open requests, given the number of connections that callers may open.
fn max_requests(config: &Config, limits: ClientLimits) -> usize {
    let max_header_bytes = CallerLimits::default().max_header_bytes;
    let connections = limits.connections(max_header_bytes);
    let limit = connections * OPEN_REQUEST_EIGHTHS / 8;
    config.max_requests.min(limit.max(1))
}
