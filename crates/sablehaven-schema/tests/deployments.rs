//! The committed deployments.

use std::{fs, path::PathBuf};

use sablehaven_schema::{DeploymentSchema, MethodKind};

fn deployment_schema(deployment: &str) -> DeploymentSchema {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../deployments")
        .join(deployment)
        .join("schema.proto");
    let text = fs::read_to_string(&path).expect("the schema is committed");
    DeploymentSchema::parse("schema.proto", &text).unwrap_or_else(|problems| {
        let lines: Vec<_> = problems.iter().map(ToString::to_string).collect();
        panic!("{deployment}: {}", lines.join("\n"))
    })
}

fn service_names(schema: &DeploymentSchema) -> Vec<&str> {
    schema
        .services()
        .map(|service| service.name.as_str())
        .collect()
}

#[test]
fn trinacria_has_the_services_and_regions_of_the_food_bank() {
    let schema = deployment_schema("trinacria");
    let services = [
        "trinacria.DonorRecords",
        "trinacria.OrderingPortal",
        "trinacria.RoutePlanner",
        "trinacria.VolunteerApp",
    ];
    assert_eq!(service_names(&schema), services);
    let regions: Vec<_> = schema.regions().iter().map(|r| r.name.as_str()).collect();
    assert_eq!(regions, ["palermo", "catania", "agrigento"]);
}

#[test]
fn tareas_has_the_services_and_regions_of_the_homework_platform() {
    let schema = deployment_schema("tareas");
    let services = [
        "tareas.Calendar",
        "tareas.ExerciseBank",
        "tareas.GradeBook",
        "tareas.Messaging",
    ];
    assert_eq!(service_names(&schema), services);
    let regions: Vec<_> = schema.regions().iter().map(|r| r.name.as_str()).collect();
    assert_eq!(regions, ["montevideo", "litoral", "noreste"]);
}

#[test]
fn methods_are_found_by_service_and_by_path() {
    let schema = deployment_schema("trinacria");
    let method = schema
        .method_at("/trinacria.OrderingPortal/ReservePallet")
        .expect("the path is of a method");
    assert!(matches!(&method.kind, MethodKind::Once { key } if key.name() == "depot_id"));
    assert_eq!(method.deadline_ms, 2_000);
    let search = schema
        .method(&"trinacria.OrderingPortal".into(), "SearchStock")
        .expect("the method exists");
    assert!(matches!(&search.kind, MethodKind::Query { merge } if merge.rules.len() == 3));
    assert!(
        schema
            .method_at("/trinacria.OrderingPortal/Missing")
            .is_none()
    );
    assert!(
        schema
            .method_at("trinacria.OrderingPortal/SearchStock")
            .is_none()
    );
}
