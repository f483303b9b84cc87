//! How a deployment is run as processes on one machine, for demonstrations and tests.
//!
//! `deployments/<name>/fleet.toml` states the sizes; the servers' ids and the partition maps follow
//! from it, so that the stand-in back ends and the committed configuration agree.
//!
//! An *instance* of a service is one whole copy of its index in one zone. Its servers divide the
//! shards among them, so each shard has as many replicas as the service has instances.

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
    /// Latencies and costs of the network.
    pub network: NetworkSettings,
    /// The deployment at its present size.
    pub full: FleetSize,
    /// The deployment at a size for a demonstration on one machine.
    pub demo: FleetSize,
    /// The services.
    pub services: Vec<FleetService>,
}

/// A region and its zones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetRegion {
    /// The region.
    pub name: RegionName,
    /// Its zones.
    pub zones: Vec<ZoneName>,
}

/// Latencies and costs of the network. Each latency is one way and replaces, not adds to, those of
/// shorter distances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NetworkSettings {
    /// Between zones of a region, in milliseconds.
    pub between_zones_ms: u64,
    /// Between regions, in milliseconds.
    pub between_regions_ms: u64,
    /// Between the system and its clients, in milliseconds.
    pub to_clients_ms: u64,
    /// What opening a connection costs, in milliseconds.
    pub connection_cost_ms: u64,
}

/// How many processes a fleet has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSize {
    /// Servers of each instance, in thousandths of the present number, rounded up.
    pub servers_per_mille: u32,
    /// Control replicas, placed in the regions in turn.
    pub control_replicas: u32,
    /// Relays of each region, placed in its zones in turn.
    pub relays_per_region: u32,
    /// Agents (each beside its caller) of each region, placed in its zones in turn.
    pub agents_per_region: u32,
}

/// A service and its back-end servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetService {
    /// The service, as in the schema.
    pub name: ServiceName,
    /// Servers are called `<id_prefix>-<instance>-<server>`, both counted from 1.
    pub id_prefix: String,
    /// The zone of each instance, the first instance's first.
    pub instance_zones: Vec<ZoneName>,
    /// Servers of each instance at the present size.
    pub servers_per_instance: u32,
    /// Shards of the index.
    pub shards: u32,
    /// Requests that a server runs at the same time.
    pub slots_per_server: u32,
    /// Connections that a server accepts.
    pub connections_per_server: u32,
    /// Requests that wait for a slot before the server sheds.
    pub queue_per_server: u32,
    /// The median time that a warm server takes for a request, in microseconds.
    pub service_time_us: u64,
    /// How long a new server is cold, in milliseconds.
    pub cold_start_ms: u64,
    /// How many times longer a cold server takes at first.
    pub cold_slowdown: u32,
}
