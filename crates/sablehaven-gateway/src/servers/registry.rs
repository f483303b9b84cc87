//! All servers by service, as the latest list has them.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    rc::Rc,
    time::Duration,
};

use sablehaven_types::{
    AllowedRegions, BackendId, Distance, EvacuatedZones, ListedServer, ListingChange,
    ListingNumber, RouteDocument, RoutedService, ServerListing, ServiceName, ZoneName,
};

use super::{
    Server,
    budget::RetryBudget,
    choice::choose,
    cold_turns::ColdLimit,
    connection_share::{SharerCount, connection_share},
    zone_map::ZoneMap,
};
use crate::{Config, route_table::RouteProfile};

/// Gateways that may join each zone beside those that are connected.
const ROOM_FOR_GATEWAYS: u32 = 1;
/// Gateways that each zone is taken to have until the control replicas have said.
const ASSUMED_GATEWAYS: u32 = 5;

/// All servers by service.
pub(crate) struct Registry {
    services: RefCell<HashMap<ServiceName, Rc<ServicePool>>>,
    number: Cell<ListingNumber>,
    zones: ZoneMap,
    retries: crate::RetryBounds,
    /// Connected gateways by zone.
    gateways: RefCell<BTreeMap<ZoneName, u32>>,
    evacuated: RefCell<EvacuatedZones>,
    /// Whether this gateway is one of those that share what servers bear.
    is_sharer: Cell<bool>,
}

/// The servers of one service.
pub(crate) struct ServicePool {
    servers: RefCell<Vec<Rc<Server>>>,
    budget: RefCell<RetryBudget>,
    max_connections: Cell<u32>,
    /// Time for which its servers are cold after a start.
    warmup: Cell<Duration>,
    /// Requests a second that a cold one bears from all gateways; 0 where there is no bound.
    warmup_per_second: Cell<f64>,
}

impl Registry {
    pub(crate) fn new(config: &Config) -> Self {
        Self {
            services: RefCell::default(),
            number: Cell::default(),
            zones: ZoneMap::new(config),
            retries: config.retries,
            gateways: RefCell::default(),
            evacuated: RefCell::default(),
            is_sharer: Cell::default(),
        }
    }

    /// The reading of the list in force.
    pub(crate) fn number(&self) -> ListingNumber {
        self.number.get()
    }

    /// The servers of a service; an unknown one has none yet.
    pub(crate) fn service(&self, name: &ServiceName) -> Rc<ServicePool> {
        if let Some(service) = self.services.borrow().get(name) {
            return Rc::clone(service);
        }
        let service = Rc::new(ServicePool {
            servers: RefCell::default(),
            budget: RefCell::new(RetryBudget::new(self.retries)),
            max_connections: Cell::new(0),
            warmup: Cell::default(),
            warmup_per_second: Cell::default(),
        });
        let mut services = self.services.borrow_mut();
        services.insert(name.clone(), Rc::clone(&service));
        service
    }

    /// Takes a reading of the list; `false` for one that is not newer than the one in force.
    pub(crate) fn take_listing(&self, listing: &ServerListing) -> bool {
        if listing.number <= self.number.get() {
            return false;
        }
        self.number.set(listing.number);
        let mut by_service: HashMap<&ServiceName, Vec<&ListedServer>> = HashMap::new();
        for listed in &listing.servers {
            by_service.entry(&listed.service).or_default().push(listed);
        }
        let known: Vec<ServiceName> = self.services.borrow().keys().cloned().collect();
        for name in known {
            if !by_service.contains_key(&name) {
                self.service(&name).update(&[], &self.zones);
            }
        }
        for (name, listed) in by_service {
            self.service(name).update(&listed, &self.zones);
        }
        self.refresh_servers();
        true
    }

    /// Takes what a reading says otherwise than the one in force; `false` when it changes another one.
    pub(crate) fn take_listing_change(&self, change: &ListingChange) -> bool {
        if change.base != self.number.get() {
            return false;
        }
        self.number.set(change.number);
        let gone: HashSet<&BackendId> = change.gone.iter().collect();
        for service in self.services.borrow().values() {
            service.keep(|id| !gone.contains(id));
        }
        for listed in &change.changed {
            self.service(&listed.service).take(listed, &self.zones);
        }
        self.refresh_servers();
        true
    }

    /// The number of listed servers.
    pub(crate) fn server_count(&self) -> usize {
        let services = self.services.borrow();
        services
            .values()
            .map(|service| service.servers.borrow().len())
            .sum()
    }

    /// Takes what the routes say of the services.
    pub(crate) fn take_routes(&self, document: &RouteDocument) {
        for (name, service) in &document.services {
            self.service(name).describe(service);
        }
        self.refresh_servers();
    }

    /// The revision of the evacuated zones that are left alone.
    pub(crate) fn evacuation_revision(&self) -> u64 {
        self.evacuated.borrow().revision
    }

    /// Takes the evacuated zones; `false` for a revision that is not newer than the one in force.
    pub(crate) fn take_evacuation(&self, evacuated: EvacuatedZones) -> bool {
        if evacuated.revision <= self.evacuation_revision() {
            return false;
        }
        *self.evacuated.borrow_mut() = evacuated;
        self.refresh_servers();
        true
    }

    /// Takes the number of gateways of each zone that share what servers bear, and whether this is one.
    pub(crate) fn take_gateways(&self, gateways: BTreeMap<ZoneName, u32>, is_sharer: bool) {
        *self.gateways.borrow_mut() = gateways;
        self.is_sharer.set(is_sharer);
        self.refresh_servers();
    }

    /// The gateways with which this one shares what servers bear, itself included. `None` while it has no part:
    /// before the control replicas have said, and while callers are told of others. Such a gateway may still
    /// get single requests, and on a large fleet all of them together would be many times the whole.
    pub(crate) fn sharer_count(&self) -> Option<u32> {
        if !self.is_sharer.get() {
            return None;
        }
        let gateways = self.gateways.borrow();
        let known: u32 = gateways.values().sum();
        (known > 0).then(|| known + ROOM_FOR_GATEWAYS * gateways.len() as u32)
    }

    /// Closes connections that have rested too long.
    pub(crate) fn drop_stale_connections(&self) {
        for service in self.services.borrow().values() {
            for server in service.servers.borrow().iter() {
                server.pool.drop_stale();
            }
        }
    }

    /// Tells every server what routes, list, orders and the number of gateways make of it: whether its zone
    /// is evacuated, what it bears while it is cold, and this gateway's part of its connections, of which the
    /// gateways of its own region have most.
    fn refresh_servers(&self) {
        let sharers = self.sharers();
        let gateways = self.sharer_count();
        let evacuated = self.evacuated.borrow();
        for service in self.services.borrow().values() {
            let whole = service.max_connections.get();
            let cold_limit = service.cold_limit(gateways);
            for server in service.servers.borrow().iter() {
                let is_evacuated = evacuated.zones.contains(&server.zone);
                server.set_evacuated(is_evacuated, service.warmup.get());
                server.set_cold_limit(cold_limit);
                let is_near = server.distance != Distance::Remote;
                let share = connection_share(whole, server.slots(), sharers, is_near);
                server.pool.set_share(share);
            }
        }
    }

    /// The gateways that may share the connections of a server of this region: those of the region, and
    /// all others. Regions are taken to be alike, so the same holds for servers of other regions.
    fn sharers(&self) -> SharerCount {
        let gateways = self.gateways.borrow();
        let zones: BTreeSet<&ZoneName> = self.zones.zones().chain(gateways.keys()).collect();
        let connected = |zone: &ZoneName| match gateways.get(zone) {
            Some(count) => *count,
            None if gateways.is_empty() => ASSUMED_GATEWAYS - ROOM_FOR_GATEWAYS,
            None => 0,
        };
        let (near, far): (Vec<&ZoneName>, Vec<&ZoneName>) = zones
            .into_iter()
            .partition(|zone| self.zones.distance(zone) != Distance::Remote);
        let count = |zones: &[&ZoneName]| -> u32 {
            let each = zones.iter().map(|zone| connected(zone) + ROOM_FOR_GATEWAYS);
            each.sum()
        };
        SharerCount {
            near: count(&near),
            far: count(&far),
        }
    }
}

impl ServicePool {
    /// Takes what the routes say of the service.
    fn describe(&self, described: &RoutedService) {
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

    fn update(&self, listed: &[&ListedServer], zones: &ZoneMap) {
        let wanted: HashSet<&BackendId> = listed.iter().map(|each| &each.id).collect();
        self.keep(|id| wanted.contains(id));
        for listed in listed {
            self.take(listed, zones);
        }
    }

    /// Leaves out the servers that are not listed any more.
    fn keep(&self, is_listed: impl Fn(&BackendId) -> bool) {
        self.servers.borrow_mut().retain(|server| {
            let is_listed = is_listed(&server.id);
            if !is_listed {
                server.leave();
            }
            is_listed
        });
    }

    /// Takes what the list says of one server.
    fn take(&self, listed: &ListedServer, zones: &ZoneMap) {
        let mut servers = self.servers.borrow_mut();
        if let Some(server) = servers.iter().find(|server| server.id == listed.id) {
            server.update(listed);
            return;
        }
        let region = zones.region(&listed.zone).cloned();
        let server = Server::new(listed, region, zones.distance(&listed.zone));
        servers.push(Rc::new(server));
    }

    /// The server for the next attempt: in an allowed region, and none of `tried`.
    pub(crate) fn choose(
        &self,
        now: Duration,
        profile: &RouteProfile,
        allowed: &AllowedRegions,
        tried: &[BackendId],
    ) -> Option<Rc<Server>> {
        let servers = self.servers.borrow();
        let candidates = servers
            .iter()
            .filter(|server| server.may_serve(allowed) && !tried.contains(&server.id))
            .filter(|server| server.bears_one_more(now))
            .map(|server| (Rc::clone(server), server.candidate(now)));
        let chosen: Option<Rc<Server>> = choose(candidates, profile.typical(), rand::random());
        if let Some(server) = &chosen {
            server.take_cold_turn(now);
        }
        chosen
    }

    /// Whether any server may take a request, leaving aside how well it does.
    pub(crate) fn can_serve(&self, allowed: &AllowedRegions) -> bool {
        let servers = self.servers.borrow();
        servers.iter().any(|server| server.may_serve(allowed))
    }

    /// Counts a request that needs this service.
    pub(crate) fn need(&self, now: Duration) {
        self.budget.borrow_mut().need(now);
    }

    /// Takes one extra attempt from the budget.
    pub(crate) fn take_extra(&self, now: Duration, gateways: Option<u32>) -> bool {
        self.budget.borrow_mut().take(now, gateways)
    }
}

#[cfg(test)]
mod tests;
