//! The deployment of an experiment: one service whose only method asks every shard.

use sablehaven_harness::DeploymentPlan;
use sablehaven_schema::{
    DeploymentSchema,
    fleet_file::{FleetFile, FleetRegion, FleetServer, FleetService, FleetSize, NetworkSettings},
};
use sablehaven_standins::backend::Behaviour;
use sablehaven_types::{BackendId, Placement, ServiceName};

use super::file::{Disturbance, Topology};
use crate::world::FleetError;

/// The service of an experiment.
pub(crate) const SERVICE: &str = "experiment.Index";
/// Its method.
pub(crate) const METHOD: &str = "Search";

const SCHEMA: &str = r#"
syntax = "proto3";
package experiment;
import "sablehaven/options.proto";
option (sablehaven.deployment) = { REGIONS };
service Index {
  option (sablehaven.service) = { maximum_shards: 1024 minimum_replicas: 1 };
  rpc Search(SearchRequest) returns (SearchReply) {
    option (sablehaven.method) = { deadline_ms: 500 query: { concatenate: { field: "items" } } };
  }
}
message SearchRequest { string text = 1; }
message SearchReply { repeated Item items = 1; }
message Item { string name = 1; uint32 quantity = 2; }
"#;

/// The place of a region, counted from 0; each has one zone.
pub(crate) fn place(region: u32) -> Placement {
    let number = region + 1;
    Placement {
        region: format!("region-{number}").into(),
        zone: format!("region-{number}-a").into(),
    }
}

/// The schema of an experiment over this many regions.
pub(crate) fn schema(regions: u32) -> Result<DeploymentSchema, FleetError> {
    let regions = (0..regions).map(place);
    let regions = regions.map(|Placement { region, zone }| {
        format!("regions: {{ name: \"{region}\" zones: [\"{zone}\"] }}")
    });
    let regions: Vec<_> = regions.collect();
    let text = SCHEMA.replace("REGIONS", &regions.join(" "));
    DeploymentSchema::parse("experiment.proto", &text).map_err(|problems| {
        let problems: Vec<_> = problems.iter().map(ToString::to_string).collect();
        FleetError::step("parse the experiments' schema", problems.join("; "))
    })
}

/// The region, counted from 0, in which a back end stands.
pub(super) fn region_of(backend: &BackendId, regions: u32) -> Option<u32> {
    let instance = backend.as_str().strip_prefix("index-")?.split('-').next()?;
    let instance: u32 = instance.parse().ok()?;
    Some((instance - 1) % regions)
}

/// The fleet of a topology.
fn fleet(topology: &Topology) -> FleetFile {
    let size = FleetSize {
        servers_per_mille: 1_000,
        control_replicas: 1,
        relays_per_region: 1,
        agents_per_region: 1,
    };
    FleetFile {
        deployment: "experiment".to_owned(),
        regions: (0..topology.regions)
            .map(place)
            .map(|Placement { region, zone }| FleetRegion {
                name: region,
                zones: vec![zone],
            })
            .collect(),
        network: NetworkSettings {
            between_zones_ms: 0,
            between_regions_ms: 0,
            to_clients_ms: 0,
            connection_cost_ms: 1,
        },
        full: size,
        demo: size,
        services: vec![FleetService {
            name: ServiceName::from(SERVICE),
            id_prefix: "index".to_owned(),
            instance_zones: (0..topology.instances)
                .map(|instance| place(instance % topology.regions).zone)
                .collect(),
            servers_per_instance: topology.servers_per_instance,
            shards: topology.shards,
            slots_per_server: topology.slots,
            connections_per_server: topology.connections,
            queue_per_server: topology.queue,
            service_time_us: topology.service_time_us,
            cold_start_ms: 0,
            cold_slowdown: 1,
        }],
    }
}

/// The plan of a scenario's deployment: one agent of the product beside the callers.
pub(crate) fn plan(topology: &Topology, schema: &DeploymentSchema, seed: u64) -> DeploymentPlan {
    let fleet = fleet(topology);
    DeploymentPlan {
        schema: schema.clone(),
        size: fleet.full,
        fleet,
        seed,
        platform_lag_ms: 0,
        settings: Default::default(),
        hollow_backends: 0,
    }
}

/// What happens to one back end.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Disturbed {
    /// It behaves otherwise.
    Behaves(BackendId, Behaviour),
    /// It is lost.
    Lost(BackendId),
}

/// What happens to each back end.
///
/// A server holds the same shards in every instance, so hitting one instance at each server position
/// hits one replica of each shard; positions take instances in turn.
pub(crate) fn disturbed(
    servers: &[FleetServer],
    topology: &Topology,
    disturbance: &Disturbance,
) -> Vec<Disturbed> {
    let per_instance = topology.servers_per_instance as usize;
    let instances = topology.instances as usize;
    let stuck = disturbance.stuck_replicas as usize;
    let lost = stuck + disturbance.lost_replicas as usize;
    let shedding = disturbance.shedding_servers_per_mille as usize;
    let disturb = |(place, server): (usize, &FleetServer)| {
        let (instance, position) = (place / per_instance, place % per_instance);
        let turn = (instance + instances - position % instances) % instances;
        if (stuck..lost).contains(&turn) {
            return Disturbed::Lost(server.id.clone());
        }
        // Spread evenly: the share rises by one server each time the product passes a whole.
        let sheds = (place + 1) * shedding / 1_000 > place * shedding / 1_000;
        let behaviour = Behaviour {
            stuck: turn < stuck,
            shed_per_mille: if sheds { disturbance.shed_per_mille } else { 0 },
            straggler_per_mille: disturbance.slow_per_mille,
            straggler_factor: disturbance.slow_factor,
            ..Behaviour::default()
        };
        Disturbed::Behaves(server.id.clone(), behaviour)
    };
    servers.iter().enumerate().map(disturb).collect()
}

/// The plan of a capacity measurement: one small service, three control replicas, one relay, one
/// agent, and this many hollow back ends on the platform's list besides the service's own.
pub(crate) fn capacity_plan(hollow_backends: u32) -> Result<DeploymentPlan, FleetError> {
    const TOPOLOGY: Topology = Topology {
        shards: 4,
        instances: 2,
        regions: 1,
        servers_per_instance: 2,
        slots: 3,
        queue: 16,
        connections: 65,
        service_time_us: 3_000,
    };
    let schema = schema(TOPOLOGY.regions)?;
    let mut plan = plan(&TOPOLOGY, &schema, 1);
    plan.size.control_replicas = 3;
    plan.hollow_backends = hollow_backends;
    Ok(plan)
}
