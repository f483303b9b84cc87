//! Durable log segments, snapshots and disk identity under one data folder.
//!
//! One [`Storage`] serves every consensus group of a process: a batch of writes for many groups is
//! one record of a shared write-ahead log and costs one sync. What [`Storage::write`] and
//! [`Storage::compact`] return `Ok` for is durable. `docs/design/storage.md` has the layout, the
//! recovery rules and what was weighed; `docs/operators/data-folder.md` is the operators' page.

mod commit;
mod disk;
mod error;
mod folder;
mod format;
mod group_state;
mod identity;
mod inspect;
mod manifest;
mod names;
mod options;
mod real_disk;
mod record;
mod recovery;
mod replay;
mod scan;
mod segment;
mod snapshot_file;
mod snapshot_writer;
mod split;
mod storage;
mod synced_position;
mod write;

pub use disk::{Disk, DiskFile, DiskLock};
pub use error::{StorageError, StorageOperation};
pub use format::FORMAT_VERSION;
pub use identity::Identity;
pub use inspect::{
    DamageReport, GroupReport, Inspection, SegmentReport, TornTail, inspect, inspect_on,
};
pub use options::Options;
pub use real_disk::RealDisk;
pub use scan::TruncatedTail;
pub use snapshot_writer::{PreparedSnapshot, SnapshotWriter};
pub use storage::{OpenedStorage, RestoredGroup, Storage, StorageCounters};
pub use write::GroupWrite;
