//! The file that describes the back ends of one process.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
};

use sablehaven_types::SchemaSource;
use serde::{Deserialize, Serialize};

use crate::{backend::BackendSettings, platform::PlatformSettings};

/// Errors of reading a host file; each names the file.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum HostFileError {
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
}

/// The back ends of one process; a JSON file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostFile {
    /// The deployment's schema.
    pub schema: SchemaSource,
    /// IP number and port of the administration interface; port 0 takes one from the system.
    pub admin_listen: SocketAddr,
    /// Seeds every random choice of the process.
    #[serde(default)]
    pub seed: u64,
    /// The platform's list, where this process serves it.
    #[serde(default)]
    pub platform: Option<PlatformSettings>,
    /// The back ends.
    pub backends: Vec<BackendSettings>,
}

impl HostFile {
    /// Reads a host file.
    pub fn read(path: &Path) -> Result<Self, HostFileError> {
        let text = std::fs::read_to_string(path).map_err(|source| HostFileError::Read {
            path: path.to_owned(),
            source,
        })?;
        serde_json::from_str(&text).map_err(|source| HostFileError::Decode {
            path: path.to_owned(),
            source,
        })
    }
}
