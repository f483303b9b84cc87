//! The server of a control replica: its listeners and tasks, and how they are started and stopped.

mod accept;
mod context;
mod gauges;
mod handle;
mod listing_store;
mod start;
mod tasks;

pub(crate) use context::Context;
pub use handle::{Handle, Peers};
pub use start::{CLIENT_LISTENERS, Environment, Listeners, start, start_in};
