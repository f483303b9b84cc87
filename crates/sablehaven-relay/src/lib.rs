//! Distributes committed state from control to agents. A relay has no persistent state.
//!
//! A relay holds the latest committed state once for all of its agents and watches one control
//! replica, the leader if there is one. It forwards:
//!
//! - to the agents: updates for the services of their interest, leases (one proof serves all
//!   agents), hints, ledger replies;
//! - to control, in batches: agent statuses, observations of back ends, ledger calls.
//!
//! The decisions are made by state machines that do no I/O and take the current time as an
//! argument: [`RelayState`], [`Distribution`], [`AgentDirectory`], [`LedgerBatcher`], [`HintCache`],
//! [`ObservationQueue`] and [`ReplicaSelector`].

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
    hints::HintCache,
};
pub use config::Config;
pub use control::{
    ledger::{FinishedCall, LedgerBatcher, LedgerLimits, TooManyCalls},
    observations::ObservationQueue,
    replica_selector::{LinkEnd, ReplicaSelector},
};
pub use handle::{Handle, StartError, start};
pub use metrics::RelayMetrics;
pub use state::{
    RelayState,
    distribution::{Distribution, EncodedUpdate},
    interest::Interest,
};
