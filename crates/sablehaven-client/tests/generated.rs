//! Checks that the committed clients match the ones that are generated from the schemas.

use std::{fs, path::PathBuf};

use sablehaven_schema::{DeploymentSchema, generate_client};

/// Asserts that the committed client of a deployment is current. If it is not,
/// `cargo run -p sablehaven-client --example write_clients` generates the clients again.
fn assert_current(deployment: &str) {
    let crate_folder = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    let schema_path = format!("deployments/{deployment}/schema.proto");
    let text = fs::read_to_string(crate_folder.join("../..").join(&schema_path))
        .expect("the schema is committed");
    let schema = DeploymentSchema::parse(&schema_path, &text).expect("the schema is valid");
    let generated = generate_client(&schema).expect("a client can be generated from the schema");
    let committed = fs::read_to_string(crate_folder.join(format!("src/generated/{deployment}.rs")))
        .expect("the client is committed");
    assert!(
        generated == committed,
        "the client of {deployment} is not current"
    );
}

#[test]
fn client_of_trinacria_is_current() {
    assert_current("trinacria");
}

#[test]
fn client_of_tareas_is_current() {
    assert_current("tareas");
}
