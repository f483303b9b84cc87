//! Configuration, membership and request ledger state machines and the server that replicates them.
//!
//! Group 0 holds [`shared::SharedState`] (configuration, membership and the control replicas);
//! groups 1 and up hold [`ledger::LedgerState`], keys spread over them by hash. The state machines
//! are pure: a command carries its proposer's time, and applying it gives the same on every replica.

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
pub use leader::{ServerReading, ServerSource, ServerSourceError};
pub use quorum_call::QuorumCallError;
pub use sablehaven_storage::RealDisk;
pub use server::{Environment, Handle, Listeners, Peers, start, start_in};
