//! Durable storage for replicated logs: log segments, snapshots and the replica's identity in one
//! data folder.
//!
//! One [`Storage`] serves all consensus groups of a process. A batch of writes for many groups is
//! one record of a shared write-ahead log and costs one sync. Once [`Storage::write`] or
//! [`Storage::compact`] has returned `Ok`, the written data is durable.
//!
//! `docs/design/storage.md` describes the layout, the recovery rules and the alternatives
//! considered; `docs/operators/data-folder.md` is the page for operators.

mod commit;
mod disk;
mod error;
mod folder;
mod format;
mod group_state;
mod identity;
mod inspect;
mod listing_file;
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
pub use listing_file::ListingFile;
pub use options::Options;
pub use real_disk::RealDisk;
pub use scan::TruncatedTail;
pub use snapshot_writer::{PreparedSnapshot, SnapshotWriter};
pub use storage::{OpenedStorage, RestoredGroup, Storage, StorageCounters};
pub use write::GroupWrite;
