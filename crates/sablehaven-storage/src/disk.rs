//! The file operations that storage needs, as traits, so that tests can substitute a faulty disk.

use std::{fmt::Debug, io, path::Path};

/// A disk with the durability rules of a POSIX file system:
///
/// - Bytes written to a file are durable once [`DiskFile::sync`] has returned `Ok`.
/// - The creation, renaming or removal of a file is durable once [`Disk::sync_folder`] of its
///   folder has returned `Ok`.
/// - After a failed sync, the bytes written since the last successful sync may be lost, even if
///   they can still be read and a later sync succeeds.
pub trait Disk: Debug + Send + Sync {
    /// Creates the folder and its parents durably, if they do not exist.
    fn create_folder(&self, folder: &Path) -> io::Result<()>;

    /// Acquires the exclusive lock at `path` and creates the file if needed. Fails with
    /// [`io::ErrorKind::WouldBlock`] while the lock is held elsewhere, in this or another process.
    fn lock(&self, path: &Path) -> io::Result<Box<dyn DiskLock>>;

    /// Lists the names of the files in the folder, in no particular order.
    fn list(&self, folder: &Path) -> io::Result<Vec<String>>;

    /// Reads a whole file. If the file has more than `limit` bytes, fails with
    /// [`io::ErrorKind::FileTooLarge`] before it allocates memory.
    fn read(&self, path: &Path, limit: u64) -> io::Result<Vec<u8>>;

    /// Creates an empty file, replacing any existing file of that name.
    fn create(&self, path: &Path) -> io::Result<Box<dyn DiskFile>>;

    /// Opens an existing file for writing.
    fn open(&self, path: &Path) -> io::Result<Box<dyn DiskFile>>;

    /// Renames a file, replacing any existing file of the new name.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;

    /// Removes a file.
    fn remove(&self, path: &Path) -> io::Result<()>;

    /// Makes the creations, renames and removals in the folder durable.
    fn sync_folder(&self, folder: &Path) -> io::Result<()>;
}

/// A file opened for writing.
pub trait DiskFile: Debug + Send {
    /// Writes all bytes at `offset`, and extends the file if needed.
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()>;

    /// Truncates the file to `length` bytes.
    fn truncate(&mut self, length: u64) -> io::Result<()>;

    /// Makes the file's content and length durable.
    fn sync(&mut self) -> io::Result<()>;
}

/// An exclusive lock, released when dropped.
pub trait DiskLock: Debug + Send + Sync {}
