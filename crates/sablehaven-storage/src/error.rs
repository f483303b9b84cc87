//! Storage errors. A disk error names the operation that failed and the file.

use std::{io, path::PathBuf};

/// The operation that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum StorageOperation {
    /// create data folder
    CreateFolder,
    /// lock data folder
    Lock,
    /// list data folder
    List,
    /// read
    Read,
    /// create file
    Create,
    /// open file
    Open,
    /// write
    Write,
    /// truncate torn tail of
    Truncate,
    /// sync
    Sync,
    /// sync folder
    SyncFolder,
    /// rename
    Rename,
    /// remove
    Remove,
    /// encode
    Encode,
}

/// A storage error.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum StorageError {
    /// {operation} {path}: {source}
    Disk {
        /// The operation that failed.
        operation: StorageOperation,
        /// The file or folder.
        path: PathBuf,
        /// The cause; [`io::ErrorKind::StorageFull`] when the disk is full.
        source: io::Error,
    },
    /// lock {path}: another process uses this data folder
    InUse {
        /// The lock file.
        path: PathBuf,
    },
    /// {path} is damaged at byte {offset}: {reason}
    Damaged {
        /// The damaged file. A missing file is reported here too, with offset 0.
        path: PathBuf,
        /// The offset of the damage in the file, in bytes.
        offset: u64,
        /// A description of the damage.
        reason: String,
    },
    /// {path} has format version {found}; this program reads version {known}
    UnknownVersion {
        /// The file.
        path: PathBuf,
        /// The version in the file.
        found: u32,
        /// The only version that this program reads and writes.
        known: u32,
    },
    /// data folder {path} belongs to deployment '{found}', not to '{expected}'
    WrongDeployment {
        /// The identity file.
        path: PathBuf,
        /// The deployment in the file.
        found: String,
        /// The deployment in the settings.
        expected: String,
    },
    /// write for group {group} refused: {reason}
    InvalidWrite {
        /// The group.
        group: u32,
        /// Why the write is invalid. Nothing was written and storage stays usable.
        reason: String,
    },
    /// write for group {group} refused: entry {index} has {bytes} bytes, the maximum is {allowed}
    EntryTooLarge {
        /// The group.
        group: u32,
        /// The entry's index.
        index: u64,
        /// The size in bytes of the entry's command, or of the record that contains only this
        /// entry. Nothing was written and storage stays usable.
        bytes: u64,
        /// The maximum size, in bytes.
        allowed: u64,
    },
    /// storage is unusable after an earlier failure: {first}
    Poisoned {
        /// The error message of the first failure.
        first: String,
    },
}
