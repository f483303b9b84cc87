//! What every role's process reports about its sockets.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// The addresses that a process listens on, once it does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoundAddresses {
    /// The HTTP interface (callers, operators, health and metrics).
    pub http: Option<SocketAddr>,
    /// The internal interface (`sablehaven-wire`).
    pub internal: Option<SocketAddr>,
}
