//! Stateless distribution of committed state from control to agents.
//!
//! A relay holds the newest committed state once for all of its agents and watches one control
//! replica, the leader where there is one. It passes on:
//!
//! - downwards: updates by interest, leases (one proof for all agents), hints, ledger replies;
//! - upwards, in batches: agents' statuses, observations of back ends, ledger calls.
//!
//! The decisions are pure state machines with the time passed in: [`RelayState`], [`Distribution`],
//! [`AgentDirectory`], [`LedgerRouter`], [`HintBoard`], [`ObservationQueue`] and [`ControlChoice`].

mod agent;
mod config;
mod control;
mod handle;
mod hub;
mod metrics;
mod server;
mod state;

pub use agent::{
    directory::{AgentDirectory, SessionId},
    hints::HintBoard,
};
pub use config::Config;
pub use control::{
    choice::{ControlChoice, LinkEnd},
    ledger::{AgentReply, LedgerLimits, LedgerRouter, Refused},
    observations::ObservationQueue,
};
pub use handle::{Handle, StartError, start};
pub use metrics::RelayMetrics;
pub use state::{
    RelayState,
    distribution::{Distribution, Frame},
    interest::Interest,
};
