//! The file that describes the back ends of one process.

use std::{net::SocketAddr, path::Path};

use sablehaven_types::SchemaSource;
use serde::{Deserialize, Serialize};

use super::HostError;
use crate::{backend::BackendSettings, baseline::BaselineSettings, platform::PlatformSettings};

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
    /// A plain agent to compare with, where this process plays one.
    #[serde(default)]
    pub baseline: Option<BaselineSettings>,
    /// The back ends.
    #[serde(default)]
    pub backends: Vec<BackendSettings>,
}

impl HostFile {
    /// Reads a host file.
    pub fn read(path: &Path) -> Result<Self, HostError> {
        let text = std::fs::read_to_string(path).map_err(|source| HostError::Read {
            path: path.to_owned(),
            source,
        })?;
        serde_json::from_str(&text).map_err(|source| HostError::Decode {
            path: path.to_owned(),
            source,
        })
    }
}
