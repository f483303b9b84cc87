//! Connections of relays: updates, proofs of leadership, ledger calls, and what relays report.

mod registry;
mod session;

pub(crate) use registry::{AgentReport, Registry, SessionId};
pub(crate) use session::serve_relay;
