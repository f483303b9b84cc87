//! The `sablehaven schema` command, which checks a schema and generates its typed clients.

use std::path::PathBuf;

use clap::ArgMatches;
use sablehaven_schema::DeploymentSchema;

use crate::error::{CommandError, ExitStatus};

pub(crate) fn run(matches: &ArgMatches) -> Result<ExitStatus, CommandError> {
    match matches.subcommand() {
        Some(("check", matches)) => check(matches),
        Some(("generate", matches)) => generate(matches),
        _ => unreachable!("clap requires a subcommand"),
    }
}

fn check(matches: &ArgMatches) -> Result<ExitStatus, CommandError> {
    let path: &PathBuf = matches.get_one("file").expect("clap requires the file");
    let Some(schema) = load(path)? else {
        return Ok(ExitStatus::Invalid);
    };
    let methods: usize = schema.services().map(|service| service.methods.len()).sum();
    println!(
        "{}: valid, {} services with {methods} methods",
        path.display(),
        schema.services().count()
    );
    Ok(ExitStatus::Success)
}

fn generate(matches: &ArgMatches) -> Result<ExitStatus, CommandError> {
    let path: &PathBuf = matches.get_one("file").expect("clap requires the file");
    let Some(schema) = load(path)? else {
        return Ok(ExitStatus::Invalid);
    };
    let source =
        sablehaven_schema::generate_client(&schema).map_err(|error| CommandError::Parse {
            path: path.clone(),
            reason: error.to_string(),
        })?;
    match matches.get_one::<PathBuf>("output") {
        Some(output) => std::fs::write(output, source).map_err(|source| CommandError::Write {
            path: output.clone(),
            source,
        })?,
        None => print!("{source}"),
    }
    Ok(ExitStatus::Success)
}

/// Reads and parses a schema. If it is invalid, writes every problem to standard error and returns
/// `None`.
fn load(path: &PathBuf) -> Result<Option<DeploymentSchema>, CommandError> {
    let text = std::fs::read_to_string(path).map_err(|source| CommandError::Read {
        path: path.clone(),
        source,
    })?;
    match DeploymentSchema::parse(&path.display().to_string(), &text) {
        Ok(schema) => Ok(Some(schema)),
        Err(problems) => {
            for problem in problems {
                eprintln!("{problem}");
            }
            Ok(None)
        }
    }
}
