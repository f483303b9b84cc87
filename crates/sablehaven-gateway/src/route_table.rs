//! Finds the route of a request by host and path.

use std::{
    cell::{Cell, Ref, RefCell},
    collections::HashMap,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use sablehaven_types::{Route, RouteDocument};

use crate::{
    answer_margin::AnswerMargin, servers::RouteId, serving_regions::ServingRegions,
    tenant_table::TenantTable,
};

/// The routes of one version of the configuration, indexed for lookup.
pub(crate) struct RouteTable {
    document: Arc<RouteDocument>,
    /// Routes by host in lower case, sorted by descending length of the path prefix.
    by_host: HashMap<String, Vec<Rc<PlannedRoute>>>,
    tenants: TenantTable,
    /// Number of kinds of request that have been assigned so far, by this table and its predecessors.
    kind_count: usize,
}

/// A route of one version of the configuration, with the statistics of its requests.
pub(crate) struct PlannedRoute {
    document: Arc<RouteDocument>,
    position: usize,
    pub(crate) version: u64,
    pub(crate) profile: Rc<RouteProfile>,
    /// The regions that the route allows, before those of the tenant are considered.
    pub(crate) regions: ServingRegions,
}

/// Statistics of a route's requests, which are kept when the configuration changes.
pub(crate) struct RouteProfile {
    kind: RouteId,
    /// Moving average of the service time, excluding the network round trip, in milliseconds.
    service_time_ms: Cell<f64>,
    /// How much later than planned its recent responses were sent.
    answer_margin: RefCell<AnswerMargin>,
}

/// Weight of one new service time in the moving average.
const EWMA_WEIGHT: f64 = 0.03;
/// A service time is capped at this multiple of the average, so that one slow server does not distort it.
const MAX_OUTLIER_RATIO: f64 = 3.0;
/// Fraction of the latency target that is assumed as the service time before any is known.
const INITIAL_TARGET_FRACTION: f64 = 0.125;
/// Minimum of the average service time, in milliseconds.
const MIN_SERVICE_TIME_MS: f64 = 0.5;

impl RouteProfile {
    fn new(route: &Route, kind: RouteId) -> Self {
        let initial_ms = route.aim_ms as f64 * INITIAL_TARGET_FRACTION;
        Self {
            kind,
            service_time_ms: Cell::new(initial_ms.max(MIN_SERVICE_TIME_MS)),
            answer_margin: RefCell::default(),
        }
    }

    /// The kind of request. It is the same in all versions, and differs from that of any other route.
    pub(crate) fn kind(&self) -> RouteId {
        self.kind
    }

    pub(crate) fn typical_service_time(&self) -> Duration {
        Duration::from_secs_f64(self.service_time_ms.get() / 1_000.0)
    }

    /// Records a service time, excluding the network round trip.
    pub(crate) fn record_service_time(&self, service_time: Duration) {
        let average = self.service_time_ms.get();
        let service_time = (service_time.as_secs_f64() * 1_000.0).min(average * MAX_OUTLIER_RATIO);
        let next = average + EWMA_WEIGHT * (service_time - average);
        self.service_time_ms.set(next.max(MIN_SERVICE_TIME_MS));
    }

    /// Records how much later than planned the gateway acted on a request.
    pub(crate) fn record_overrun(&self, now: Duration, overrun: Duration) {
        self.answer_margin.borrow_mut().observe(now, overrun);
    }

    /// The recent overruns, from which the margin of the next response is computed.
    pub(crate) fn answer_margin(&self) -> Ref<'_, AnswerMargin> {
        self.answer_margin.borrow()
    }
}

impl PlannedRoute {
    pub(crate) fn route(&self) -> &Route {
        &self.document.routes[self.position]
    }
}

impl RouteTable {
    /// Creates the table of a document. A route with the same host and path prefix as one in `previous` keeps
    /// its statistics.
    pub(crate) fn new(document: Arc<RouteDocument>, previous: Option<&Self>) -> Self {
        let mut by_host: HashMap<String, Vec<Rc<PlannedRoute>>> = HashMap::new();
        let mut kind_count = previous.map_or(0, |previous| previous.kind_count);
        for (position, route) in document.routes.iter().enumerate() {
            let existing = previous.and_then(|previous| previous.find_profile(route));
            let profile = existing.unwrap_or_else(|| {
                kind_count += 1;
                Rc::new(RouteProfile::new(route, RouteId(kind_count)))
            });
            let planned = Rc::new(PlannedRoute {
                document: Arc::clone(&document),
                position,
                version: document.version,
                profile,
                regions: ServingRegions::new(&route.allowed_regions),
            });
            let host = route.host.to_ascii_lowercase();
            by_host.entry(host).or_default().push(planned);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|planned| std::cmp::Reverse(planned.route().path_prefix.len()));
        }
        Self {
            tenants: TenantTable::new(Arc::clone(&document)),
            document,
            by_host,
            kind_count,
        }
    }

    pub(crate) fn document(&self) -> &Arc<RouteDocument> {
        &self.document
    }

    /// The tenants and keys of the same version.
    pub(crate) fn tenants(&self) -> &TenantTable {
        &self.tenants
    }

    /// Finds the route with this host and the longest path prefix that matches.
    pub(crate) fn find(&self, host: &str, path: &str) -> Option<&Rc<PlannedRoute>> {
        let host = without_port(host).to_ascii_lowercase();
        let routes = self.by_host.get(&host)?;
        let is_prefix =
            |planned: &&Rc<PlannedRoute>| path.starts_with(&planned.route().path_prefix);
        routes.iter().find(is_prefix)
    }

    fn find_profile(&self, route: &Route) -> Option<Rc<RouteProfile>> {
        let routes = self.by_host.get(&route.host.to_ascii_lowercase())?;
        let is_same_prefix =
            |planned: &&Rc<PlannedRoute>| planned.route().path_prefix == route.path_prefix;
        routes
            .iter()
            .find(is_same_prefix)
            .map(|planned| Rc::clone(&planned.profile))
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}

#[cfg(test)]
mod tests;
