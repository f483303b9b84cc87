//! HTTP/1.1 client and server connections on hyper, with the limits that a gateway needs on both sides.
//!
//! This crate uses hyper's connection types directly instead of salvo and reqwest, which are built on them. A gateway
//! must know for each connection what was sent, whether a response was complete, and when the connection may be closed.
//! `docs/design/house-style.md` explains this choice.

mod activity;
mod budget_metrics;
mod client;
mod client_budget;
mod client_limits;
mod collect;
mod head_limit;
mod held_response;
mod observed_body;
mod observed_stream;
mod send_buffer;
mod server;

pub use client::{ConnectError, OpenConnection, connect};
pub use client_budget::{
    BudgetUse, ClientBudget, ClientConnection, ConnectionSlot, HeldBytes, HeldFor, ListenerShare,
    NoMemoryLeft,
};
pub use client_limits::{ClientLimits, ClientSettings, MachineLimits};
pub use collect::{CollectError, HeldBody, PARSED_FACTOR, collect_body, collect_request};
pub use head_limit::HeadLimit;
pub use observed_body::{BodyObserver, ObservedBody};
pub use observed_stream::{ObservedStream, StreamObserver};
pub use server::{ConnectionLimits, ServerSignals, accept_connections, listen};

/// A body that is held completely in memory.
pub type WholeBody = http_body_util::Full<bytes::Bytes>;
