//! The gateway: accepts requests from callers over the network and forwards each to one server of a service, or
//! to one server of every shard of it.
//!
//! Everything runs on one thread, in a [`tokio::task::LocalSet`]. A gateway has only a fraction of a core on its
//! machine, and state without locks is smaller and simpler.
//!
//! - [`names`]: names of the HTTP headers, which a deployment may change.
//! - `control_link`, `control_links`, `sources`: connections to the control replicas, from which the gateway
//!   fetches the routes and the list of servers.
//! - `route_table`: finds the route of a request.
//! - `tenant_table`, `caller`: identify the tenant of a request.
//! - `serving_regions`: the regions in which a request may be served.
//! - `servers`: connections to servers, their health, the choice among them, and the budget of extra attempts.
//! - `request`: handles one request from its arrival to its response.
//! - `crashes`: quarantines requests that crash servers.
//! - `load`: measures the gateway's load for the control replicas.
//! - `quotas`: tokens of tenants' quotas, acquired from control replicas.
//! - `answer_margin`: how long before its latency target a response must be sent.
//! - `admission`, `throttle`, `urgency`: decide which requests are refused under overload.
//! - `resends`: tells callers' resends from their first tries.
//! - `pace`: estimates the service time of a query from the parts that have arrived.
//! - `planned_stop`: until when a stopping gateway sends requests to servers and answers them.
//! - `metrics`: the metrics of a gateway in the Prometheus text format.
//! - `role`: starts and stops a gateway.

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
mod planned_stop;
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
