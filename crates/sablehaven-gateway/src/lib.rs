//! The gateway: callers reach it over the network, and it answers from the servers of a service or
//! from one server of every shard.
//!
//! Everything runs on one thread, in a [`tokio::task::LocalSet`]: a gateway's machine gives it a
//! fraction of a core, and state without locks is smaller and simpler.
//!
//! - [`names`]: what headers are called; a deployment may call them otherwise.
//! - `control_link`, `control_links`, `sources`: routes and the list of servers from the control replicas.
//! - `route_table`: which route a request takes.
//! - `tenant_table`, `caller`: whose request it is; `serving_regions`: where it may be served.
//! - `servers`: connections, health and choice of servers; the budget of extra attempts.
//! - `request`: the way of one request.
//! - `crashes`: requests that take their servers down.
//! - `load`: how much there is to do, for the control replicas.
//! - `quotas`: tokens of tenants' quotas, and asking control replicas for them.
//! - `answer_margin`: how long before its aim an answer must leave.
//! - `admission`, `throttle`, `resends`: who is refused under pressure.

mod admission;
mod answer_margin;
mod caller;
mod config;
mod control_link;
mod control_links;
mod crashes;
mod gateway;
mod load;
mod metrics;
pub mod names;
mod pace;
mod quotas;
mod request;
mod resends;
mod role;
mod route_table;
mod servers;
mod serving_regions;
mod sources;
mod tenant_table;
mod throttle;
mod urgency;

pub use config::{Config, RetryBounds};
pub use role::{Handle, MetricsHandle, StartError, start};
