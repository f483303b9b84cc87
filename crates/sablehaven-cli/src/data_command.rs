//! `sablehaven data`: looks into a control replica's data folder without changing it.

use std::path::PathBuf;

use clap::ArgMatches;

use crate::error::{CommandError, ExitStatus};

pub(crate) fn run(matches: &ArgMatches) -> Result<ExitStatus, CommandError> {
    match matches.subcommand() {
        Some(("inspect", matches)) => inspect(matches),
        _ => unreachable!("clap requires a subcommand"),
    }
}

fn inspect(matches: &ArgMatches) -> Result<ExitStatus, CommandError> {
    let path: &PathBuf = matches.get_one("folder").expect("clap requires the folder");
    let report = sablehaven_storage::inspect(path).map_err(|error| CommandError::Inspect {
        path: path.clone(),
        reason: error.to_string(),
    })?;
    if matches.get_flag("json") {
        let text = serde_json::to_string_pretty(&report).map_err(CommandError::Encode)?;
        println!("{text}");
    } else {
        print!("{report}");
    }
    Ok(ExitStatus::Success)
}
