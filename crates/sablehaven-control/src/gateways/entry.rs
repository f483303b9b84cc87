//! Which gateways a caller is told of, as a pure decision.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use sablehaven_types::{AllowedRegions, Placement, ZoneName};
use sablehaven_wire::GatewayStatus;

use super::subset::{NamingRank, SubsetSize};

/// The most addresses that a caller is told.
const MAXIMUM_ADDRESSES: usize = 64;
/// A gateway that is silent for so long is told only where no other is heard: it says something every
/// half second. Its connection is given up much later, since one that is only slow comes back.
const FRESH_LIMIT: Duration = Duration::from_millis(900);

/// A gateway, and how long ago it was heard.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeardGateway<'a> {
    pub(crate) status: &'a GatewayStatus,
    pub(crate) rank: NamingRank,
    pub(crate) silent_for: Duration,
}

/// The sizes of the zones' subsets.
pub(super) type SubsetSizes = BTreeMap<ZoneName, SubsetSize>;

/// The named gateways of the nearest place that has any: the caller's zone, its region, the regions that
/// may serve what it asks for, anywhere. Callers draw among the addresses, so far ones beside near ones would be used as much.
pub(super) fn choose(
    gateways: &[HeardGateway<'_>],
    sizes: &SubsetSizes,
    caller: &Placement,
    allowed: &AllowedRegions,
) -> Vec<SocketAddr> {
    let named = named(gateways, sizes);
    let in_zone = |gateway: &GatewayStatus| gateway.placement.zone == caller.zone;
    let in_region = |gateway: &GatewayStatus| gateway.placement.region == caller.region;
    let is_allowed = |gateway: &GatewayStatus| allowed.admit(Some(&gateway.placement.region));
    let anywhere = |_: &GatewayStatus| true;
    let circles: [&dyn Fn(&GatewayStatus) -> bool; 4] =
        [&in_zone, &in_region, &is_allowed, &anywhere];
    for is_near in circles {
        let near = named.iter().filter(|gateway| is_near(gateway.status));
        let addresses: Vec<SocketAddr> = near.map(|gateway| gateway.status.address).collect();
        if !addresses.is_empty() {
            return addresses.into_iter().take(MAXIMUM_ADDRESSES).collect();
        }
    }
    Vec::new()
}

/// The gateways of every zone that callers may be told of: the first of those that are ready and heard.
pub(super) fn named<'a>(
    gateways: &[HeardGateway<'a>],
    sizes: &SubsetSizes,
) -> Vec<HeardGateway<'a>> {
    let is_fresh = |gateway: &HeardGateway<'_>| gateway.silent_for < FRESH_LIMIT;
    let ready = gateways.iter().filter(|gateway| gateway.status.is_ready);
    // When all are silent it is this replica that did not listen.
    let (fresh, silent): (Vec<&HeardGateway<'a>>, Vec<_>) =
        ready.partition(|gateway| is_fresh(gateway));
    let mut told = if fresh.is_empty() { silent } else { fresh };
    told.sort_by_key(|gateway| gateway.rank);
    let mut taken: BTreeMap<&ZoneName, usize> = BTreeMap::new();
    let has_room = |gateway: &&HeardGateway<'a>| {
        let zone = &gateway.status.placement.zone;
        let size = sizes.get(zone).copied().unwrap_or_default();
        let taken = taken.entry(zone).or_default();
        *taken += 1;
        *taken <= size.size()
    };
    told.into_iter().filter(has_room).copied().collect()
}
