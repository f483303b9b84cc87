//! The sessions of gateways, and what each gateway has said last.

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

/// Time for which a gateway that has taken requests shares what servers bear, named or not: about as long
/// as it keeps its connections to them.
const SHARING_TIME: Duration = Duration::from_secs(10);

/// The sessions of gateways, and what each gateway has said last.
#[derive(Default)]
pub(super) struct Sessions {
    pub(super) opened: u64,
    pub(super) latest_opened: Option<Instant>,
    /// Where the gateway of each session stands in the order.
    places: BTreeMap<u64, GatewayKey>,
    /// The latest report of each gateway.
    pub(super) order: GatewayOrder,
    pub(super) counted_at: Option<Instant>,
    pub(super) sizes: SubsetSizes,
}

impl Sessions {
    /// Takes a report; one of a session that a later one of the same gateway has replaced is ignored.
    pub(super) fn take(&mut self, session: u64, status: GatewayStatus) {
        let place = GatewayKey::of(&status);
        self.places.insert(session, place.clone());
        let former = self.order.get(&place);
        if former.is_some_and(|report| report.session > session) {
            return;
        }
        let report = GatewayReport {
            session,
            status,
            load: former.map(|report| report.load).unwrap_or_default(),
            heard_at: Instant::now(),
            served_at: former.and_then(|report| report.served_at),
        };
        self.order.insert(report);
    }

    /// Takes a sign of life, with what the gateway has had to do.
    pub(super) fn take_load(&mut self, session: u64, load: GatewayLoad) {
        let place = self.places.get(&session);
        let report = place.and_then(|place| self.order.get_mut(place));
        // A later session of the same gateway has replaced this one.
        let Some(report) = report.filter(|report| report.session == session) else {
            return;
        };
        report.load = load;
        report.heard_at = Instant::now();
    }

    /// Forgets a session that has ended, and its gateway unless a later session has replaced it.
    pub(super) fn remove(&mut self, session: u64) {
        let Some(place) = self.places.remove(&session) else {
            return;
        };
        let report = self.order.get(&place);
        if report.map(|report| report.session) == Some(session) {
            self.order.remove(&place);
        }
    }

    /// Sets the size of each zone's subset by what its gateways have to do, and notes which of them serve.
    pub(super) fn resize(&mut self, now: Instant) {
        let mut loads: BTreeMap<&ZoneName, ZoneLoad> = BTreeMap::new();
        for report in self.order.reports() {
            let zone = &report.status.placement.zone;
            loads.entry(zone).or_default().add(report.load);
        }
        let mut least_attempts: BTreeMap<ZoneName, u32> = BTreeMap::new();
        for (zone, load) in loads {
            let size = self.sizes.entry(zone.clone()).or_default();
            let former = size.size();
            let least = load.least_attempts(former);
            least_attempts.insert(zone.clone(), least);
            size.observe(now, load.traffic(least));
            if size.size() != former {
                log::info!(event = "gateway_subset", zone:% = zone, size = size.size(), former = former;
                    "gateways that callers are told of");
            }
        }
        for report in self.order.reports_mut() {
            let least = least_attempts.get(&report.status.placement.zone);
            if least.is_some_and(|least| report.load.attempts >= *least) {
                report.served_at = Some(now);
            }
        }
    }

    /// The gateways that share what servers bear: those that are named, and those that still take requests.
    pub(super) fn sharers(&self, now: Instant) -> GatewaySharers {
        let named = AdvertisedGateways::new(&self.order, &self.sizes, now);
        let serves = |report: &GatewayReport| {
            let since = report.served_at.map(|at| now.saturating_duration_since(at));
            since.is_some_and(|since| since < SHARING_TIME)
        };
        let mut sharers = GatewaySharers::default();
        for (name, zone) in self.order.zones() {
            let told = named.of_zone(name, zone).map(|(_, address)| address);
            let serving = zone.values().filter(|report| serves(report));
            let serving = serving.map(|report| report.status.address);
            let sharing: BTreeSet<SocketAddr> = told.chain(serving).collect();
            let size = self.sizes.get(name).copied().unwrap_or_default();
            let least = size.size().min(zone.len());
            let count = u32::try_from(sharing.len().max(least)).unwrap_or(u32::MAX);
            sharers.counts.insert(name.clone(), count);
            sharers.addresses.extend(sharing);
        }
        sharers
    }
}
