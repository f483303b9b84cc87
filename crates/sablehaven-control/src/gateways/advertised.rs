//! Which gateways a caller is told of, as a pure decision.

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

/// The most addresses that a caller is told.
const MAXIMUM_ADDRESSES: usize = 64;
/// A gateway that is silent for so long is told only where no other is heard: it says something every
/// half second. Its connection is given up much later, since one that is only slow comes back.
const FRESH_LIMIT: Duration = Duration::from_millis(900);

/// The sizes of the zones' subsets.
pub(super) type SubsetSizes = BTreeMap<ZoneName, SubsetSize>;

/// The gateways that callers may be told of, at one moment.
pub(super) struct AdvertisedGateways<'a> {
    order: &'a GatewayOrder,
    sizes: &'a SubsetSizes,
    now: Instant,
    /// Whether any gateway is heard. When all are silent it is this replica that did not listen.
    is_any_fresh: bool,
}

impl<'a> AdvertisedGateways<'a> {
    pub(super) fn new(order: &'a GatewayOrder, sizes: &'a SubsetSizes, now: Instant) -> Self {
        let is_fresh =
            |report: &GatewayReport| report.status.is_ready && report.silent_for(now) < FRESH_LIMIT;
        Self {
            order,
            sizes,
            now,
            is_any_fresh: order.reports().any(is_fresh),
        }
    }

    /// The named gateways of the nearest place that has any: the caller's zone, its region, the regions that
    /// may serve what it asks for, anywhere. Callers draw among the addresses, so far ones beside near ones would be
    /// used as much.
    pub(super) fn near(&self, caller: &Placement, allowed: &AllowedRegions) -> Vec<SocketAddr> {
        let in_zone = |place: &Placement| place.zone == caller.zone;
        let in_region = |place: &Placement| place.region == caller.region;
        let is_allowed = |place: &Placement| allowed.admit(Some(&place.region));
        let anywhere = |_: &Placement| true;
        let circles: [&dyn Fn(&Placement) -> bool; 4] =
            [&in_zone, &in_region, &is_allowed, &anywhere];
        for is_near in circles {
            let addresses = self.within(is_near);
            if !addresses.is_empty() {
                return addresses;
            }
        }
        Vec::new()
    }

    /// The named gateways of some places, in the order of their ranks, no more than a caller is told.
    fn within(&self, is_near: &dyn Fn(&Placement) -> bool) -> Vec<SocketAddr> {
        let mut ranks: Vec<GatewayRank> = Vec::new();
        for (name, zone) in self.order.zones() {
            let is_zone_near = zone
                .values()
                .any(|report| is_near(&report.status.placement));
            if is_zone_near {
                ranks.extend(self.of_zone(name, zone));
            }
        }
        ranks.sort_unstable();
        let addresses = ranks.into_iter().map(|(_, address)| address);
        addresses.take(MAXIMUM_ADDRESSES).collect()
    }

    /// The named gateways of one zone: the first of those that are ready and heard.
    pub(super) fn of_zone(
        &self,
        name: &ZoneName,
        zone: &'a ZoneGateways,
    ) -> impl Iterator<Item = GatewayRank> {
        let size = self.sizes.get(name).copied().unwrap_or_default();
        let may_be_told = |(_, report): &(&GatewayRank, &GatewayReport)| self.may_be_told(report);
        let told = zone.iter().filter(may_be_told);
        told.map(|(rank, _)| *rank).take(size.size())
    }

    fn may_be_told(&self, report: &GatewayReport) -> bool {
        let is_fresh = report.silent_for(self.now) < FRESH_LIMIT;
        report.status.is_ready && (is_fresh || !self.is_any_fresh)
    }
}
