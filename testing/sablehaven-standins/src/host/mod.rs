//! Many back ends in one process, with the platform's list and an administration interface.

mod admin;
mod client;
mod error;
mod file;
mod fleet;
mod process;
mod running;

pub use admin::{ExecutionPage, SnapshotDrop};
pub use client::{AdminClient, AdminError};
pub use error::HostError;
pub use file::HostFile;
pub use process::run_process;
pub use running::{HostReport, RunningHost, start};
