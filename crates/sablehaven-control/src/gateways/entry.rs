//! Which gateways a caller is told of, as a pure decision.

use std::{net::SocketAddr, time::Duration};

use sablehaven_types::Placement;
use sablehaven_wire::GatewayStatus;

/// The most addresses that a caller is told.
const MAXIMUM_ADDRESSES: usize = 64;
/// A gateway that is silent for so long is told only where no other is heard: it says something every
/// half second. Its connection is given up much later, since one that is only slow comes back.
const FRESH_LIMIT: Duration = Duration::from_millis(900);

/// A gateway, and how long ago it was heard.
#[derive(Clone, Debug)]
pub(crate) struct HeardGateway {
    pub(crate) status: GatewayStatus,
    pub(crate) silent_for: Duration,
}

/// The ready gateways of the nearest place that has any: the caller's zone, its region, anywhere.
/// Callers draw among the addresses, so far ones beside near ones would be used as much.
pub(crate) fn choose(gateways: &[HeardGateway], caller: &Placement) -> Vec<SocketAddr> {
    let is_fresh = |gateway: &HeardGateway| gateway.silent_for < FRESH_LIMIT;
    let ready = gateways.iter().filter(|gateway| gateway.status.is_ready);
    // When all are silent it is this replica that did not listen.
    let (fresh, silent): (Vec<_>, Vec<_>) = ready.partition(|gateway| is_fresh(gateway));
    let told = if fresh.is_empty() { silent } else { fresh };
    let ready: Vec<&GatewayStatus> = told.iter().map(|gateway| &gateway.status).collect();
    let in_zone = |gateway: &GatewayStatus| gateway.placement.zone == caller.zone;
    let in_region = |gateway: &GatewayStatus| gateway.placement.region == caller.region;
    let anywhere = |_: &GatewayStatus| true;
    let circles: [&dyn Fn(&GatewayStatus) -> bool; 3] = [&in_zone, &in_region, &anywhere];
    for is_near in circles {
        let near = ready.iter().filter(|gateway| is_near(gateway));
        let addresses: Vec<SocketAddr> = near.map(|gateway| gateway.address).collect();
        if !addresses.is_empty() {
            return addresses.into_iter().take(MAXIMUM_ADDRESSES).collect();
        }
    }
    Vec::new()
}
