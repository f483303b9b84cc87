//! Connections to back ends: HTTP/2 with prior knowledge, one connection per back end.

mod client;
mod connections;
mod reply;

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

pub use client::{AttemptEnd, AttemptMessage, AttemptReport, BackendClient};
pub use connections::BackendConnections;
pub use reply::{
    AttemptIdentity, DiscardReason, Refusal, ReplyVerdict, ServerSignals, attempt_headers,
    check_reply_head,
};

/// Settings of the connections to back ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionSettings {
    /// The source IP address of connections. If absent, the operating system chooses one.
    pub connect_from: Option<IpAddr>,
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Interval of HTTP/2 pings, and also the timeout for the answer to a ping.
    pub ping_interval: Duration,
    /// Maximum size of a reply body, in bytes.
    pub max_reply_body_bytes: usize,
}

/// An error of an attempt.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum TransportError {
    /// cannot create the HTTP client for back end {address}: {source}
    Build {
        /// The back end.
        address: SocketAddr,
        /// The cause.
        source: reqwest::Error,
    },
    /// cannot build the URL of the request to back end {address}: invalid path '{path}'
    Path {
        /// The back end.
        address: SocketAddr,
        /// The method's path.
        path: String,
    },
    /// cannot connect to back end {address}: {source}
    Connect {
        /// The back end.
        address: SocketAddr,
        /// The cause.
        source: reqwest::Error,
    },
    /// the connection to back end {address} failed during the request: {source}
    Exchange {
        /// The back end.
        address: SocketAddr,
        /// The cause.
        source: reqwest::Error,
    },
    /// back end {address} replied with status {status} without a valid refusal reason
    Status {
        /// The back end.
        address: SocketAddr,
        /// The HTTP status.
        status: u16,
    },
}
