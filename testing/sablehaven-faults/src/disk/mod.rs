//! A disk in memory with the faults of real ones, in place of `sablehaven_storage::RealDisk`.
//!
//! It keeps what the process sees apart from what has reached the medium. A power failure loses what
//! was not synced: whole or in part, sector by sector, and names apart from contents. Every choice
//! comes from a seed, so a run can be repeated. The model is harsher than any one file system: see
//! Pillai et al., "All File Systems Are Not Created Equal" (OSDI 2014) for what file systems promise,
//! and Rebello et al., "Can Applications Recover from fsync Failures?" (USENIX ATC 2020) for what
//! they do after a failed sync.

mod faulty_disk;
mod faulty_file;
mod inode;
mod state;

pub use faulty_disk::{FaultyDisk, OperationCounts, UnsyncedLoss};
