//! Errors of the harness; each names the step and the process, file or peer.

use std::path::PathBuf;

/// Errors of starting and driving a deployment.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum HarnessError {
    /// {step} process {process}: {source}
    Process {
        /// What was tried.
        step: &'static str,
        /// The process, by its name in the deployment.
        process: String,
        /// The cause.
        source: std::io::Error,
    },
    /// start process {process}: it ended or printed no addresses; its standard error: {errors}
    NotStarted {
        /// The process, by its name in the deployment.
        process: String,
        /// What it wrote to standard error.
        errors: String,
    },
    /// {step} {path}: {reason}
    File {
        /// What was tried.
        step: &'static str,
        /// The file.
        path: PathBuf,
        /// What does not fit.
        reason: String,
    },
    /// start proxy: {0}
    Proxy(#[from] sablehaven_faults::ProxyError),
    /// operator: {0}
    Operator(#[from] sablehaven_cli::CommandError),
    /// {step} at {peer}: {reason}
    Peer {
        /// What was asked for.
        step: String,
        /// Who was asked.
        peer: String,
        /// What came back.
        reason: String,
    },
    /// wait until {what}: not so in time; last seen: {last}
    Wait {
        /// What was waited for.
        what: String,
        /// What was seen last.
        last: String,
    },
    /// apply the first configuration: {0}
    FirstConfiguration(String),
}
