//! Errors of commands and the exit codes that they result in.

use std::{path::PathBuf, process::ExitCode};

use crate::settings::SettingsError;

/// Exit codes of the binary, which are part of its documented interface.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitStatus {
    /// The command succeeded.
    Success = 0,
    /// The command failed. The error message names the operation and the file or peer.
    Failed = 1,
    /// The command line is invalid.
    Usage = 2,
    /// A checked file (settings, schema or change) is invalid, an inspected data folder is damaged,
    /// or control refused a change as invalid.
    Invalid = 3,
    /// The change conflicts with another one: the expected version is not the current one, or
    /// another change of the control replicas is in progress.
    Conflict = 4,
    /// The version was not in force at every agent before the timeout.
    NotInForce = 5,
    /// No leading control replica could be reached. Whether the command took effect is unknown; it
    /// has to be sent again with the same command id.
    Unavailable = 6,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        ExitCode::from(status as u8)
    }
}

/// Errors of commands. Each message names the operation and the file or peer.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum CommandError {
    /// {0}
    Settings(#[from] SettingsError),
    /// failed to read {path}: {source}
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Underlying error.
        source: std::io::Error,
    },
    /// failed to write {path}: {source}
    Write {
        /// Path of the file.
        path: PathBuf,
        /// Underlying error.
        source: std::io::Error,
    },
    /// failed to parse {path}: {reason}
    Parse {
        /// Path of the file.
        path: PathBuf,
        /// Description of the syntax error or invalid value.
        reason: String,
    },
    /// failed to start the runtime: {0}
    Runtime(std::io::Error),
    /// {role}: {reason}
    Role {
        /// Name of the role.
        role: &'static str,
        /// Error of the role, including the operation and the peer.
        reason: String,
    },
    /// failed to inspect {path}: {reason}
    Inspect {
        /// Path of the data folder.
        path: PathBuf,
        /// Error of the inspection.
        reason: String,
    },
    /// {operation} at {peer} failed: {reason}
    Operator {
        /// Path of the request, or description of the operation.
        operation: String,
        /// Address of the control replica.
        peer: String,
        /// Error reported by the peer.
        reason: String,
    },
    /// {operation} failed: no leading control replica could be reached: {reasons}
    Unavailable {
        /// Path of the request, or description of the operation.
        operation: String,
        /// Reply or connection error of each address.
        reasons: String,
    },
    /// failed to write the result to standard output: {0}
    Output(std::io::Error),
    /// failed to encode the result as JSON: {0}
    Encode(serde_json::Error),
}

impl CommandError {
    /// Returns the exit code for this error.
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Settings(_) | Self::Parse { .. } => ExitStatus::Invalid,
            Self::Unavailable { .. } => ExitStatus::Unavailable,
            _ => ExitStatus::Failed,
        }
    }
}
