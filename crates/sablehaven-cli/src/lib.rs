//! The command line of Sablehaven: one subcommand a role, checks of settings and schemas, and every
//! operator action.
//!
//! The binary is a thin `main`; everything is here so that test programs can run a role with the
//! same code.

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

/// Runs the command line and returns the process's exit code (see [`ExitStatus`]).
///
/// Errors go to standard error, results to standard output.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let matches = match command().try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(error) => {
            // Nothing can be done when the terminal is gone.
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
