//! Selects the gateways that are advertised to a caller, as a pure function of the gateways' reports.
//!
//! A gateway is advertised if it belongs to the subset of its zone (see [`super::subset`]) and is in the nearest scope
//! to the caller that has any gateway: its zone, its region, the allowed regions, or everywhere.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use sablehaven_types::{AllowedRegions, Placement, ZoneName};

use super::{
    order::{GatewayOrder, GatewayReport, ZoneGateways},
    subset::{GatewayRank, SubsetSize},
};

/// Maximum number of addresses that a caller is sent.
const MAXIMUM_ADDRESSES: usize = 64;
/// Time since the last message after which a gateway is advertised only if no other gateway is fresh. Gateways send a
/// message every half second. The connection itself times out much later, since a gateway that is only slow recovers.
const FRESHNESS_LIMIT: Duration = Duration::from_millis(900);

/// Number of advertised gateways of each zone.
pub(super) type SubsetSizes = BTreeMap<ZoneName, SubsetSize>;

/// The gateways that may be advertised at a given time.
pub(super) struct AdvertisedGateways<'a> {
    order: &'a GatewayOrder,
    sizes: &'a SubsetSizes,
    now: Instant,
    /// Whether any ready gateway is fresh. If none is, this replica itself has probably stopped reading, and stale
    /// gateways are advertised too.
    is_any_fresh: bool,
}

impl<'a> AdvertisedGateways<'a> {
    pub(super) fn new(order: &'a GatewayOrder, sizes: &'a SubsetSizes, now: Instant) -> Self {
        let is_fresh = |report: &GatewayReport| {
            report.status.is_ready && report.silent_for(now) < FRESHNESS_LIMIT
        };
        Self {
            order,
            sizes,
            now,
            is_any_fresh: order.reports().any(is_fresh),
        }
    }

    /// Returns the advertised gateways of the nearest scope that has any: the caller's zone, its region, the regions
    /// that may serve its request, or everywhere. Scopes are not mixed: callers choose among the addresses at random,
    /// so distant gateways would get as many requests as near ones.
    pub(super) fn nearest(&self, caller: &Placement, allowed: &AllowedRegions) -> Vec<SocketAddr> {
        let in_zone = |placement: &Placement| placement.zone == caller.zone;
        let in_region = |placement: &Placement| placement.region == caller.region;
        let is_allowed = |placement: &Placement| allowed.admit(Some(&placement.region));
        let anywhere = |_: &Placement| true;
        let scopes: [&dyn Fn(&Placement) -> bool; 4] =
            [&in_zone, &in_region, &is_allowed, &anywhere];
        for is_in_scope in scopes {
            let addresses = self.in_scope(is_in_scope);
            if !addresses.is_empty() {
                return addresses;
            }
        }
        Vec::new()
    }

    /// Returns the advertised gateways of the zones in a scope, ordered by rank, up to the maximum for a caller.
    fn in_scope(&self, is_in_scope: &dyn Fn(&Placement) -> bool) -> Vec<SocketAddr> {
        let mut ranks: Vec<GatewayRank> = Vec::new();
        for (name, zone) in self.order.zones() {
            let is_zone_in_scope = zone
                .values()
                .any(|report| is_in_scope(&report.status.placement));
            if is_zone_in_scope {
                ranks.extend(self.subset_of_zone(name, zone));
            }
        }
        ranks.sort_unstable();
        let addresses = ranks.into_iter().map(|(_, address)| address);
        addresses.take(MAXIMUM_ADDRESSES).collect()
    }

    /// Returns the advertised gateways of one zone: the eligible ones of lowest rank, as many as the subset size.
    pub(super) fn subset_of_zone(
        &self,
        name: &ZoneName,
        zone: &'a ZoneGateways,
    ) -> impl Iterator<Item = GatewayRank> {
        let size = self.sizes.get(name).copied().unwrap_or_default();
        let is_eligible = |(_, report): &(&GatewayRank, &GatewayReport)| self.is_eligible(report);
        let eligible = zone.iter().filter(is_eligible);
        eligible.map(|(rank, _)| *rank).take(size.size())
    }

    /// Whether a gateway is ready, and fresh unless none is.
    fn is_eligible(&self, report: &GatewayReport) -> bool {
        let is_fresh = report.silent_for(self.now) < FRESHNESS_LIMIT;
        report.status.is_ready && (is_fresh || !self.is_any_fresh)
    }
}
