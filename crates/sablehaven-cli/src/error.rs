//! Errors of commands and the exit codes they lead to.

use std::{path::PathBuf, process::ExitCode};

use crate::settings::SettingsError;

/// The exit codes of the binary; the operators' pages list them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitStatus {
    /// Done.
    Success = 0,
    /// The command failed: its error says at which step and where.
    Failed = 1,
    /// The command line does not fit.
    Usage = 2,
    /// A file that was checked (settings, schema, change) is not valid.
    Invalid = 3,
    /// Another operator's command took the version first.
    Conflict = 4,
    /// A version is not in force everywhere in time.
    NotInForce = 5,
    /// No control replica that leads could be reached; whether the command took effect is not
    /// known: send it again with the same command id.
    Unavailable = 6,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        ExitCode::from(status as u8)
    }
}

/// Errors of commands; each names the step and the file or peer.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum CommandError {
    /// {0}
    Settings(#[from] SettingsError),
    /// read {path}: {source}
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// write {path}: {source}
    Write {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// parse {path}: {reason}
    Parse {
        /// The file.
        path: PathBuf,
        /// What does not fit.
        reason: String,
    },
    /// start runtime: {0}
    Runtime(std::io::Error),
    /// {role}: {reason}
    Role {
        /// The role.
        role: &'static str,
        /// The role's own error, with its step and peer.
        reason: String,
    },
    /// inspect {path}: {reason}
    Inspect {
        /// The data folder.
        path: PathBuf,
        /// What was found.
        reason: String,
    },
    /// {step} at {peer}: {reason}
    Operator {
        /// What was asked for.
        step: String,
        /// The control replica.
        peer: String,
        /// Its answer.
        reason: String,
    },
    /// {step}: no control replica that leads could be reached: {reasons}
    Unavailable {
        /// What was asked for.
        step: String,
        /// What each address answered.
        reasons: String,
    },
    /// write the result to standard output: {0}
    Output(std::io::Error),
    /// encode the result: {0}
    Encode(serde_json::Error),
}

impl CommandError {
    /// The exit code that the error leads to.
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::Settings(_) | Self::Parse { .. } => ExitStatus::Invalid,
            Self::Unavailable { .. } => ExitStatus::Unavailable,
            _ => ExitStatus::Failed,
        }
    }
}
