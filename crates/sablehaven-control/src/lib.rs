//! The control replica: deterministic state machines, and the server that replicates them by consensus.
//!
//! Consensus group 0 replicates [`shared::SharedState`]: the configuration, the back ends, the control replicas, the routes
//! and the evacuated zones. Groups 1 and up replicate [`ledger::LedgerState`], the ledger of requests, whose keys are
//! distributed over these groups by hash. The state machines do no I/O and read no clock: a command carries its
//! proposer's time, so applying it has the same result on every replica.

mod clock;
pub mod codec;
mod config;
pub mod configuration;
mod driver;
mod error;
pub mod evacuation;
mod gateways;
mod leader;
pub mod ledger;
pub mod membership;
mod metrics;
pub mod operator;
mod peers;
mod quorum_call;
mod quotas;
mod relays;
mod repair;
pub mod replicas;
pub mod routes;
mod server;
pub mod shared;

pub use config::{Config, PlatformConfig};
pub use error::StartError;
pub use leader::{ListReading, RejectedEntry, ServerListFuture, ServerSource, ServerSourceError};
pub use quorum_call::QuorumCallError;
pub use sablehaven_http::ClientBudget;
pub use sablehaven_storage::RealDisk;
pub use server::{CLIENT_LISTENERS, Environment, Handle, Listeners, Peers, start, start_in};
