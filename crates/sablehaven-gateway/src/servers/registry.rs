//! The registry of all servers by service, kept up to date from server listings, routes and evacuations.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    rc::Rc,
};

use sablehaven_types::{
    BackendId, Distance, EvacuatedZones, ListedServer, ListingChange, ListingNumber, RouteDocument,
    ServerListing, ServiceName, ZoneName,
};

use super::{connection_share::GatewayCounts, service_pool::ServicePool, zone_map::ZoneMap};
use crate::Config;

/// Gateways per zone that are assumed in addition to the connected ones, because more may join.
const EXTRA_GATEWAYS_PER_ZONE: u32 = 1;
/// Gateways per zone, including [`EXTRA_GATEWAYS_PER_ZONE`], that are assumed until the control replicas report the
/// number of connected ones.
const ASSUMED_GATEWAYS_PER_ZONE: u32 = 5;

/// The registry of all servers by service.
pub(crate) struct Registry {
    services: RefCell<HashMap<ServiceName, Rc<ServicePool>>>,
    listing_number: Cell<ListingNumber>,
    zones: ZoneMap,
    retries: crate::RetryBounds,
    /// The number of connected gateways by zone.
    gateways: RefCell<BTreeMap<ZoneName, u32>>,
    evacuated: RefCell<EvacuatedZones>,
    /// Whether this gateway is one of those that share the capacity of the servers.
    is_sharer: Cell<bool>,
}

impl Registry {
    pub(crate) fn new(config: &Config) -> Self {
        Self {
            services: RefCell::default(),
            listing_number: Cell::default(),
            zones: ZoneMap::new(config),
            retries: config.retries,
            gateways: RefCell::default(),
            evacuated: RefCell::default(),
            is_sharer: Cell::default(),
        }
    }

    /// The number of the listing in force.
    pub(crate) fn listing_number(&self) -> ListingNumber {
        self.listing_number.get()
    }

    /// The servers of a service. An unknown service is added without servers.
    pub(crate) fn service(&self, name: &ServiceName) -> Rc<ServicePool> {
        if let Some(service) = self.services.borrow().get(name) {
            return Rc::clone(service);
        }
        let service = Rc::new(ServicePool::new(self.retries));
        let mut services = self.services.borrow_mut();
        services.insert(name.clone(), Rc::clone(&service));
        service
    }

    /// Applies a complete listing; returns `false` if it is not newer than the one in force.
    pub(crate) fn apply_listing(&self, listing: &ServerListing) -> bool {
        if listing.number <= self.listing_number.get() {
            return false;
        }
        self.listing_number.set(listing.number);
        let mut by_service: HashMap<&ServiceName, Vec<&ListedServer>> = HashMap::new();
        for listed in &listing.servers {
            by_service.entry(&listed.service).or_default().push(listed);
        }
        let known: Vec<ServiceName> = self.services.borrow().keys().cloned().collect();
        for name in known {
            if !by_service.contains_key(&name) {
                self.service(&name).apply_listing(&[], &self.zones);
            }
        }
        for (name, listed) in by_service {
            self.service(name).apply_listing(&listed, &self.zones);
        }
        self.refresh_servers();
        true
    }

    /// Applies a change to the listing in force; returns `false` if the change is based on another listing.
    pub(crate) fn apply_listing_change(&self, change: &ListingChange) -> bool {
        if change.base != self.listing_number.get() {
            return false;
        }
        self.listing_number.set(change.number);
        let gone: HashSet<&BackendId> = change.gone.iter().collect();
        let moved: HashMap<&BackendId, &ServiceName> = change
            .changed
            .iter()
            .map(|listed| (&listed.id, &listed.service))
            .collect();
        for (name, service) in self.services.borrow().iter() {
            let is_in_other_service =
                |id: &BackendId| moved.get(id).is_some_and(|service| *service != name);
            service.retain_listed(|id| !gone.contains(id) && !is_in_other_service(id));
        }
        for listed in &change.changed {
            self.service(&listed.service)
                .apply_listed_server(listed, &self.zones);
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

    /// Applies the service settings of a route document.
    pub(crate) fn apply_routes(&self, document: &RouteDocument) {
        for (name, service) in &document.services {
            self.service(name).apply_service(service);
        }
        self.refresh_servers();
    }

    /// The revision of the evacuated zones in force.
    pub(crate) fn evacuation_revision(&self) -> u64 {
        self.evacuated.borrow().revision
    }

    /// Applies a set of evacuated zones; returns `false` if its revision is not newer than the one in force.
    pub(crate) fn apply_evacuation(&self, evacuated: EvacuatedZones) -> bool {
        if evacuated.revision <= self.evacuation_revision() {
            return false;
        }
        *self.evacuated.borrow_mut() = evacuated;
        self.refresh_servers();
        true
    }

    /// Sets the number of gateways in each zone that share the capacity of the servers, and whether this gateway is one
    /// of them.
    pub(crate) fn set_gateways(&self, gateways: BTreeMap<ZoneName, u32>, is_sharer: bool) {
        *self.gateways.borrow_mut() = gateways;
        self.is_sharer.set(is_sharer);
        self.refresh_servers();
    }

    /// The number of gateways that share the capacity of the servers, including this one. `None` while this gateway has
    /// no share: before the control replicas have reported the gateways, and while callers are directed to other
    /// gateways. A gateway without a share may still receive a few requests. In a large fleet, the shares of all such
    /// gateways would add up to many times the capacity.
    pub(crate) fn sharing_gateway_count(&self) -> Option<u32> {
        if !self.is_sharer.get() {
            return None;
        }
        let gateways = self.gateways.borrow();
        let known: u32 = gateways.values().sum();
        (known > 0).then(|| known + EXTRA_GATEWAYS_PER_ZONE * gateways.len() as u32)
    }

    /// Closes the connections that have been idle for too long.
    pub(crate) fn close_expired_connections(&self) {
        for service in self.services.borrow().values() {
            for server in service.servers.borrow().iter() {
                server.pool.close_expired();
            }
        }
    }

    /// Updates every server after a change of the routes, the listing, the evacuated zones or the number of gateways:
    /// whether its zone is evacuated, its limit while it is cold, and this gateway's share of its connections. Gateways
    /// in the server's region have the largest share.
    fn refresh_servers(&self) {
        let gateway_counts = self.gateway_counts();
        let sharing_gateway_count = self.sharing_gateway_count();
        let evacuated = self.evacuated.borrow();
        for service in self.services.borrow().values() {
            service.refresh_servers(&evacuated, gateway_counts, sharing_gateway_count);
        }
    }

    /// The number of gateways that may share the connections of a server in this region: those in the region and all
    /// others. Regions are assumed to be alike, so the same counts are used for servers in other regions.
    fn gateway_counts(&self) -> GatewayCounts {
        let gateways = self.gateways.borrow();
        let zones: BTreeSet<&ZoneName> = self.zones.zones().chain(gateways.keys()).collect();
        let connected_count = |zone: &ZoneName| match gateways.get(zone) {
            Some(count) => *count,
            None if gateways.is_empty() => ASSUMED_GATEWAYS_PER_ZONE - EXTRA_GATEWAYS_PER_ZONE,
            None => 0,
        };
        let (near, far): (Vec<&ZoneName>, Vec<&ZoneName>) = zones
            .into_iter()
            .partition(|zone| self.zones.distance(zone) != Distance::Remote);
        let count = |zones: &[&ZoneName]| -> u32 {
            let each = zones
                .iter()
                .map(|zone| connected_count(zone) + EXTRA_GATEWAYS_PER_ZONE);
            each.sum()
        };
        GatewayCounts {
            near: count(&near),
            far: count(&far),
        }
    }
}

#[cfg(test)]
mod tests;
