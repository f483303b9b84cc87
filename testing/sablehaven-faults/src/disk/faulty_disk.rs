//! The disk as storage sees it, and the switches for its faults.

use std::{
    io,
    path::{Path, PathBuf},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use sablehaven_storage::{Disk, DiskFile, DiskLock};

use super::{
    faulty_file::FaultyFile,
    state::{State, Verdict, device_error, power_failure},
};

/// What a power failure does to what was not synced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnsyncedLoss {
    /// All of it is lost.
    All,
    /// All of it had reached the medium.
    Nothing,
    /// Parts are lost: sectors of writes, lengths of files and changes of names, each by chance.
    Random,
}

/// How many changing operations the disk was asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OperationCounts {
    /// All of them; faults are planned by this count.
    pub all: u64,
    /// Writes to files.
    pub writes: u64,
    /// Syncs of files.
    pub file_syncs: u64,
    /// Syncs of folders.
    pub folder_syncs: u64,
}

/// A disk in memory. Clones are the same disk.
#[derive(Clone, Debug)]
pub struct FaultyDisk {
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct FaultyLock {
    state: Arc<Mutex<State>>,
    path: PathBuf,
    epoch: u64,
}

impl FaultyDisk {
    /// An empty disk whose random choices come from `seed`.
    pub fn new(seed: u64) -> Self {
        let state = Arc::new(Mutex::new(State::new(seed)));
        Self { state }
    }

    /// How many changing operations there were.
    pub fn counts(&self) -> OperationCounts {
        self.locked().counts
    }

    /// The power fails during the changing operation with this number, counted from 1.
    pub fn crash_at(&self, operation: u64) {
        self.locked().plan.crash_at = Some(operation);
    }

    /// The changing operation with this number fails: a sync loses a part of what was not synced, a
    /// write stops half way, anything else does nothing.
    pub fn fail_at(&self, operation: u64) {
        self.locked().plan.fail_at = Some(operation);
    }

    /// Writes that grow files by more than this many bytes together fail; `None` for no limit.
    pub fn set_free_bytes(&self, free_bytes: Option<u64>) {
        self.locked().plan.free_bytes = free_bytes;
    }

    /// Syncs of files report success and do nothing: the defect of a program that does not sync.
    pub fn ignore_file_syncs(&self) {
        self.locked().plan.ignores_file_syncs = true;
    }

    /// Syncs of folders report success and do nothing: the defect of a program that does not sync
    /// folders.
    pub fn ignore_folder_syncs(&self) {
        self.locked().plan.ignores_folder_syncs = true;
    }

    /// Writes of bytes that the file shows already do nothing: the defect of a program that trusts
    /// what it reads after a failed sync.
    pub fn ignore_identical_writes(&self) {
        self.locked().plan.ignores_identical_writes = true;
    }

    /// Whether the planned power failure has come.
    pub fn is_crashed(&self) -> bool {
        self.locked().is_crashed()
    }

    /// The machine comes up again after a power failure, planned or come just now. Open files and
    /// locks are gone, and so are planned failures of operations.
    pub fn restart(&self, loss: UnsyncedLoss) {
        self.locked().restart(loss);
    }

    /// The process is killed while the machine goes on: open files and locks are gone, what was
    /// written can still be read, what was not synced is still not synced.
    pub fn kill_process(&self) {
        self.locked().end_process();
    }

    /// The file's content as reading it gives it; `None` where there is no such file.
    pub fn content(&self, path: &Path) -> Option<Vec<u8>> {
        let mut state = self.locked();
        let inode = state.inode_of(path).ok()?;
        Some(state.inode(inode).cached.clone())
    }

    /// Replaces a file's content on the medium, or adds the file: damage that nothing reports.
    pub fn damage(&self, path: &Path, content: Vec<u8>) {
        let mut state = self.locked();
        let inode = state.create(path);
        state.inode(inode).damage(content);
        sync_parent(&mut state, path);
    }

    /// Removes a file from the medium: damage that nothing reports.
    pub fn lose_file(&self, path: &Path) {
        let mut state = self.locked();
        if state.remove(path).is_ok() {
            sync_parent(&mut state, path);
        }
    }

    /// The names of the files in a folder, in ascending order.
    pub fn names_in(&self, folder: &Path) -> Vec<String> {
        self.locked().names_in(folder)
    }

    fn locked(&self) -> MutexGuard<'_, State> {
        lock_state(&self.state)
    }

    fn file(&self, inode: u64, epoch: u64) -> Box<dyn DiskFile> {
        Box::new(FaultyFile::new(self.state.clone(), inode, epoch))
    }
}

impl Disk for FaultyDisk {
    fn create_folder(&self, _folder: &Path) -> io::Result<()> {
        self.locked().check_running()
    }

    fn lock(&self, path: &Path) -> io::Result<Box<dyn DiskLock>> {
        let mut state = self.locked();
        state.check_running()?;
        if !state.locks.insert(path.to_owned()) {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        Ok(Box::new(FaultyLock {
            state: self.state.clone(),
            path: path.to_owned(),
            epoch: state.epoch,
        }))
    }

    fn list(&self, folder: &Path) -> io::Result<Vec<String>> {
        let state = self.locked();
        state.check_running()?;
        Ok(state.names_in(folder))
    }

    fn read(&self, path: &Path, limit: u64) -> io::Result<Vec<u8>> {
        let mut state = self.locked();
        state.check_running()?;
        let inode = state.inode_of(path)?;
        let content = &state.inode(inode).cached;
        if content.len() as u64 > limit {
            return Err(io::ErrorKind::FileTooLarge.into());
        }
        Ok(content.clone())
    }

    fn create(&self, path: &Path) -> io::Result<Box<dyn DiskFile>> {
        let mut state = self.locked();
        let verdict = state.begin()?;
        if verdict == Verdict::Fail {
            return Err(device_error());
        }
        let inode = state.create(path);
        if verdict == Verdict::Crash {
            return Err(power_failure());
        }
        Ok(self.file(inode, state.epoch))
    }

    fn open(&self, path: &Path) -> io::Result<Box<dyn DiskFile>> {
        let state = self.locked();
        state.check_running()?;
        let inode = state.inode_of(path)?;
        Ok(self.file(inode, state.epoch))
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        let mut state = self.locked();
        match state.begin()? {
            Verdict::Proceed => state.rename(from, to),
            Verdict::Fail => Err(device_error()),
            Verdict::Crash => state.rename(from, to).and(Err(power_failure())),
        }
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        let mut state = self.locked();
        match state.begin()? {
            Verdict::Proceed => state.remove(path),
            Verdict::Fail => Err(device_error()),
            Verdict::Crash => state.remove(path).and(Err(power_failure())),
        }
    }

    fn sync_folder(&self, folder: &Path) -> io::Result<()> {
        let mut state = self.locked();
        state.counts.folder_syncs += 1;
        match state.begin()? {
            Verdict::Proceed if state.plan.ignores_folder_syncs => Ok(()),
            Verdict::Proceed => {
                state.sync_folder(folder);
                Ok(())
            }
            Verdict::Fail => Err(device_error()),
            Verdict::Crash => Err(power_failure()),
        }
    }
}

impl DiskLock for FaultyLock {}

impl Drop for FaultyLock {
    fn drop(&mut self) {
        let mut state = lock_state(&self.state);
        if state.epoch == self.epoch {
            state.locks.remove(&self.path);
        }
    }
}

pub(super) fn lock_state(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn sync_parent(state: &mut State, path: &Path) {
    if let Some(folder) = path.parent() {
        state.sync_folder(folder);
    }
}
