//! HTTP/1.1 connections on hyper with the bounds that a gateway needs on both sides.
//!
//! hyper's own connection types are used, not salvo and reqwest which stand on them: a gateway must
//! know of each connection what was sent, whether an answer ended as it must, and when it may be
//! closed. `docs/design/house-style.md` has the reasons.

mod client;
mod observed_body;
mod server;
mod watched_stream;

pub use client::{ConnectError, OpenConnection, connect};
pub use observed_body::{BodyObserver, ObservedBody};
pub use server::{ConnectionLimits, ServerSignals, accept_connections, listen, serve_connection};

/// A body that is whole in memory.
pub type WholeBody = http_body_util::Full<bytes::Bytes>;
