//! The fleet file: how a deployment runs as processes on one machine, for demonstrations and tests.
//!
//! `deployments/<name>/fleet.toml` contains the sizes. The server ids and the partition maps are derived
//! from it, so that the stand-in back ends and the committed configuration agree.
//!
//! An *instance* of a service is a complete copy of its index in one zone. The shards are divided among
//! the instance's servers, so each shard has as many replicas as the service has instances.

mod layout;
mod validate;

pub use layout::FleetServer;

use sablehaven_types::{RegionName, ServiceName, ZoneName};
use serde::{Deserialize, Serialize};

/// The contents of a `fleet.toml`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetFile {
    /// The deployment's name.
    pub deployment: String,
    /// The regions and their zones, as in the schema.
    pub regions: Vec<FleetRegion>,
    /// Latencies and connection cost of the network.
    pub network: NetworkSettings,
    /// The current size of the deployment.
    pub full: FleetSize,
    /// The size of the deployment for a demonstration on one machine.
    pub demo: FleetSize,
    /// The services.
    pub services: Vec<FleetService>,
}

/// A region and its zones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetRegion {
    /// The region's name.
    pub name: RegionName,
    /// Its zones.
    pub zones: Vec<ZoneName>,
}

/// Latencies and connection cost of the network.
///
/// Each latency is one-way and replaces the latencies of shorter distances instead of adding to them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NetworkSettings {
    /// Latency between zones of a region, in milliseconds.
    pub between_zones_ms: u64,
    /// Latency between regions, in milliseconds.
    pub between_regions_ms: u64,
    /// Latency between the system and its clients, in milliseconds.
    pub to_clients_ms: u64,
    /// Cost of opening a connection, in milliseconds.
    pub connection_cost_ms: u64,
}

/// The number of processes in a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSize {
    /// Servers in each instance, in thousandths of [`FleetService::servers_per_instance`], rounded up.
    pub servers_per_mille: u32,
    /// Control replicas, assigned to the regions round-robin.
    pub control_replicas: u32,
    /// Relays in each region, assigned to its zones round-robin.
    pub relays_per_region: u32,
    /// Agents in each region, assigned to its zones round-robin; each runs next to its caller.
    pub agents_per_region: u32,
}

/// A service and its back-end servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetService {
    /// The service's name, as in the schema.
    pub name: ServiceName,
    /// The prefix of server ids: `<id_prefix>-<instance>-<server>`, with both numbered from 1.
    pub id_prefix: String,
    /// The zone of each instance, in order of instance number.
    pub instance_zones: Vec<ZoneName>,
    /// Servers in each instance at the current size.
    pub servers_per_instance: u32,
    /// The number of shards of the index.
    pub shards: u32,
    /// Requests that a server processes concurrently.
    pub slots_per_server: u32,
    /// The maximum number of connections to a server.
    pub connections_per_server: u32,
    /// The maximum number of requests that wait for a slot; the server sheds further ones.
    pub queue_per_server: u32,
    /// The median service time of a request on a warm server, in microseconds.
    pub service_time_us: u64,
    /// How long a server remains cold after its start, in milliseconds.
    pub cold_start_ms: u64,
    /// How many times longer a request takes on a cold server than on a warm one, right after the start.
    pub cold_slowdown: u32,
}
