//! A disk with slow syncs, so that a crash always finds unsynced writes.

use std::{io, path::Path, time::Duration};

use sablehaven_faults::disk::FaultyDisk;
use sablehaven_storage::{Disk, DiskFile, DiskLock};

/// About the time of a sync on a disk with queued requests.
const SYNC_DURATION: Duration = Duration::from_millis(3);

#[derive(Debug)]
pub struct SlowDisk(pub FaultyDisk);

#[derive(Debug)]
struct SlowFile(Box<dyn DiskFile>);

impl Disk for SlowDisk {
    fn create_folder(&self, folder: &Path) -> io::Result<()> {
        self.0.create_folder(folder)
    }

    fn lock(&self, path: &Path) -> io::Result<Box<dyn DiskLock>> {
        self.0.lock(path)
    }

    fn list(&self, folder: &Path) -> io::Result<Vec<String>> {
        self.0.list(folder)
    }

    fn read(&self, path: &Path, limit: u64) -> io::Result<Vec<u8>> {
        self.0.read(path, limit)
    }

    fn create(&self, path: &Path) -> io::Result<Box<dyn DiskFile>> {
        Ok(Box::new(SlowFile(self.0.create(path)?)))
    }

    fn open(&self, path: &Path) -> io::Result<Box<dyn DiskFile>> {
        Ok(Box::new(SlowFile(self.0.open(path)?)))
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        self.0.rename(from, to)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        self.0.remove(path)
    }

    fn sync_folder(&self, folder: &Path) -> io::Result<()> {
        self.0.sync_folder(folder)
    }
}

impl DiskFile for SlowFile {
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.0.write_at(offset, bytes)
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.0.truncate(length)
    }

    fn sync(&mut self) -> io::Result<()> {
        std::thread::sleep(SYNC_DURATION);
        self.0.sync()
    }
}
