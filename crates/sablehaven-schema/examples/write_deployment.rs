//! Writes `deployments/<name>/configuration.json` from the deployment's schema and fleet file.
//!
//! Usage: `cargo run -p sablehaven-schema --example write_deployment [-- --check]`. With `--check`,
//! the program writes nothing and fails if a file is out of date.

use std::{
    fs,
    path::{Path, PathBuf},
    process::ExitCode,
};

use sablehaven_schema::{DeploymentSchema, fleet_file::FleetFile};

const DEPLOYMENTS: [&str; 2] = ["trinacria", "tareas"];

type BoxError = Box<dyn std::error::Error>;

fn main() -> ExitCode {
    let check_only = std::env::args().any(|argument| argument == "--check");
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../deployments");
    for deployment in DEPLOYMENTS {
        if let Err(error) = write_deployment(&folder.join(deployment), check_only) {
            eprintln!("{deployment}: {error}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

fn write_deployment(folder: &Path, check_only: bool) -> Result<(), BoxError> {
    let text = configuration_text(folder)?;
    let path = folder.join("configuration.json");
    if !check_only {
        return Ok(fs::write(path, text)?);
    }
    if fs::read_to_string(&path)? == text {
        return Ok(());
    }
    Err(format!("{} is out of date", path.display()).into())
}

fn configuration_text(folder: &Path) -> Result<String, BoxError> {
    let schema_text = fs::read_to_string(folder.join("schema.proto"))?;
    let schema = DeploymentSchema::parse("schema.proto", &schema_text).map_err(join_lines)?;
    let fleet = FleetFile::parse(&fs::read_to_string(folder.join("fleet.toml"))?)?;
    let errors = fleet.validate("");
    if !errors.is_empty() {
        return Err(join_lines(errors).into());
    }
    let problems = fleet.check_schema(&schema);
    if !problems.is_empty() {
        return Err(join_lines(problems).into());
    }
    let configuration = fleet.configuration(&schema, &fleet.full);
    Ok(serde_json::to_string_pretty(&configuration)? + "\n")
}

fn join_lines<T: ToString>(messages: Vec<T>) -> String {
    let lines: Vec<_> = messages.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
