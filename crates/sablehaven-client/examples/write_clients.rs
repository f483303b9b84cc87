//! Generates `src/generated/<deployment>.rs` from `deployments/<deployment>/schema.proto` for all
//! deployments. `sablehaven schema generate` does the same for a single schema.
//!
//! Usage: `cargo run -p sablehaven-client --example write_clients`.

use std::{fs, path::PathBuf, process::ExitCode};

use sablehaven_schema::{DeploymentSchema, generate_client};

const DEPLOYMENTS: [&str; 2] = ["trinacria", "tareas"];

fn main() -> ExitCode {
    for deployment in DEPLOYMENTS {
        if let Err(error) = write_client(deployment) {
            eprintln!("{deployment}: {error}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}

fn write_client(deployment: &str) -> Result<(), Box<dyn std::error::Error>> {
    let crate_folder = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    let schema_path = format!("deployments/{deployment}/schema.proto");
    let text = fs::read_to_string(crate_folder.join("../..").join(&schema_path))?;
    let schema = DeploymentSchema::parse(&schema_path, &text)
        .map_err(|problems| format!("{problems:#?}"))?;
    let output = crate_folder.join(format!("src/generated/{deployment}.rs"));
    fs::write(output, generate_client(&schema)?)?;
    Ok(())
}
