//! Errors, each with the step and the file at which it arose.

use std::{io, path::PathBuf};

/// What storage was doing.
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
    /// cut torn tail of
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

/// Errors of storage.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum StorageError {
    /// {operation} {path}: {source}
    Disk {
        /// The step that failed.
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
        /// The file; a file that should be there and is not is named too, with offset 0.
        path: PathBuf,
        /// Where in the file, in bytes.
        offset: u64,
        /// What is wrong there.
        reason: String,
    },
    /// {path} has format version {found}; this program reads version {known}
    UnknownVersion {
        /// The file.
        path: PathBuf,
        /// The version in the file.
        found: u32,
        /// The version that this program reads and writes.
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
        /// What does not fit; nothing was written and storage stays usable.
        reason: String,
    },
    /// write for group {group} refused: entry {index} has {bytes} bytes, allowed are {allowed}
    EntryTooLarge {
        /// The group.
        group: u32,
        /// The entry.
        index: u64,
        /// Its command's size; nothing was written and storage stays usable.
        bytes: u64,
        /// The largest size of a command.
        allowed: u64,
    },
    /// refused, since an earlier step failed: {first}
    Poisoned {
        /// The first failure.
        first: String,
    },
}
