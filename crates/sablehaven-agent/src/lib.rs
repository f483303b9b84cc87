//! The process beside each caller: caller interface, query plan, fan-out, merge and coverage, and
//! requests that may not be repeated.
//!
//! Decisions stand apart from sockets: what a sub-request does next ([`query::SubRequest`]), whether
//! a reply belongs to its attempt ([`transport::check_reply_head`]), what an answer covers
//! ([`query::split`]) and what becomes of a request that may not be repeated
//! ([`once::after_claim`], [`once::DispatchCheck`], [`once::after_dispatch`]) are pure functions.

mod agent;
mod answer;
mod config;
mod interface;
mod metrics;
pub mod once;
mod plan;
pub mod query;
mod reason;
mod role;
pub mod routing;
pub mod transport;
mod updates;

pub use config::{Config, Limits, Timing};
pub use reason::Reason;
pub use role::{Handle, StartError, start, start_with_policies};
