//! The latest report of each gateway, by zone and by the rank in which gateways are advertised.
//!
//! The order is maintained on each report: callers look gateways up often, and sorting all gateways for each look-up
//! would cost more the larger the fleet is.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use sablehaven_types::ZoneName;
use sablehaven_wire::{GatewayLoad, GatewayStatus};

use super::subset::{GatewayRank, gateway_rank};

/// The latest status and load of a gateway.
pub(super) struct GatewayReport {
    /// The connection that sent it.
    pub(super) session: u64,
    pub(super) status: GatewayStatus,
    pub(super) load: GatewayLoad,
    /// When it last sent its status or load.
    pub(super) last_report_at: Instant,
    /// When it last counted as serving callers, judged by its attempts compared with others of its zone.
    pub(super) last_served_at: Option<Instant>,
}

impl GatewayReport {
    /// Time since the last message.
    pub(super) fn silent_for(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_report_at)
    }
}

/// Key of a gateway in [`GatewayOrder`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct GatewayKey {
    zone: ZoneName,
    rank: GatewayRank,
}

impl GatewayKey {
    /// Returns the key of the gateway with this status.
    pub(super) fn of(status: &GatewayStatus) -> Self {
        Self {
            zone: status.placement.zone.clone(),
            rank: gateway_rank(status.address),
        }
    }
}

/// The reports of one zone's gateways, by rank.
pub(super) type ZoneGateways = BTreeMap<GatewayRank, GatewayReport>;

/// The reports of all gateways, by zone and rank.
#[derive(Default)]
pub(super) struct GatewayOrder {
    zones: BTreeMap<ZoneName, ZoneGateways>,
}

impl GatewayOrder {
    /// Inserts a report; replaces the gateway's former one.
    pub(super) fn insert(&mut self, report: GatewayReport) {
        let key = GatewayKey::of(&report.status);
        let zone = self.zones.entry(key.zone).or_default();
        zone.insert(key.rank, report);
    }

    /// Removes a gateway, and its zone if that has no other.
    pub(super) fn remove(&mut self, key: &GatewayKey) {
        let Some(zone) = self.zones.get_mut(&key.zone) else {
            return;
        };
        zone.remove(&key.rank);
        if zone.is_empty() {
            self.zones.remove(&key.zone);
        }
    }

    /// Returns the report of a gateway.
    pub(super) fn get(&self, key: &GatewayKey) -> Option<&GatewayReport> {
        self.zones.get(&key.zone)?.get(&key.rank)
    }

    /// Returns the report of a gateway for modification.
    pub(super) fn get_mut(&mut self, key: &GatewayKey) -> Option<&mut GatewayReport> {
        self.zones.get_mut(&key.zone)?.get_mut(&key.rank)
    }

    /// Iterates over the zones that have gateways.
    pub(super) fn zones(&self) -> impl Iterator<Item = (&ZoneName, &ZoneGateways)> {
        self.zones.iter()
    }

    /// Iterates over all reports.
    pub(super) fn reports(&self) -> impl Iterator<Item = &GatewayReport> {
        self.zones.values().flat_map(BTreeMap::values)
    }

    /// Iterates over all reports for modification.
    pub(super) fn reports_mut(&mut self) -> impl Iterator<Item = &mut GatewayReport> {
        self.zones.values_mut().flat_map(BTreeMap::values_mut)
    }
}
