//! The gateways by zone, each zone's in the order in which callers are told of them.
//!
//! Kept in order, since callers look up often and a sort of all gateways for each look-up grows with the fleet.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use sablehaven_types::ZoneName;
use sablehaven_wire::{GatewayLoad, GatewayStatus};

use super::subset::{GatewayRank, gateway_rank};

/// The latest word of a gateway.
pub(super) struct GatewayReport {
    pub(super) session: u64,
    pub(super) status: GatewayStatus,
    pub(super) load: GatewayLoad,
    pub(super) heard_at: Instant,
    /// When it last served callers, by what it and the others of its zone said.
    pub(super) served_at: Option<Instant>,
}

impl GatewayReport {
    /// How long it has been silent.
    pub(super) fn silent_for(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.heard_at)
    }
}

/// Where a gateway stands in the order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct GatewayKey {
    zone: ZoneName,
    rank: GatewayRank,
}

impl GatewayKey {
    /// The place of a gateway with this status.
    pub(super) fn of(status: &GatewayStatus) -> Self {
        Self {
            zone: status.placement.zone.clone(),
            rank: gateway_rank(status.address),
        }
    }
}

/// The gateways of one zone.
pub(super) type ZoneGateways = BTreeMap<GatewayRank, GatewayReport>;

/// The gateways by zone and rank.
#[derive(Default)]
pub(super) struct GatewayOrder {
    zones: BTreeMap<ZoneName, ZoneGateways>,
}

impl GatewayOrder {
    /// Puts a report in the place of the gateway's former one.
    pub(super) fn insert(&mut self, report: GatewayReport) {
        let place = GatewayKey::of(&report.status);
        let zone = self.zones.entry(place.zone).or_default();
        zone.insert(place.rank, report);
    }

    /// Forgets a gateway.
    pub(super) fn remove(&mut self, place: &GatewayKey) {
        let Some(zone) = self.zones.get_mut(&place.zone) else {
            return;
        };
        zone.remove(&place.rank);
        if zone.is_empty() {
            self.zones.remove(&place.zone);
        }
    }

    /// The report of a gateway.
    pub(super) fn get(&self, place: &GatewayKey) -> Option<&GatewayReport> {
        self.zones.get(&place.zone)?.get(&place.rank)
    }

    /// The same, to be changed.
    pub(super) fn get_mut(&mut self, place: &GatewayKey) -> Option<&mut GatewayReport> {
        self.zones.get_mut(&place.zone)?.get_mut(&place.rank)
    }

    /// The zones that have gateways.
    pub(super) fn zones(&self) -> impl Iterator<Item = (&ZoneName, &ZoneGateways)> {
        self.zones.iter()
    }

    /// All reports.
    pub(super) fn reports(&self) -> impl Iterator<Item = &GatewayReport> {
        self.zones.values().flat_map(BTreeMap::values)
    }

    /// All reports, to be changed.
    pub(super) fn reports_mut(&mut self) -> impl Iterator<Item = &mut GatewayReport> {
        self.zones.values_mut().flat_map(BTreeMap::values_mut)
    }
}
