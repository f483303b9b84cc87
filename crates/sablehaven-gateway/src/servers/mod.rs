//! The servers of every service: connection pools, health, server choice and retry budgets.

mod attempt;
pub(crate) mod budget;
pub(crate) mod choice;
mod cold_turns;
mod connection_pool;
mod connection_share;
pub(crate) mod failure_rate;
mod health;
mod registry;
mod server;
mod service_pool;
mod zone_map;

pub(crate) use attempt::{Attempt, AttemptFailure, OutgoingRequest, ServerReply};
pub(crate) use health::RouteId;
pub(crate) use registry::Registry;
pub(crate) use server::Server;
pub(crate) use service_pool::ServicePool;
