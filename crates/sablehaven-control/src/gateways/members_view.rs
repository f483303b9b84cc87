//! The members of the deployment, as they are sent to gateways.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use sablehaven_types::ZoneName;
use sablehaven_wire::DeploymentMembers;

/// The members of the deployment that this replica knows.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct MembersView {
    /// Addresses of the control replicas for internal connections.
    pub(super) controls: BTreeSet<SocketAddr>,
    /// Number of gateways in each zone that share the capacity of the servers.
    pub(super) counts: BTreeMap<ZoneName, u32>,
    /// The addresses of the connected gateways among them.
    pub(super) sharers: BTreeSet<SocketAddr>,
}

impl MembersView {
    /// Returns the members message for the gateway at an address.
    pub(super) fn members_for(&self, gateway: SocketAddr) -> DeploymentMembers {
        DeploymentMembers {
            controls: self.controls.clone(),
            gateways: self.counts.clone(),
            is_sharer: self.sharers.contains(&gateway),
        }
    }
}

/// The gateways that share the capacity of the servers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct GatewaySharers {
    /// Number of gateways in each zone; includes gateways that are expected to become ready soon.
    pub(super) counts: BTreeMap<ZoneName, u32>,
    /// The addresses of those that are connected.
    pub(super) addresses: BTreeSet<SocketAddr>,
}
