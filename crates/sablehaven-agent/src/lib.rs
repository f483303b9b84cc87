//! The agent, a process that runs next to each caller and sends the caller's requests to back ends.
//!
//! Queries are fanned out to all shards; the replies are merged, and the answer states which shards
//! it covers. Lookups and at-most-once requests go to a single shard.
//!
//! The decision logic performs no I/O, so that it can be tested without sockets: the next step of a
//! sub-request ([`query::SubRequest`]), whether a reply belongs to its attempt
//! ([`transport::check_reply_head`]), the coverage of an answer ([`query::split_results`]), and the steps of
//! an at-most-once request ([`once::after_claim`], [`once::DispatchCheck`],
//! [`once::after_dispatch`]).

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
