//! All servers by service, as the latest list has them.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    rc::Rc,
};

use sablehaven_types::{
    BackendId, Distance, EvacuatedZones, ListedServer, ListingChange, ListingNumber, RouteDocument,
    ServerListing, ServiceName, ZoneName,
};

use super::{connection_share::SharerCount, service_pool::ServicePool, zone_map::ZoneMap};
use crate::Config;

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
        let service = Rc::new(ServicePool::new(self.retries));
        let mut services = self.services.borrow_mut();
        services.insert(name.clone(), Rc::clone(&service));
        service
    }

    /// Takes a reading of the list; `false` for one that is not newer than the one in force.
    pub(crate) fn apply_listing(&self, listing: &ServerListing) -> bool {
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
    pub(crate) fn apply_listing_change(&self, change: &ListingChange) -> bool {
        if change.base != self.number.get() {
            return false;
        }
        self.number.set(change.number);
        let gone: HashSet<&BackendId> = change.gone.iter().collect();
        let moved: HashMap<&BackendId, &ServiceName> = change
            .changed
            .iter()
            .map(|listed| (&listed.id, &listed.service))
            .collect();
        for (name, service) in self.services.borrow().iter() {
            let is_elsewhere =
                |id: &BackendId| moved.get(id).is_some_and(|service| *service != name);
            service.keep(|id| !gone.contains(id) && !is_elsewhere(id));
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
    pub(crate) fn apply_routes(&self, document: &RouteDocument) {
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
    pub(crate) fn apply_evacuation(&self, evacuated: EvacuatedZones) -> bool {
        if evacuated.revision <= self.evacuation_revision() {
            return false;
        }
        *self.evacuated.borrow_mut() = evacuated;
        self.refresh_servers();
        true
    }

    /// Takes the number of gateways of each zone that share what servers bear, and whether this is one.
    pub(crate) fn set_gateways(&self, gateways: BTreeMap<ZoneName, u32>, is_sharer: bool) {
        *self.gateways.borrow_mut() = gateways;
        self.is_sharer.set(is_sharer);
        self.refresh_servers();
    }

    /// The gateways with which this one shares what servers bear, itself included. `None` while it has no part:
    /// before the control replicas have said, and while callers are told of others. Such a gateway may still
    /// get single requests, and on a large fleet all of them together would be many times the whole.
    pub(crate) fn sharing_gateways(&self) -> Option<u32> {
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
        let gateways = self.sharing_gateways();
        let evacuated = self.evacuated.borrow();
        for service in self.services.borrow().values() {
            service.refresh_servers(&evacuated, sharers, gateways);
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

#[cfg(test)]
mod tests;
