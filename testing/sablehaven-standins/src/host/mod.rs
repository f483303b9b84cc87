//! Many back ends in one process, with the platform's list and an administration interface.

mod admin;
mod file;
mod running;

pub use admin::{ExecutionPage, SnapshotDrop};
pub use file::{HostFile, HostFileError};
pub use running::{HostReport, RunningHost, StartError, start, start_with_methods};
