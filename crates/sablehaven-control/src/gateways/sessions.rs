//! The sessions of gateways, the latest report of each gateway, and the sizes of the advertised subsets.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::{Duration, Instant},
};

use sablehaven_types::ZoneName;
use sablehaven_wire::{GatewayLoad, GatewayStatus};

use super::{
    advertised::{AdvertisedGateways, SubsetSizes},
    members_view::GatewaySharers,
    order::{GatewayKey, GatewayOrder, GatewayReport},
    subset::ZoneLoad,
};

/// Time for which a gateway that has served requests counts as a sharer of the servers' capacity, whether it is
/// advertised or not: about as long as it keeps its connections to them.
const SHARING_DURATION: Duration = Duration::from_secs(10);

/// The sessions of gateways, the latest report of each gateway, and the sizes of the advertised subsets.
#[derive(Default)]
pub(super) struct Sessions {
    /// Number of sessions opened so far; also the number of the latest one.
    pub(super) opened_count: u64,
    pub(super) last_opened_at: Option<Instant>,
    /// The key of each session's gateway in `order`.
    keys: BTreeMap<u64, GatewayKey>,
    /// The latest report of each gateway.
    pub(super) order: GatewayOrder,
    /// When the gateways were last counted.
    pub(super) counted_at: Option<Instant>,
    pub(super) subset_sizes: SubsetSizes,
}

impl Sessions {
    /// Records a status. It is ignored if a later session of the same gateway has replaced this one.
    pub(super) fn record_status(&mut self, session: u64, status: GatewayStatus) {
        let key = GatewayKey::of(&status);
        self.keys.insert(session, key.clone());
        let former = self.order.get(&key);
        if former.is_some_and(|report| report.session > session) {
            return;
        }
        let report = GatewayReport {
            session,
            status,
            load: former.map(|report| report.load).unwrap_or_default(),
            last_report_at: Instant::now(),
            last_served_at: former.and_then(|report| report.last_served_at),
        };
        self.order.insert(report);
    }

    /// Records the load in a keep-alive message.
    pub(super) fn record_load(&mut self, session: u64, load: GatewayLoad) {
        let key = self.keys.get(&session);
        let report = key.and_then(|key| self.order.get_mut(key));
        // A later session of the same gateway has replaced this one.
        let Some(report) = report.filter(|report| report.session == session) else {
            return;
        };
        report.load = load;
        report.last_report_at = Instant::now();
    }

    /// Removes a session that has ended, and its gateway unless a later session has replaced this one.
    pub(super) fn remove(&mut self, session: u64) {
        let Some(key) = self.keys.remove(&session) else {
            return;
        };
        let report = self.order.get(&key);
        if report.map(|report| report.session) == Some(session) {
            self.order.remove(&key);
        }
    }

    /// Sets the subset size of each zone by the load of its gateways, and records which gateways serve callers.
    pub(super) fn update_subset_sizes(&mut self, now: Instant) {
        let mut loads: BTreeMap<&ZoneName, ZoneLoad> = BTreeMap::new();
        for report in self.order.reports() {
            let zone = &report.status.placement.zone;
            loads.entry(zone).or_default().add(report.load);
        }
        let mut minimum_attempts: BTreeMap<ZoneName, u32> = BTreeMap::new();
        for (zone, load) in loads {
            let size = self.subset_sizes.entry(zone.clone()).or_default();
            let former = size.size();
            let minimum = load.minimum_attempts(former);
            minimum_attempts.insert(zone.clone(), minimum);
            size.observe(now, load.traffic(minimum));
            if size.size() != former {
                log::info!(event = "gateway_subset", zone:% = zone, size = size.size(), former = former;
                    "number of advertised gateways has changed");
            }
        }
        for report in self.order.reports_mut() {
            let minimum = minimum_attempts.get(&report.status.placement.zone);
            if minimum.is_some_and(|minimum| report.load.attempts >= *minimum) {
                report.last_served_at = Some(now);
            }
        }
    }

    /// Returns the gateways that share the capacity of the servers: those that are advertised, and those that have
    /// served requests recently.
    pub(super) fn sharers(&self, now: Instant) -> GatewaySharers {
        let advertised = AdvertisedGateways::new(&self.order, &self.subset_sizes, now);
        let serves = |report: &GatewayReport| {
            let since = report
                .last_served_at
                .map(|at| now.saturating_duration_since(at));
            since.is_some_and(|since| since < SHARING_DURATION)
        };
        let mut sharers = GatewaySharers::default();
        for (name, zone) in self.order.zones() {
            let advertised_addresses = advertised
                .subset_of_zone(name, zone)
                .map(|(_, address)| address);
            let serving = zone.values().filter(|report| serves(report));
            let serving = serving.map(|report| report.status.address);
            let sharing: BTreeSet<SocketAddr> = advertised_addresses.chain(serving).collect();
            let size = self.subset_sizes.get(name).copied().unwrap_or_default();
            let minimum = size.size().min(zone.len());
            let count = u32::try_from(sharing.len().max(minimum)).unwrap_or(u32::MAX);
            sharers.counts.insert(name.clone(), count);
            sharers.addresses.extend(sharing);
        }
        sharers
    }
}
