//! Connections to back ends: HTTP/2 with prior knowledge, one connection a back end.

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
    /// The IP number from which connections are made; where it is absent the system chooses.
    pub connect_from: Option<IpAddr>,
    /// Time that opening a connection may take.
    pub connect_timeout: Duration,
    /// Interval of HTTP/2 pings, and the time within which one must be answered.
    pub ping_interval: Duration,
    /// The largest reply body, in bytes.
    pub max_reply_body_bytes: usize,
}

/// Errors of an attempt; each names the step and the back end's address.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum TransportError {
    /// prepare the connection to back end {address}: {source}
    Build {
        /// The back end.
        address: SocketAddr,
        /// The cause.
        source: reqwest::Error,
    },
    /// address the request to back end {address}: path '{path}' cannot be part of a URL
    Path {
        /// The back end.
        address: SocketAddr,
        /// The method's path.
        path: String,
    },
    /// connect to back end {address}: {source}
    Connect {
        /// The back end.
        address: SocketAddr,
        /// The cause.
        source: reqwest::Error,
    },
    /// exchange with back end {address}: {source}
    Exchange {
        /// The back end.
        address: SocketAddr,
        /// The cause.
        source: reqwest::Error,
    },
    /// reply of back end {address}: status {status} without a refusal word
    Status {
        /// The back end.
        address: SocketAddr,
        /// The HTTP status.
        status: u16,
    },
}
