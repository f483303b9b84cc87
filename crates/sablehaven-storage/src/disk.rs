//! The few file operations that storage needs, so that tests can put a faulty disk under it.

use std::{fmt::Debug, io, path::Path};

/// A disk. The rules are those of a POSIX file system:
///
/// - bytes written to a file are durable after [`DiskFile::sync`] returned `Ok`;
/// - a file's creation, renaming and removal are durable after [`Disk::sync_folder`] of its folder
///   returned `Ok`;
/// - after a failed sync, what was written since the last good one may be lost even if it can still
///   be read and a later sync succeeds.
pub trait Disk: Debug + Send + Sync {
    /// Creates the folder where it does not exist, with its parents, durably.
    fn create_folder(&self, folder: &Path) -> io::Result<()>;

    /// Takes the exclusive lock at `path`, creating the file. Fails with
    /// [`io::ErrorKind::WouldBlock`] while another holder, in any process, has it.
    fn lock(&self, path: &Path) -> io::Result<Box<dyn DiskLock>>;

    /// The names of the files in the folder, in no order.
    fn list(&self, folder: &Path) -> io::Result<Vec<String>>;

    /// Reads a whole file. Fails with [`io::ErrorKind::FileTooLarge`], before it allocates, when the
    /// file has more than `limit` bytes.
    fn read(&self, path: &Path, limit: u64) -> io::Result<Vec<u8>>;

    /// Creates an empty file, in place of one of that name.
    fn create(&self, path: &Path) -> io::Result<Box<dyn DiskFile>>;

    /// Opens an existing file for writing.
    fn open(&self, path: &Path) -> io::Result<Box<dyn DiskFile>>;

    /// Renames a file, in place of one of the new name.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;

    /// Removes a file.
    fn remove(&self, path: &Path) -> io::Result<()>;

    /// Makes creations, renamings and removals in the folder durable.
    fn sync_folder(&self, folder: &Path) -> io::Result<()>;
}

/// A file opened for writing.
pub trait DiskFile: Debug + Send {
    /// Writes all bytes from `offset` (in bytes) on, growing the file where needed.
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()>;

    /// Cuts the file to `length` bytes.
    fn truncate(&mut self, length: u64) -> io::Result<()>;

    /// Makes the file's content and length durable.
    fn sync(&mut self) -> io::Result<()>;
}

/// An exclusive lock; dropping it releases it.
pub trait DiskLock: Debug + Send + Sync {}
