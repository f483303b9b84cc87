//! What every role's process reports about its settings and its sockets.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// One setting that cannot be used.
#[derive(
    Clone, Debug, PartialEq, Eq, Serialize, Deserialize, displaydoc::Display, thiserror::Error,
)]
#[displaydoc("setting '{key}' is {value}, allowed is {allowed}")]
pub struct SettingError {
    /// The setting's full key, such as `agent.relays`.
    pub key: String,
    /// The value that was given.
    pub value: String,
    /// The values that are allowed.
    pub allowed: String,
}

impl SettingError {
    /// Describes a setting that cannot be used.
    pub fn new(key: &str, value: impl ToString, allowed: &str) -> Self {
        Self {
            key: key.to_owned(),
            value: value.to_string(),
            allowed: allowed.to_owned(),
        }
    }
}

/// The addresses that a process listens on, once it does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoundAddresses {
    /// The HTTP interface (callers, operators, health and metrics).
    pub http: Option<SocketAddr>,
    /// The internal interface (`sablehaven-wire`).
    pub internal: Option<SocketAddr>,
}
