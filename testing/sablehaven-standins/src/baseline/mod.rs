//! A plain agent to compare with: the same fan-out, a random replica of each shard, no hedging, no
//! retries, no ledger and no admission.
//!
//! It answers callers as the product's agent does, so that one load can be sent to either.

mod agent;
mod fan_out;

pub use agent::{BaselineAgent, BaselineSettings};
