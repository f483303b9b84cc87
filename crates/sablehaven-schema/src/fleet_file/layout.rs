//! Derives the servers, placements and partition maps from a fleet file.

use sablehaven_types::{
    BackendId, Configuration, IndexSnapshot, Placement, RegionName, RoutingSettings,
    ServiceConfiguration, ServiceName, ShardAssignment, ShardId, SnapshotId, ZoneName,
};

use super::{FleetFile, FleetService, FleetSize};
use crate::schema::DeploymentSchema;

/// Thousandths in a whole.
const PER_MILLE: u64 = 1_000;
/// The snapshot that a new deployment starts with.
const INITIAL_SNAPSHOT: SnapshotId = SnapshotId {
    generation: 1,
    partition_map: 1,
};

/// One back-end server of a fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetServer {
    /// The server's id.
    pub id: BackendId,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// The region and zone in which it runs.
    pub placement: Placement,
    /// The shards that it holds, in ascending order.
    pub shards: Vec<ShardId>,
}

impl FleetFile {
    /// Every back-end server of a fleet of the given size, ordered by service, instance and server.
    ///
    /// Instances in a zone that belongs to no region are skipped; [`FleetFile::validate`] reports them.
    pub fn servers(&self, size: &FleetSize) -> Vec<FleetServer> {
        self.services
            .iter()
            .flat_map(|service| self.servers_of(service, size))
            .collect()
    }

    /// Every zone with its region, in file order.
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

    /// The placements of the control replicas: the first zone of each region, then the second zone of
    /// each region, and so on; starts over after the last zone.
    pub fn control_placements(&self, size: &FleetSize) -> Vec<Placement> {
        let mut ranked_placements: Vec<(usize, Placement)> = self
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
        ranked_placements.sort_by_key(|(rank, _)| *rank);
        let round_robin = ranked_placements
            .iter()
            .map(|(_, placement)| placement)
            .cycle();
        round_robin
            .take(usize::try_from(size.control_replicas).unwrap_or(usize::MAX))
            .cloned()
            .collect()
    }

    /// The placements of the relays.
    pub fn relay_placements(&self, size: &FleetSize) -> Vec<Placement> {
        self.placements_per_region(size.relays_per_region)
    }

    /// The placements of the agents.
    pub fn agent_placements(&self, size: &FleetSize) -> Vec<Placement> {
        self.placements_per_region(size.agents_per_region)
    }

    /// The initial configuration of the deployment at the given size: every service, on the first
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

    /// The region that contains a zone.
    pub(super) fn region_of(&self, zone: &ZoneName) -> Option<&RegionName> {
        self.regions
            .iter()
            .find(|region| region.zones.contains(zone))
            .map(|region| &region.name)
    }
}

impl FleetService {
    /// The number of servers of each instance at the given size, at least one.
    pub fn servers_at(&self, size: &FleetSize) -> u32 {
        let scaled = u64::from(self.servers_per_instance) * u64::from(size.servers_per_mille);
        u32::try_from(scaled.div_ceil(PER_MILLE))
            .unwrap_or(u32::MAX)
            .max(1)
    }

    /// The id of a server; instances and servers are numbered from 1.
    pub fn server_id(&self, instance: u32, server: u32) -> BackendId {
        BackendId(format!("{}-{instance}-{server}", self.id_prefix))
    }

    /// A partition map of `shards` shards, each assigned to one server of every instance.
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
                id: INITIAL_SNAPSHOT,
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
