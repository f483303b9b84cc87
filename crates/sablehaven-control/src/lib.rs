//! Configuration, membership and request ledger state machines and the server that replicates them.
//!
//! Group 0 holds [`shared::SharedState`] (configuration, membership and the control replicas);
//! groups 1 and up hold [`ledger::LedgerState`], keys spread over them by hash. The state machines
//! are pure: a command carries its proposer's time, and applying it gives the same on every replica.

pub mod codec;
pub mod configuration;
pub mod ledger;
pub mod membership;
pub mod replicas;
pub mod shared;
