//! The process: listeners, tasks, and their start and stop.

mod accept;
mod context;
mod gauges;
mod handle;
mod start;
mod tasks;

pub(crate) use context::Context;
pub use handle::{Handle, Peers};
pub use start::{Environment, Listeners, start, start_in};
