//! The state of a gateway, shared by its tasks on one thread.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use sablehaven_http::ServerSignals;
use sablehaven_routing::crash_table::CrashTable;
use sablehaven_types::{
    CallerLimits, CrashReport, EvacuatedZones, ListingChange, ListingNumber, RequestFingerprint,
    RouteDocument, RoutesChange, ServerListing, ZoneName,
};
use sablehaven_wire::{DeploymentMembers, GatewayStatus, StateVersions, SuspensionClock};
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
    quotas::TokenClient,
    resends::ResendDetector,
    route_table::RouteTable,
    servers::Registry,
    throttle::RequestThrottle,
};

/// Reports that a connection to a control replica may be behind; one that is further behind begins anew.
const MAX_UNSENT_REPORTS: usize = 64;

/// Steady time since the start.
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
    /// Requests under which servers ended.
    pub(crate) crashes: Rc<RefCell<CrashTable>>,
    /// What this gateway sees of such requests, for the control replicas.
    crash_reports: broadcast::Sender<CrashReport>,
    pub(crate) load: LoadMeter,
    pub(crate) signals: ServerSignals,
    pub(crate) metrics: Metrics,
    routes: RefCell<Option<Rc<RouteTable>>>,
    advertised_address: SocketAddr,
    is_stopping: Cell<bool>,
    status: watch::Sender<GatewayStatus>,
    /// The connections to control replicas, and what is fetched on them.
    pub(crate) control_links: ControlLinks,
    /// Tokens of tenants' quotas.
    pub(crate) tokens: TokenClient<SuspensionClock>,
    /// Internal addresses of control replicas: those of the settings and every one learned since.
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
        let tokens = TokenClient::new(SuspensionClock::default(), &config.quotas);
        let controls = config.controls.iter().copied().collect();
        Self {
            registry: Registry::new(&config),
            admission: Admission::new(config.max_requests),
            throttle: RefCell::new(RequestThrottle::new(config.max_throttled)),
            config,
            names,
            clock: Clock::new(),
            resends: RefCell::default(),
            crashes: Rc::default(),
            crash_reports: broadcast::channel(MAX_UNSENT_REPORTS).0,
            load: LoadMeter::default(),
            signals: ServerSignals::default(),
            metrics: Metrics::new(),
            routes: RefCell::default(),
            advertised_address,
            is_stopping: Cell::new(false),
            status: watch::channel(status).0,
            control_links: ControlLinks::default(),
            tokens,
            controls: watch::channel(controls).0,
        }
    }

    /// The routes in force; `None` before the first.
    pub(crate) fn routes(&self) -> Option<Rc<RouteTable>> {
        self.routes.borrow().clone()
    }

    /// What the version in force says of a caller who was looked up in it or an earlier one.
    pub(crate) fn caller_validity(&self, caller: &Caller) -> CallerValidity {
        let routes = self.routes.borrow();
        let validity = routes.as_ref().map(|table| caller.check_validity(table));
        // There are always routes once a caller was looked up in them.
        validity.unwrap_or(CallerValidity::Valid)
    }

    /// The limits in force.
    pub(crate) fn limits(&self) -> CallerLimits {
        let routes = self.routes.borrow();
        routes
            .as_ref()
            .map_or_else(CallerLimits::default, |table| table.document().limits)
    }

    /// The versions of routes and list in force.
    pub(crate) fn versions(&self) -> StateVersions {
        let routes = self.routes.borrow();
        StateVersions {
            routes: routes.as_ref().map_or(0, |table| table.document().version),
            listing: self.registry.number(),
        }
    }

    /// Whether callers' requests are taken.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping.get() && self.has_routes()
    }

    /// Whether there are routes, and a list of servers was ever read.
    pub(crate) fn has_routes(&self) -> bool {
        self.routes.borrow().is_some() && self.registry.number() > ListingNumber::default()
    }

    /// Puts routes in force. Only forward: a version that is not newer is ignored.
    pub(crate) fn apply_routes(&self, document: Arc<RouteDocument>) {
        let former = self.routes();
        let held = former.as_ref().map_or(0, |table| table.document().version);
        if former.is_some() && document.version <= held {
            return;
        }
        log::info!(event = "routes_in_force", version = document.version, former = held; "routes");
        let version = i64::try_from(document.version).unwrap_or(i64::MAX);
        self.metrics.routes_version.set(version);
        self.registry.take_routes(&document);
        let table = RouteTable::new(document, former.as_deref());
        *self.routes.borrow_mut() = Some(Rc::new(table));
        self.refresh_status();
    }

    /// Takes what a version of the routes says otherwise than the one that was in force when it was asked for. Where another
    /// replica's answer has come first, what is still missing is fetched anew.
    pub(crate) fn apply_routes_change(&self, change: &RoutesChange) {
        let Some(held) = self.routes() else {
            log::info!(event = "routes_change_ignored", base = change.base, held = 0; "routes");
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
                "routes"
            ),
        }
    }

    /// Takes a reading of the list of servers.
    pub(crate) fn apply_listing(&self, listing: &ServerListing) {
        if !self.registry.take_listing(listing) {
            return;
        }
        let number = listing.number;
        self.metrics
            .listed_servers
            .set(listing.servers.len() as i64);
        log::info!(
            event = "listing_in_force", term = number.term, reading = number.reading,
            servers = listing.servers.len();
            "list of servers"
        );
        self.refresh_status();
    }

    /// Takes what a reading says otherwise than the one that was in force when it was asked for. Where another replica's
    /// answer has come first, what is still missing is fetched anew.
    pub(crate) fn apply_listing_change(&self, change: &ListingChange) {
        let held = self.registry.number();
        if change.number <= held {
            return;
        }
        if !self.registry.take_listing_change(change) {
            log::info!(
                event = "listing_change_ignored", base_term = change.base.term,
                base_reading = change.base.reading, held_term = held.term,
                held_reading = held.reading;
                "list of servers"
            );
            return;
        }
        let number = change.number;
        let servers = self.registry.server_count();
        self.metrics.listed_servers.set(servers as i64);
        log::info!(
            event = "listing_in_force", term = number.term, reading = number.reading,
            servers = servers, changed = change.changed.len(), gone = change.gone.len();
            "list of servers"
        );
        self.refresh_status();
    }

    /// Takes the evacuated zones. Only forward, as routes.
    pub(crate) fn apply_evacuation(&self, evacuated: EvacuatedZones) {
        let revision = evacuated.revision;
        let zones: Vec<&str> = evacuated.zones.iter().map(ZoneName::as_str).collect();
        let zones = zones.join(", ");
        if self.registry.take_evacuation(evacuated) {
            log::info!(event = "evacuation_in_force", revision = revision, zones = zones.as_str(); "evacuated zones");
            self.refresh_status();
        }
    }

    /// Takes who takes part.
    pub(crate) fn apply_members(&self, members: DeploymentMembers) {
        // A replica that has just started has counted nobody yet.
        if !members.gateways.is_empty() {
            self.registry
                .take_gateways(members.gateways, members.is_sharer);
        }
        self.add_controls(members.controls);
    }

    /// Tells the control replicas what was newly seen of a request's servers, if anything.
    pub(crate) fn report_crashes(&self, fingerprint: RequestFingerprint) {
        let new_report = self
            .crashes
            .borrow_mut()
            .take_unsent_report(self.clock.now(), fingerprint);
        if let Some(report) = new_report {
            // Without any connection nobody hears it; the next one begins with all that is known.
            let _ = self.crash_reports.send(report);
        }
    }

    /// What is reported from now on.
    pub(crate) fn subscribe_crash_reports(&self) -> broadcast::Receiver<CrashReport> {
        self.crash_reports.subscribe()
    }

    /// Takes what other gateways have seen of requests under which servers ended.
    pub(crate) fn apply_crash_reports(&self, reports: &[CrashReport]) {
        let now = self.clock.now();
        let mut crashes = self.crashes.borrow_mut();
        for report in reports {
            let quarantine = crashes.merge_report(now, report);
            log_quarantine(quarantine, "control");
        }
    }

    /// Adds addresses of control replicas to those that are known.
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

    /// Begins a planned stop: not ready, and every answer asks callers to close.
    pub(crate) fn begin_stop(&self) {
        self.is_stopping.set(true);
        self.signals.leaving.cancel();
        self.refresh_status();
    }

    fn refresh_status(&self) {
        let versions = self.versions();
        self.control_links.wake();
        self.status.send_replace(GatewayStatus {
            address: self.advertised_address,
            placement: self.config.placement.clone(),
            is_ready: self.is_ready(),
            routes_version: versions.routes,
            listing: versions.listing,
            evacuation_revision: self.registry.evacuation_revision(),
        });
    }
}
