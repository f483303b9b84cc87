//! Stand-in callers: open loop, seeded, with a daily curve and a surge.
//!
//! A caller sends each request at the time that the load says, whether or not earlier answers are
//! back, and latency counts from that intended time. So a slow system cannot slow its callers down
//! and hide its own latency (coordinated omission).

mod arrivals;
mod client;
mod driver;
mod load;
mod request;
mod summary;

pub use arrivals::Arrivals;
pub use client::{AgentClient, AgentTarget, Asked};
pub use driver::{CallMix, Driver, DriverSettings, MixEntry, RegionLoad};
pub use load::{LoadShape, Surge};
pub use request::RequestMaker;
pub use summary::{LatencySummary, RunSummary, summarise};
