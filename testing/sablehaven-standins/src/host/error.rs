//! Errors of a host process.

use std::{net::SocketAddr, path::PathBuf};

use crate::backend::BackendError;

/// Errors of reading a host file and of serving what it describes.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum HostError {
    /// read host file {path}: {source}
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// decode host file {path}: {source}
    Decode {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: serde_json::Error,
    },
    /// load schema: {0}
    Schema(String),
    /// start back end: {0}
    Backend(#[from] BackendError),
    /// start baseline agent: {0}
    Baseline(String),
    /// bind {interface} to {address}: {reason}
    Bind {
        /// The interface.
        interface: &'static str,
        /// The address.
        address: SocketAddr,
        /// The cause.
        reason: String,
    },
    /// run host process, {step}: {source}
    Process {
        /// The step.
        step: &'static str,
        /// The cause.
        source: std::io::Error,
    },
}
