//! A file opened on the faulty disk.

use std::{
    io,
    sync::{Arc, Mutex, MutexGuard},
};

use sablehaven_storage::DiskFile;

use super::{
    faulty_disk::{UnsyncedLoss, lock_state},
    state::{InodeNumber, State, Verdict, device_error, power_failure},
};

#[derive(Debug)]
pub(super) struct FaultyFile {
    state: Arc<Mutex<State>>,
    inode: InodeNumber,
    epoch: u64,
}

impl FaultyFile {
    pub(super) fn new(state: Arc<Mutex<State>>, inode: InodeNumber, epoch: u64) -> Self {
        Self {
            state,
            inode,
            epoch,
        }
    }

    fn locked(&self) -> io::Result<MutexGuard<'_, State>> {
        let state = lock_state(&self.state);
        if state.epoch != self.epoch {
            return Err(io::Error::other("the process of this file has ended"));
        }
        Ok(state)
    }
}

impl DiskFile for FaultyFile {
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.locked()?;
        state.counts.writes += 1;
        let verdict = state.begin()?;
        let offset = usize::try_from(offset).map_err(io::Error::other)?;
        let (written, is_full) = fitting(&mut state, self.inode, offset, bytes);
        let written = match verdict {
            Verdict::Fail => &written[..written.len() / 2],
            _ => written,
        };
        let inode = state.inode(self.inode);
        let shown = inode.cached.get(offset..offset + written.len());
        let is_identical = shown == Some(written);
        if !(is_identical && state.plan.ignores_identical_writes) {
            state.inode(self.inode).write_at(offset, written);
        }
        match verdict {
            Verdict::Proceed if is_full => Err(io::ErrorKind::StorageFull.into()),
            Verdict::Proceed => Ok(()),
            Verdict::Fail => Err(device_error()),
            Verdict::Crash => Err(power_failure()),
        }
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        let mut state = self.locked()?;
        let verdict = state.begin()?;
        if verdict == Verdict::Fail {
            return Err(device_error());
        }
        let length = usize::try_from(length).map_err(io::Error::other)?;
        state.inode(self.inode).truncate(length);
        match verdict {
            Verdict::Crash => Err(power_failure()),
            _ => Ok(()),
        }
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut state = self.locked()?;
        state.counts.file_syncs += 1;
        match state.begin()? {
            Verdict::Proceed if state.plan.ignores_file_syncs => Ok(()),
            Verdict::Proceed => {
                state.inode(self.inode).sync();
                Ok(())
            }
            Verdict::Fail => {
                let mut random = state.random.clone();
                let keep_percent = UnsyncedLoss::Random.keep_percent(&mut random);
                state.inode(self.inode).fail_sync(keep_percent, &mut random);
                state.random = random;
                Err(device_error())
            }
            Verdict::Crash => Err(power_failure()),
        }
    }
}

/// The part of a write that fits on the disk, and whether that is not all of it.
fn fitting<'a>(
    state: &mut State,
    inode: InodeNumber,
    offset: usize,
    bytes: &'a [u8],
) -> (&'a [u8], bool) {
    let length = state.inode(inode).cached.len();
    let growth = (offset + bytes.len()).saturating_sub(length);
    let Some(free_bytes) = &mut state.plan.free_bytes else {
        return (bytes, false);
    };
    let granted = (growth as u64).min(*free_bytes);
    *free_bytes -= granted;
    let missing = growth - granted as usize;
    (
        &bytes[..bytes.len() - missing.min(bytes.len())],
        missing > 0,
    )
}
