//! Who takes part, as gateways are told.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use sablehaven_types::ZoneName;
use sablehaven_wire::DeploymentMembers;

/// Who takes part, as this replica sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct MembersView {
    pub(super) controls: BTreeSet<SocketAddr>,
    /// Gateways by zone that share what servers bear.
    pub(super) counts: BTreeMap<ZoneName, u32>,
    /// The same gateways by their addresses, as far as they are connected.
    pub(super) sharers: BTreeSet<SocketAddr>,
}

impl MembersView {
    /// What the gateway at an address is told.
    pub(super) fn told_to(&self, gateway: SocketAddr) -> DeploymentMembers {
        DeploymentMembers {
            controls: self.controls.clone(),
            gateways: self.counts.clone(),
            is_sharer: self.sharers.contains(&gateway),
        }
    }
}

/// The gateways that share what servers bear.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct GatewaySharers {
    /// By zone; some of the counted ones may be about to become ready.
    pub(super) counts: BTreeMap<ZoneName, u32>,
    /// By address.
    pub(super) addresses: BTreeSet<SocketAddr>,
}
