//! The committed deployments have the expected sizes, and their configurations are up to date.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    path::PathBuf,
};

use sablehaven_schema::{
    DeploymentSchema, MethodKind, check_document,
    fleet_file::{FleetFile, FleetSize},
};
use sablehaven_types::{BackendId, Configuration, ShardId};

const DEPLOYMENTS: [&str; 2] = ["trinacria", "tareas"];

struct Deployment {
    schema: DeploymentSchema,
    fleet: FleetFile,
    configuration: Configuration,
}

fn deployment(name: &str) -> Deployment {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../deployments")
        .join(name);
    let read = |file: &str| fs::read_to_string(folder.join(file)).expect("the file is committed");
    let schema = DeploymentSchema::parse("schema.proto", &read("schema.proto"))
        .unwrap_or_else(|problems| panic!("{name}: {problems:#?}"));
    Deployment {
        schema,
        fleet: FleetFile::parse(&read("fleet.toml")).expect("the fleet file parses"),
        configuration: serde_json::from_str(&read("configuration.json"))
            .expect("the configuration parses"),
    }
}

/// For each service: instances, servers per instance, slots and connections per server, and id prefix.
fn sizes(fleet: &FleetFile) -> BTreeMap<&str, (usize, u32, u32, u32, &str)> {
    fleet
        .services
        .iter()
        .map(|service| {
            let size = (
                service.instance_zones.len(),
                service.servers_per_instance,
                service.slots_per_server,
                service.connections_per_server,
                service.id_prefix.as_str(),
            );
            (service.name.as_str(), size)
        })
        .collect()
}

fn region_names(schema: &DeploymentSchema) -> Vec<&str> {
    schema
        .regions()
        .iter()
        .map(|region| region.name.as_str())
        .collect()
}

#[test]
fn trinacria_has_its_current_size() {
    let trinacria = deployment("trinacria");
    let expected = BTreeMap::from([
        ("trinacria.OrderingPortal", (4, 4, 5, 75, "ordering-portal")),
        ("trinacria.VolunteerApp", (6, 4, 5, 75, "volunteer-app")),
        ("trinacria.DonorRecords", (3, 10, 3, 110, "donor-records")),
        ("trinacria.RoutePlanner", (3, 5, 3, 110, "route-planner")),
    ]);
    assert_eq!(sizes(&trinacria.fleet), expected);
    let regions = ["palermo", "catania", "agrigento"];
    assert_eq!(region_names(&trinacria.schema), regions);
    let servers = trinacria.fleet.servers(&trinacria.fleet.full);
    assert_eq!(servers.len(), 16 + 24 + 30 + 15);
}

#[test]
fn tareas_has_its_current_size() {
    let tareas = deployment("tareas");
    let expected = BTreeMap::from([
        ("tareas.ExerciseBank", (4, 4, 5, 65, "exercise-bank")),
        ("tareas.Messaging", (6, 4, 5, 65, "messaging")),
        ("tareas.GradeBook", (4, 5, 4, 100, "grade-book")),
        ("tareas.Calendar", (5, 2, 4, 100, "calendar")),
    ]);
    assert_eq!(sizes(&tareas.fleet), expected);
    let regions = ["montevideo", "litoral", "noreste"];
    assert_eq!(region_names(&tareas.schema), regions);
    let servers = tareas.fleet.servers(&tareas.fleet.full);
    assert_eq!(servers.len(), 16 + 24 + 20 + 10);
}

#[test]
fn networks_have_their_current_latencies() {
    for name in DEPLOYMENTS {
        let network = deployment(name).fleet.network;
        let latencies = (
            network.between_zones_ms,
            network.between_regions_ms,
            network.to_clients_ms,
            network.connection_cost_ms,
        );
        assert_eq!(latencies, (1, 10, 3, 1), "{name}");
    }
}

#[test]
fn fleets_match_their_schemas() {
    for name in DEPLOYMENTS {
        let deployment = deployment(name);
        assert_eq!(deployment.fleet.deployment, name);
        assert_eq!(deployment.fleet.validate(""), [], "{name}");
        let problems = deployment.fleet.check_schema(&deployment.schema);
        assert_eq!(problems, [""; 0], "{name}");
    }
}

/// `cargo run -p sablehaven-schema --example write_deployment` regenerates the files.
#[test]
fn configurations_are_up_to_date() {
    for name in DEPLOYMENTS {
        let deployment = deployment(name);
        let full = &deployment.fleet.full;
        let expected = deployment.fleet.configuration(&deployment.schema, full);
        assert_eq!(deployment.configuration, expected, "{name}");
        assert_eq!(check_document(&deployment.configuration), [""; 0], "{name}");
    }
}

/// Asserts that each server of a fleet of the given size holds exactly the shards that the configuration
/// assigns to it.
fn assert_servers_match_partition_map(deployment: &Deployment, size: &FleetSize) {
    let configuration = deployment.fleet.configuration(&deployment.schema, size);
    let mut assigned: BTreeMap<BackendId, BTreeSet<ShardId>> = BTreeMap::new();
    for service in configuration.services.values() {
        for assignment in &service.snapshot.shards {
            for replica in &assignment.replicas {
                let shards = assigned.entry(replica.clone()).or_default();
                assert!(shards.insert(assignment.shard));
            }
        }
    }
    let servers = deployment.fleet.servers(size);
    let held: BTreeMap<_, _> = servers
        .into_iter()
        .map(|server| (server.id, server.shards.into_iter().collect()))
        .collect();
    assert_eq!(assigned, held);
}

#[test]
fn servers_match_the_partition_map_at_every_size() {
    for name in DEPLOYMENTS {
        let deployment = deployment(name);
        let reduced = FleetSize {
            servers_per_mille: 600,
            ..deployment.fleet.full
        };
        for size in [deployment.fleet.full, deployment.fleet.demo, reduced] {
            assert_servers_match_partition_map(&deployment, &size);
        }
    }
}

#[test]
fn processes_are_spread_over_regions() {
    let fleet = deployment("trinacria").fleet;
    let control = fleet.control_placements(&fleet.full);
    let regions: BTreeSet<_> = control.iter().map(|placement| &placement.region).collect();
    assert_eq!((control.len(), regions.len()), (3, 3));
    assert_eq!(fleet.agent_placements(&fleet.full).len(), 12);
    assert_eq!(fleet.relay_placements(&fleet.demo).len(), 3);
}

#[test]
fn methods_are_found_by_service_and_by_path() {
    let schema = deployment("trinacria").schema;
    let method = schema
        .method_at("/trinacria.OrderingPortal/ReservePallet")
        .expect("the path belongs to a method");
    assert!(matches!(&method.kind, MethodKind::Once { key } if key.name() == "depot_id"));
    assert_eq!(method.deadline_ms, 2_000);
    let search = schema
        .method(&"trinacria.OrderingPortal".into(), "SearchStock")
        .expect("the method exists");
    assert!(matches!(&search.kind, MethodKind::Query { merge } if merge.rules.len() == 3));
    let absent = [
        "/trinacria.OrderingPortal/Missing",
        "trinacria.OrderingPortal/SearchStock",
        "/trinacria.OrderingPortal",
    ];
    for path in absent {
        assert!(schema.method_at(path).is_none(), "{path}");
    }
}
