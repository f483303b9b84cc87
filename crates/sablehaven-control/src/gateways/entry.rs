//! Which gateways a caller is told of, as a pure decision.

use std::net::SocketAddr;

use sablehaven_types::Placement;
use sablehaven_wire::GatewayStatus;

/// The most addresses that a caller is told.
const MAXIMUM_ADDRESSES: usize = 64;

/// The ready gateways of the nearest place that has any: the caller's zone, its region, anywhere.
/// Callers draw among the addresses, so far ones beside near ones would be used as much.
pub(crate) fn choose(gateways: &[GatewayStatus], caller: &Placement) -> Vec<SocketAddr> {
    let ready: Vec<&GatewayStatus> = gateways.iter().filter(|gateway| gateway.is_ready).collect();
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
