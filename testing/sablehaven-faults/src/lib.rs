//! A fault-injecting TCP proxy, seeded fault schedules and disk faults.
//!
//! A [`Proxy`] stands on one link: it listens in place of a process and passes bytes on to it.
//! Faults are switched on and off through its handle while connections are open. What the proxy
//! forwards is never changed except by an explicit fault.

pub mod disk;
mod fault;
mod flow;
mod http2;
mod proxy;
pub mod schedule;

pub use fault::{Direction, DirectionFaults, Faults};
pub use proxy::{Proxy, ProxyCounts, ProxyError};
