//! The servers and partition maps that follow from a fleet's sizes.

use sablehaven_types::{
    BackendId, Configuration, IndexSnapshot, Placement, RegionName, RoutingSettings,
    ServiceConfiguration, ServiceName, ShardAssignment, ShardId, SnapshotId, ZoneName,
};

use super::{FleetFile, FleetService, FleetSize};
use crate::schema::DeploymentSchema;

/// Thousandths of a whole.
const PER_MILLE: u64 = 1_000;
/// The snapshot with which a deployment starts.
const FIRST_SNAPSHOT: SnapshotId = SnapshotId {
    generation: 1,
    partition_map: 1,
};

/// One back-end server of a fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetServer {
    /// The server.
    pub id: BackendId,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it runs.
    pub placement: Placement,
    /// The shards that it holds, ascending.
    pub shards: Vec<ShardId>,
}

impl FleetFile {
    /// Every back-end server at a size, by service, instance and server.
    ///
    /// A zone that belongs to no region is skipped; [`FleetFile::validate`] refuses it.
    pub fn servers(&self, size: &FleetSize) -> Vec<FleetServer> {
        self.services
            .iter()
            .flat_map(|service| self.servers_of(service, size))
            .collect()
    }

    /// Every zone with its region, in the order of the file.
    pub fn placements(&self) -> Vec<Placement> {
        self.regions
            .iter()
            .flat_map(|region| {
                region
                    .zones
                    .iter()
                    .map(|zone| placement(&region.name, zone))
            })
            .collect()
    }

    /// Where the control replicas run: the first zones of the regions in turn, then the second ones.
    pub fn control_placements(&self, size: &FleetSize) -> Vec<Placement> {
        let mut by_zone_rank: Vec<(usize, Placement)> = self
            .regions
            .iter()
            .flat_map(|region| {
                region
                    .zones
                    .iter()
                    .enumerate()
                    .map(|(rank, zone)| (rank, placement(&region.name, zone)))
            })
            .collect();
        by_zone_rank.sort_by_key(|(rank, _)| *rank);
        let in_turn = by_zone_rank.iter().map(|(_, placement)| placement).cycle();
        in_turn
            .take(usize::try_from(size.control_replicas).unwrap_or(usize::MAX))
            .cloned()
            .collect()
    }

    /// Where the relays run.
    pub fn relay_placements(&self, size: &FleetSize) -> Vec<Placement> {
        self.placements_per_region(size.relays_per_region)
    }

    /// Where the agents run.
    pub fn agent_placements(&self, size: &FleetSize) -> Vec<Placement> {
        self.placements_per_region(size.agents_per_region)
    }

    /// The configuration with which the deployment starts at a size: every service, on the first
    /// snapshot.
    pub fn configuration(&self, schema: &DeploymentSchema, size: &FleetSize) -> Configuration {
        Configuration {
            version: 0,
            schema: schema.source().clone(),
            services: self
                .services
                .iter()
                .map(|service| (service.name.clone(), service.configuration(size)))
                .collect(),
        }
    }

    fn placements_per_region(&self, count: u32) -> Vec<Placement> {
        let count = usize::try_from(count).unwrap_or(usize::MAX);
        self.regions
            .iter()
            .flat_map(|region| {
                let zones = region.zones.iter().cycle().take(count);
                zones.map(|zone| placement(&region.name, zone))
            })
            .collect()
    }

    fn servers_of(&self, service: &FleetService, size: &FleetSize) -> Vec<FleetServer> {
        let mut servers = Vec::new();
        for (instance, zone) in (1..).zip(&service.instance_zones) {
            let Some(region) = self.region_of(zone) else {
                continue;
            };
            for server in 1..=service.servers_at(size) {
                servers.push(FleetServer {
                    id: service.server_id(instance, server),
                    service: service.name.clone(),
                    placement: placement(region, zone),
                    shards: service.shards_of(server, size),
                });
            }
        }
        servers
    }

    /// The region that a zone belongs to.
    pub(super) fn region_of(&self, zone: &ZoneName) -> Option<&RegionName> {
        self.regions
            .iter()
            .find(|region| region.zones.contains(zone))
            .map(|region| &region.name)
    }
}

impl FleetService {
    /// Servers of each instance at a size, at least one.
    pub fn servers_at(&self, size: &FleetSize) -> u32 {
        let scaled = u64::from(self.servers_per_instance) * u64::from(size.servers_per_mille);
        u32::try_from(scaled.div_ceil(PER_MILLE))
            .unwrap_or(u32::MAX)
            .max(1)
    }

    /// The id of a server; instances and servers are counted from 1.
    pub fn server_id(&self, instance: u32, server: u32) -> BackendId {
        BackendId(format!("{}-{instance}-{server}", self.id_prefix))
    }

    /// A partition map over `shards` shards: each one is held by one server of every instance.
    pub fn partition_map(&self, shards: u32, size: &FleetSize) -> Vec<ShardAssignment> {
        let servers = self.servers_at(size);
        (0..shards)
            .map(|shard| ShardAssignment {
                shard: ShardId(shard),
                replicas: (1..)
                    .zip(&self.instance_zones)
                    .map(|(instance, _)| self.server_id(instance, shard % servers + 1))
                    .collect(),
            })
            .collect()
    }

    fn configuration(&self, size: &FleetSize) -> ServiceConfiguration {
        ServiceConfiguration {
            snapshot: IndexSnapshot {
                id: FIRST_SNAPSHOT,
                shards: self.partition_map(self.shards, size),
            },
            routing: RoutingSettings {
                connections_per_server: self.connections_per_server,
                slots_per_server: self.slots_per_server,
                ..RoutingSettings::default()
            },
        }
    }

    fn shards_of(&self, server: u32, size: &FleetSize) -> Vec<ShardId> {
        let servers = self.servers_at(size);
        (0..self.shards)
            .filter(|shard| shard % servers + 1 == server)
            .map(ShardId)
            .collect()
    }
}

fn placement(region: &RegionName, zone: &ZoneName) -> Placement {
    Placement {
        region: region.clone(),
        zone: zone.clone(),
    }
}
