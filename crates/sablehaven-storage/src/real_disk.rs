//! The [`Disk`] implementation on the machine's file system.

use std::{
    fs::{self, File, OpenOptions, TryLockError},
    io::{self, Read},
    os::unix::fs::FileExt,
    path::Path,
};

use crate::disk::{Disk, DiskFile, DiskLock};

/// The machine's file system, accessed through `std::fs`.
#[derive(Clone, Copy, Debug, Default)]
pub struct RealDisk;

#[derive(Debug)]
struct RealFile(File);

#[derive(Debug)]
struct RealLock {
    /// Closing the file releases the lock.
    _file: File,
}

impl Disk for RealDisk {
    fn create_folder(&self, folder: &Path) -> io::Result<()> {
        if folder.is_dir() {
            return Ok(());
        }
        let parent = parent_of(folder);
        self.create_folder(parent)?;
        match fs::create_dir(folder) {
            Err(error) if error.kind() != io::ErrorKind::AlreadyExists => return Err(error),
            _ => {}
        }
        self.sync_folder(parent)
    }

    fn lock(&self, path: &Path) -> io::Result<Box<dyn DiskLock>> {
        let mut options = OpenOptions::new();
        let file = options
            .write(true)
            .create(true)
            .truncate(false)
            .open(path)?;
        match file.try_lock() {
            Ok(()) => Ok(Box::new(RealLock { _file: file })),
            Err(TryLockError::WouldBlock) => Err(io::ErrorKind::WouldBlock.into()),
            Err(TryLockError::Error(error)) => Err(error),
        }
    }

    fn list(&self, folder: &Path) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(folder)? {
            names.push(entry?.file_name().to_string_lossy().into_owned());
        }
        Ok(names)
    }

    fn read(&self, path: &Path, limit: u64) -> io::Result<Vec<u8>> {
        let file = File::open(path)?;
        let length = file.metadata()?.len();
        if length > limit {
            return Err(io::ErrorKind::FileTooLarge.into());
        }
        let mut content = Vec::with_capacity(usize::try_from(length).unwrap_or(0));
        // The file may grow while it is read, since `inspect` does not acquire the lock. `take`
        // enforces the limit in that case too.
        file.take(limit).read_to_end(&mut content)?;
        Ok(content)
    }

    fn create(&self, path: &Path) -> io::Result<Box<dyn DiskFile>> {
        Ok(Box::new(RealFile(File::create(path)?)))
    }

    fn open(&self, path: &Path) -> io::Result<Box<dyn DiskFile>> {
        let file = OpenOptions::new().write(true).open(path)?;
        Ok(Box::new(RealFile(file)))
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        fs::remove_file(path)
    }

    fn sync_folder(&self, folder: &Path) -> io::Result<()> {
        File::open(folder)?.sync_all()
    }
}

impl DiskFile for RealFile {
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.0.write_all_at(bytes, offset)
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.0.set_len(length)
    }

    fn sync(&mut self) -> io::Result<()> {
        // `fdatasync` also makes the file's length durable, but does not write its timestamps.
        self.0.sync_data()
    }
}

impl DiskLock for RealLock {}

fn parent_of(folder: &Path) -> &Path {
    match folder.parent() {
        Some(parent) if !parent.as_os_str().is_empty() => parent,
        _ => Path::new("."),
    }
}
