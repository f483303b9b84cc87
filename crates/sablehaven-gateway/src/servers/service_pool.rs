//! The servers of one service and their shared retry budget.

use std::{
    cell::{Cell, RefCell},
    collections::HashSet,
    rc::Rc,
    time::{Duration, Instant},
};

use sablehaven_types::{BackendId, Distance, EvacuatedZones, ListedServer, RoutedService};

use super::{
    Server,
    budget::{BudgetLevel, RetryBudget},
    choice::Choice,
    cold_turns::ColdLimit,
    connection_share::{GatewayCounts, connection_share},
    zone_map::ZoneMap,
};
use crate::{RetryBounds, route_table::RouteProfile, serving_regions::ServingRegions};

/// The servers of one service.
pub(crate) struct ServicePool {
    /// Sorted by distance, the nearest first.
    pub(super) servers: RefCell<Vec<Rc<Server>>>,
    budget: RefCell<RetryBudget>,
    max_connections: Cell<u32>,
    /// How long its servers are cold after a start.
    warmup: Cell<Duration>,
    /// Requests per second that a cold server accepts from all gateways together; 0 for no limit.
    warmup_per_second: Cell<f64>,
}

impl ServicePool {
    /// Creates a service of which nothing is known yet.
    pub(super) fn new(retries: RetryBounds) -> Self {
        Self {
            servers: RefCell::default(),
            budget: RefCell::new(RetryBudget::new(retries)),
            max_connections: Cell::default(),
            warmup: Cell::default(),
            warmup_per_second: Cell::default(),
        }
    }

    /// Updates for every server whether its zone is evacuated, its limit while it is cold, and this gateway's share of
    /// its connections. `gateways` is the number of gateways that share the capacity of the servers.
    pub(super) fn refresh_servers(
        &self,
        evacuated: &EvacuatedZones,
        gateway_counts: GatewayCounts,
        gateways: Option<u32>,
    ) {
        let cold_limit = self.cold_limit(gateways);
        for server in self.servers.borrow().iter() {
            let is_evacuated = evacuated.zones.contains(&server.zone);
            server.set_evacuated(is_evacuated, self.warmup.get());
            server.set_cold_limit(cold_limit);
            let max_connections = self.max_connections.get();
            let is_near = server.distance != Distance::Remote;
            let share = connection_share(max_connections, server.slots(), gateway_counts, is_near);
            server.pool.set_share(share);
        }
    }

    /// Applies the settings of the service from the routes.
    pub(super) fn apply_service(&self, service: &RoutedService) {
        self.max_connections.set(service.max_connections);
        self.warmup.set(Duration::from_millis(service.warmup_ms));
        self.warmup_per_second.set(service.warmup_per_second);
    }

    /// The limit of a cold server, if there is one. A gateway without a share of it may send nothing.
    fn cold_limit(&self, gateways: Option<u32>) -> Option<ColdLimit> {
        let per_second = self.warmup_per_second.get();
        (per_second > 0.0).then_some(ColdLimit {
            per_second,
            gateways,
        })
    }

    /// Applies the servers of this service from a complete listing.
    pub(super) fn apply_listing(&self, listed: &[&ListedServer], zones: &ZoneMap) {
        let listed_ids: HashSet<&BackendId> = listed.iter().map(|server| &server.id).collect();
        self.retain_listed(|id| listed_ids.contains(id));
        for listed in listed {
            self.apply_listed_server(listed, zones);
        }
    }

    /// Removes the servers that are no longer listed.
    pub(super) fn retain_listed(&self, is_listed: impl Fn(&BackendId) -> bool) {
        self.servers.borrow_mut().retain(|server| {
            let is_listed = is_listed(&server.id);
            if !is_listed {
                server.start_draining();
            }
            is_listed
        });
    }

    /// Applies the listing entry of one server: updates the known incarnation or adds a new one.
    pub(super) fn apply_listed_server(&self, listed: &ListedServer, zones: &ZoneMap) {
        let mut servers = self.servers.borrow_mut();
        if let Some(position) = servers.iter().position(|server| server.id == listed.id) {
            if servers[position].is_same_incarnation(listed) {
                servers[position].update(listed);
                return;
            }
            servers.remove(position).start_draining();
        }
        let region = zones.region(&listed.zone).cloned();
        let server = Server::new(listed, region, zones.distance(&listed.zone));
        let position = servers.partition_point(|other| other.distance <= server.distance);
        servers.insert(position, Rc::new(server));
    }

    /// Chooses the server for the next attempt, in an allowed region and not among `tried`.
    pub(crate) fn choose(
        &self,
        now: Duration,
        profile: &RouteProfile,
        allowed: &ServingRegions,
        tried: &[BackendId],
    ) -> Option<Rc<Server>> {
        let servers = self.servers.borrow();
        // Read once per choice rather than once per server, because a query makes a choice for each of its shards.
        let at = Instant::now();
        let mut choice = Choice::new(profile.typical_service_time());
        for server in servers.iter() {
            let is_eligible = server.may_serve(allowed) && !tried.contains(&server.id);
            let is_too_far = choice.is_too_far(server.distance, server.round_trip());
            if is_eligible && !is_too_far && server.is_warm_or_in_turn(now) {
                choice.consider(server, &server.candidate(now, at));
            }
        }
        let server = choice.pick(rand::random())?;
        server.use_cold_turn(now);
        Some(Rc::clone(server))
    }

    /// Whether any server may serve a request, regardless of its health.
    pub(crate) fn can_serve(&self, allowed: &ServingRegions) -> bool {
        let servers = self.servers.borrow();
        servers.iter().any(|server| server.may_serve(allowed))
    }

    /// The number of servers that may serve a request, without those in `tried` and those that have failed since their
    /// last success.
    pub(crate) fn count_spare_servers(
        &self,
        allowed: &ServingRegions,
        tried: &[BackendId],
    ) -> usize {
        let servers = self.servers.borrow();
        let spare_servers = servers.iter().filter(|server| {
            let has_failed = server.health.borrow().has_failed_since_success();
            server.may_serve(allowed) && !tried.contains(&server.id) && !has_failed
        });
        spare_servers.count()
    }

    /// Counts a request to this service.
    pub(crate) fn record_request(&self, now: Duration) {
        self.budget.borrow_mut().record_request(now);
    }

    /// The current limit and use of the retry budget.
    pub(crate) fn budget_level(&self, now: Duration, gateways: Option<u32>) -> BudgetLevel {
        self.budget.borrow_mut().level(now, gateways)
    }

    /// Takes one extra attempt from the retry budget if that leaves the fraction `reserve` to other attempts.
    pub(crate) fn try_take_extra_attempt(
        &self,
        now: Duration,
        gateways: Option<u32>,
        reserve: f64,
    ) -> bool {
        self.budget.borrow_mut().try_take(now, gateways, reserve)
    }

    /// Whether a server that is not in `tried` may serve the request.
    pub(crate) fn has_untried_server(&self, allowed: &ServingRegions, tried: &[BackendId]) -> bool {
        let servers = self.servers.borrow();
        let mut candidates = servers.iter().filter(|server| server.may_serve(allowed));
        candidates.any(|server| !tried.contains(&server.id))
    }
}
