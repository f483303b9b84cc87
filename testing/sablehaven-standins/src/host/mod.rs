//! Many back ends in one process, with the platform's list and an administration interface.

mod admin;
mod error;
mod file;
mod process;
mod running;

pub use admin::{ExecutionPage, SnapshotDrop};
pub use error::HostError;
pub use file::HostFile;
pub use process::run_process;
pub use running::{HostReport, RunningHost, start};
