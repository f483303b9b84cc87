//! Validation of a configuration reports every way in which it does not match its schema.

mod support;

use sablehaven_schema::{check_document, check_replacement};
use sablehaven_types::{
    BackendId, Configuration, IndexSnapshot, RoutingSettings, SchemaSource, ServiceConfiguration,
    ServiceName, ShardAssignment, ShardId, SnapshotId,
};
use support::{SHOP, shop};

fn assignment(shard: u32, replicas: &[&str]) -> ShardAssignment {
    ShardAssignment {
        shard: ShardId(shard),
        replicas: replicas.iter().copied().map(BackendId::from).collect(),
    }
}

fn service(shards: Vec<ShardAssignment>) -> ServiceConfiguration {
    ServiceConfiguration {
        snapshot: IndexSnapshot {
            id: SnapshotId {
                generation: 1,
                partition_map: 1,
            },
            shards,
        },
        routing: RoutingSettings::default(),
    }
}

fn valid_service() -> ServiceConfiguration {
    service(vec![assignment(0, &["a", "b"]), assignment(1, &["b", "c"])])
}

fn document(name: &str, service: ServiceConfiguration) -> Configuration {
    Configuration {
        version: 0,
        schema: SchemaSource {
            file_name: "shop.proto".to_owned(),
            text: SHOP.to_owned(),
        },
        services: [(ServiceName::from(name), service)].into(),
    }
}

#[test]
fn a_valid_configuration_has_no_problems() {
    assert_eq!(
        check_document(&document("shop.Shop", valid_service())),
        [""; 0]
    );
    let mut no_services = document("shop.Shop", valid_service());
    no_services.services.clear();
    assert_eq!(check_document(&no_services), [""; 0]);
}

#[test]
fn a_schema_that_does_not_compile_is_reported_with_its_position() {
    let mut document = document("shop.Shop", valid_service());
    document.schema.text = "syntax = \"proto3\"\n".to_owned();
    let problems = check_document(&document);
    assert_eq!(problems.len(), 1);
    assert!(problems[0].starts_with("shop.proto:"), "{problems:?}");
}

#[test]
fn each_problem_is_reported() {
    let two_replicas = ["a", "b"];
    let mut no_generation = valid_service();
    no_generation.snapshot.id.generation = 0;
    let five_shards = (0..5)
        .map(|shard| assignment(shard, &two_replicas))
        .collect();
    let cases = [
        (service(vec![]), "has no shards"),
        (service(five_shards), "has 5 shards, the schema allows 4"),
        (
            service(vec![assignment(1, &two_replicas)]),
            "lists shard 1 where shard 0 belongs",
        ),
        (
            service(vec![
                assignment(0, &two_replicas),
                assignment(0, &two_replicas),
            ]),
            "lists shard 0 where shard 1 belongs",
        ),
        (
            service(vec![assignment(0, &["a"])]),
            "shard 0 has 1 replicas, the schema needs 2",
        ),
        (
            service(vec![assignment(0, &["a", "a", "b"])]),
            "shard 0 names a replica twice",
        ),
        (
            service(vec![assignment(0, &["a", ""])]),
            "a replica without a name",
        ),
        (no_generation, "snapshot 0.1 has a 0"),
    ];
    for (service, expected) in cases {
        let problems = check_document(&document("shop.Shop", service));
        assert_eq!(problems.len(), 1, "{expected}: {problems:?}");
        assert!(problems[0].contains(expected), "{expected}: {problems:?}");
    }
    let problems = check_document(&document("shop.Missing", valid_service()));
    assert_eq!(problems, ["service 'shop.Missing' is not in the schema"]);
}

#[test]
fn every_routing_setting_out_of_range_is_reported() {
    let mut service = valid_service();
    service.routing = RoutingSettings {
        connections_per_server: 0,
        slots_per_server: 0,
        extra_load_per_mille: 1_001,
        hedge_quantile_per_mille: 1_000,
        slow_start_ms: 0,
        suspicion_limit_per_mille: 1_001,
    };
    let problems = shop().check_service(&"shop.Shop".into(), &service);
    assert_eq!(problems.len(), 5, "{problems:?}");
    assert!(problems[0].contains("routing.connections_per_server is 0, allowed is 1 to"));
}

#[test]
fn a_replacement_must_not_break_a_service_that_remains_configured() {
    let initial = Configuration::default();
    let old = document("shop.Shop", valid_service());
    assert_eq!(check_replacement(&initial, &old), [""; 0]);
    let mut new = old.clone();
    assert_eq!(check_replacement(&old, &new), [""; 0]);
    new.schema.text = SHOP.replace("lookup: { key: \"text\" }", "once: { key: \"text\" }");
    let problems = check_replacement(&old, &new);
    assert_eq!(
        problems,
        ["method /shop.Shop/GetByText: was a lookup, is a once"]
    );
    new.services.clear();
    assert_eq!(check_replacement(&old, &new), [""; 0]);
    new.schema.text.clear();
    assert!(!check_replacement(&old, &new).is_empty());
}
