//! The servers of one service, and the budget of extra attempts at them.

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
    connection_share::{SharerCount, connection_share},
    zone_map::ZoneMap,
};
use crate::{RetryBounds, route_table::RouteProfile, serving_regions::ServingRegions};

/// The servers of one service.
pub(crate) struct ServicePool {
    /// The near ones first.
    pub(super) servers: RefCell<Vec<Rc<Server>>>,
    budget: RefCell<RetryBudget>,
    max_connections: Cell<u32>,
    /// Time for which its servers are cold after a start.
    warmup: Cell<Duration>,
    /// Requests a second that a cold one bears from all gateways; 0 where there is no bound.
    warmup_per_second: Cell<f64>,
}

impl ServicePool {
    /// The servers of a service of which nothing is known yet.
    pub(super) fn new(retries: RetryBounds) -> Self {
        Self {
            servers: RefCell::default(),
            budget: RefCell::new(RetryBudget::new(retries)),
            max_connections: Cell::default(),
            warmup: Cell::default(),
            warmup_per_second: Cell::default(),
        }
    }

    /// Tells every server whether its zone is evacuated, what it bears while it is cold, and this gateway's part
    /// of its connections. `gateways` is the number of those that share what servers bear.
    pub(super) fn refresh_servers(
        &self,
        evacuated: &EvacuatedZones,
        sharers: SharerCount,
        gateways: Option<u32>,
    ) {
        let cold_limit = self.cold_limit(gateways);
        for server in self.servers.borrow().iter() {
            let is_evacuated = evacuated.zones.contains(&server.zone);
            server.set_evacuated(is_evacuated, self.warmup.get());
            server.set_cold_limit(cold_limit);
            let whole = self.max_connections.get();
            let is_near = server.distance != Distance::Remote;
            let share = connection_share(whole, server.slots(), sharers, is_near);
            server.pool.set_share(share);
        }
    }

    /// Takes what the routes say of the service.
    pub(super) fn describe(&self, described: &RoutedService) {
        self.max_connections.set(described.max_connections);
        self.warmup.set(Duration::from_millis(described.warmup_ms));
        self.warmup_per_second.set(described.warmup_per_second);
    }

    /// What a cold server bears, where that is bounded: nothing from a gateway that has no part of it.
    fn cold_limit(&self, gateways: Option<u32>) -> Option<ColdLimit> {
        let per_second = self.warmup_per_second.get();
        (per_second > 0.0).then_some(ColdLimit {
            per_second,
            gateways,
        })
    }

    pub(super) fn update(&self, listed: &[&ListedServer], zones: &ZoneMap) {
        let wanted: HashSet<&BackendId> = listed.iter().map(|each| &each.id).collect();
        self.keep(|id| wanted.contains(id));
        for listed in listed {
            self.take(listed, zones);
        }
    }

    /// Leaves out the servers that are not listed any more.
    pub(super) fn keep(&self, is_listed: impl Fn(&BackendId) -> bool) {
        self.servers.borrow_mut().retain(|server| {
            let is_listed = is_listed(&server.id);
            if !is_listed {
                server.leave();
            }
            is_listed
        });
    }

    /// Takes what the list says of one server.
    pub(super) fn take(&self, listed: &ListedServer, zones: &ZoneMap) {
        let mut servers = self.servers.borrow_mut();
        if let Some(position) = servers.iter().position(|server| server.id == listed.id) {
            if servers[position].is_same_start(listed) {
                servers[position].update(listed);
                return;
            }
            servers.remove(position).leave();
        }
        let region = zones.region(&listed.zone).cloned();
        let server = Server::new(listed, region, zones.distance(&listed.zone));
        let position = servers.partition_point(|known| known.distance <= server.distance);
        servers.insert(position, Rc::new(server));
    }

    /// The server for the next attempt: in an allowed region, and none of `tried`.
    pub(crate) fn choose(
        &self,
        now: Duration,
        profile: &RouteProfile,
        allowed: &ServingRegions,
        tried: &[BackendId],
    ) -> Option<Rc<Server>> {
        let servers = self.servers.borrow();
        // Read once: a query makes a choice for each of its shards.
        let at = Instant::now();
        let mut choice = Choice::new(profile.typical_service_time());
        for server in servers.iter() {
            let is_open = server.may_serve(allowed) && !tried.contains(&server.id);
            let is_too_far = choice.is_too_far(server.distance, server.round_trip());
            if is_open && !is_too_far && server.bears_one_more(now) {
                choice.look_at(server, &server.candidate(now, at));
            }
        }
        let server = choice.draw(rand::random())?;
        server.take_cold_turn(now);
        Some(Rc::clone(server))
    }

    /// Whether any server may take a request, leaving aside how well it does.
    pub(crate) fn can_serve(&self, allowed: &ServingRegions) -> bool {
        let servers = self.servers.borrow();
        servers.iter().any(|server| server.may_serve(allowed))
    }

    /// The servers that may take a request, without those of `tried` and those that failed last.
    pub(crate) fn count_spare_servers(
        &self,
        allowed: &ServingRegions,
        tried: &[BackendId],
    ) -> usize {
        let servers = self.servers.borrow();
        let spare = servers.iter().filter(|server| {
            let has_failed = server.health.borrow().has_failed_last();
            server.may_serve(allowed) && !tried.contains(&server.id) && !has_failed
        });
        spare.count()
    }

    /// Counts a request that needs this service.
    pub(crate) fn record_request(&self, now: Duration) {
        self.budget.borrow_mut().record_request(now);
    }

    /// How much of the budget of extra attempts is used.
    pub(crate) fn budget_level(&self, now: Duration, gateways: Option<u32>) -> BudgetLevel {
        self.budget.borrow_mut().level(now, gateways)
    }

    /// Takes one extra attempt that leaves the share `reserve` of the budget to others.
    pub(crate) fn try_take_extra_attempt(
        &self,
        now: Duration,
        gateways: Option<u32>,
        reserve: f64,
    ) -> bool {
        self.budget.borrow_mut().try_take(now, gateways, reserve)
    }

    /// Whether a server beside those of `tried` may take the request.
    pub(crate) fn has_untried_server(&self, allowed: &ServingRegions, tried: &[BackendId]) -> bool {
        let servers = self.servers.borrow();
        let mut open = servers.iter().filter(|server| server.may_serve(allowed));
        open.any(|server| !tried.contains(&server.id))
    }
}
