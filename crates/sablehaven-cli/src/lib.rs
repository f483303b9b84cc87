//! The command line of Sablehaven, with subcommands that run the roles, check settings and schemas,
//! inspect data folders and logs, and perform operator actions.
//!
//! All code is in this library rather than in `main`, so that test programs run roles with the same
//! code as the binary.

mod arguments;
mod data_command;
mod error;
pub mod explain;
mod explain_command;
mod operator;
mod output;
mod role_command;
mod schema_command;
mod settings;
mod settings_command;

pub use arguments::command;
pub use error::{CommandError, ExitStatus};
pub use operator::OperatorClient;
pub use settings::{RoleName, Settings, SettingsError};

use std::{ffi::OsString, process::ExitCode};

use clap::ArgMatches;

/// Runs the command line and returns the exit code of the process (see [`ExitStatus`]).
///
/// Results are written to standard output and errors to standard error.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let matches = match command().try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(error) => {
            // A failure to write to the terminal cannot be reported anywhere.
            let _ = error.print();
            return if error.use_stderr() {
                ExitStatus::Usage.into()
            } else {
                ExitStatus::Success.into()
            };
        }
    };
    match dispatch(&matches) {
        Ok(status) => status.into(),
        Err(error) => {
            eprintln!("sablehaven: {error}");
            error.exit_status().into()
        }
    }
}

fn dispatch(matches: &ArgMatches) -> Result<ExitStatus, CommandError> {
    match matches.subcommand() {
        Some(("control", matches)) => role_command::run(RoleName::Control, matches),
        Some(("relay", matches)) => role_command::run(RoleName::Relay, matches),
        Some(("agent", matches)) => role_command::run(RoleName::Agent, matches),
        Some(("gateway", matches)) => role_command::run(RoleName::Gateway, matches),
        Some(("settings", matches)) => settings_command::run(matches),
        Some(("schema", matches)) => schema_command::run(matches),
        Some(("data", matches)) => data_command::run(matches),
        Some(("operator", matches)) => operator::run(matches),
        Some(("explain", matches)) => explain_command::run(matches),
        _ => unreachable!("clap requires a subcommand"),
    }
}
