//! Logging, metrics and health checks of a process, and the HTTP handlers that serve them.
//!
//! A process installs one of two loggers:
//!
//! - [`Telemetry::install_logger`] appends log records to a ring in memory. The ring is written to standard error after
//!   a failure: on an error record, on a panic, and when a role ends with an error. Otherwise the process writes no logs.
//! - [`install_line_logger`] writes every log record to standard output.

mod handlers;
mod line_log;
mod ring;
mod telemetry;

pub use line_log::install_line_logger;
pub use ring::{LogRing, RING_CAPACITY};
pub use telemetry::{Telemetry, TelemetryError};
