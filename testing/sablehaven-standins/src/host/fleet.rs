//! The host file that follows from a deployment's fleet file.

use sablehaven_schema::{
    DeploymentSchema,
    fleet_file::{FleetFile, FleetServer, FleetService, FleetSize},
};
use sablehaven_types::SnapshotId;

use super::HostFile;
use crate::{
    backend::{BackendSettings, HeldSnapshot, ServiceTime},
    platform::PlatformSettings,
};

/// The snapshot with which a deployment starts.
const FIRST_SNAPSHOT: SnapshotId = SnapshotId {
    generation: 1,
    partition_map: 1,
};

impl HostFile {
    /// Every back end of a deployment at a size, with the platform's list, on ports from the system.
    pub fn of_fleet(
        fleet: &FleetFile,
        size: &FleetSize,
        schema: &DeploymentSchema,
        platform_lag_ms: u64,
        seed: u64,
    ) -> Self {
        let servers = fleet.servers(size);
        let backends = servers.iter().filter_map(|server| {
            let service = fleet
                .services
                .iter()
                .find(|service| service.name == server.service)?;
            Some(backend(fleet, service, server))
        });
        let any_port = ([127, 0, 0, 1], 0).into();
        Self {
            schema: schema.source().clone(),
            admin_listen: any_port,
            seed,
            platform: Some(PlatformSettings {
                listen: any_port,
                lag_ms: platform_lag_ms,
                hollow_machines: 0,
            }),
            baseline: None,
            backends: backends.collect(),
        }
    }
}

fn backend(fleet: &FleetFile, service: &FleetService, server: &FleetServer) -> BackendSettings {
    let held = HeldSnapshot {
        snapshot: FIRST_SNAPSHOT,
        shards: server.shards.iter().copied().collect(),
    };
    let id = server.id.clone();
    BackendSettings {
        slots: service.slots_per_server,
        queue_limit: service.queue_per_server,
        connection_limit: service.connections_per_server,
        connection_cost_us: fleet.network.connection_cost_ms * 1_000,
        service_time: ServiceTime {
            median_us: service.service_time_us,
            ..ServiceTime::default()
        },
        cold_start_ms: service.cold_start_ms,
        cold_factor: f64::from(service.cold_slowdown),
        held: vec![held],
        ..BackendSettings::new(id, server.service.clone(), server.placement.clone())
    }
}
