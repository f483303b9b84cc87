//! The listen addresses that the process of every role reports.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// The addresses on which a process listens. A field is `None` if the role has no such interface.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoundAddresses {
    /// The HTTP interface, for callers, operators, health checks and metrics.
    pub http: Option<SocketAddr>,
    /// The interface for other Sablehaven processes (`sablehaven-wire`).
    pub internal: Option<SocketAddr>,
}
