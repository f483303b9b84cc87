//! The connections of relays, which carry updates of the shared state, proofs of leadership, ledger calls and reports,
//! and a registry of the connected relays and their agents.

mod registry;
mod session;

pub(crate) use registry::{AgentReport, Registry, SessionId};
pub(crate) use session::serve_relay;
