//! The in-memory log ring, the metrics registry and the HTTP handlers that show them.
//!
//! Log records go to a ring in memory. The ring is written out when something goes wrong: on an
//! error record, on a panic, and when a role ends with an error. Otherwise a process logs nothing.

mod handlers;
mod line_log;
mod ring;
mod telemetry;

pub use line_log::install_line_logger;
pub use ring::{LogRing, RING_CAPACITY};
pub use telemetry::{Telemetry, TelemetryError};
