//! The disk's files and names, the planned faults, and what a power failure leaves.

use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    path::{Path, PathBuf},
};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{
    faulty_disk::{OperationCounts, UnsyncedLoss},
    inode::{Inode, is_kept},
};

/// Names a file's content, whatever the file is called.
pub(super) type InodeNumber = u64;

/// A change of names that is not synced.
#[derive(Clone, Debug)]
enum NameChange {
    Create {
        path: PathBuf,
        inode: InodeNumber,
    },
    Rename {
        from: PathBuf,
        to: PathBuf,
        inode: InodeNumber,
    },
    Remove {
        path: PathBuf,
    },
}

/// The faults that are planned; operations are counted from 1.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Plan {
    pub(super) crash_at: Option<u64>,
    pub(super) fail_at: Option<u64>,
    pub(super) free_bytes: Option<u64>,
    pub(super) ignores_file_syncs: bool,
    pub(super) ignores_folder_syncs: bool,
    pub(super) ignores_identical_writes: bool,
}

/// What to do with an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    Proceed,
    /// The operation fails; the machine goes on.
    Fail,
    /// The power fails during the operation.
    Crash,
}

#[derive(Debug)]
pub(super) struct State {
    pub(super) plan: Plan,
    pub(super) counts: OperationCounts,
    /// Handles of an earlier epoch belong to a process that has ended.
    pub(super) epoch: u64,
    pub(super) locks: BTreeSet<PathBuf>,
    pub(super) random: Pcg64Mcg,
    inodes: BTreeMap<InodeNumber, Inode>,
    next_inode: InodeNumber,
    names: BTreeMap<PathBuf, InodeNumber>,
    durable_names: BTreeMap<PathBuf, InodeNumber>,
    pending_names: Vec<NameChange>,
    crashed: bool,
}

impl State {
    pub(super) fn new(seed: u64) -> Self {
        Self {
            plan: Plan::default(),
            counts: OperationCounts::default(),
            epoch: 0,
            locks: BTreeSet::new(),
            random: Pcg64Mcg::seed_from_u64(seed),
            inodes: BTreeMap::new(),
            next_inode: 1,
            names: BTreeMap::new(),
            durable_names: BTreeMap::new(),
            pending_names: Vec::new(),
            crashed: false,
        }
    }

    /// Counts a changing operation and finds out what becomes of it.
    pub(super) fn begin(&mut self) -> io::Result<Verdict> {
        self.check_running()?;
        self.counts.all += 1;
        if self.plan.crash_at == Some(self.counts.all) {
            self.crashed = true;
            return Ok(Verdict::Crash);
        }
        if self.plan.fail_at == Some(self.counts.all) {
            return Ok(Verdict::Fail);
        }
        Ok(Verdict::Proceed)
    }

    pub(super) fn check_running(&self) -> io::Result<()> {
        if self.crashed {
            return Err(power_failure());
        }
        Ok(())
    }

    pub(super) fn is_crashed(&self) -> bool {
        self.crashed
    }

    /// The machine comes up again after a power failure.
    pub(super) fn restart(&mut self, loss: UnsyncedLoss) {
        self.lose_unsynced_names(loss);
        for inode in self.inodes.values_mut() {
            let keep_percent = loss.keep_percent(&mut self.random);
            inode.lose_unsynced(keep_percent, &mut self.random);
        }
        self.names = self.durable_names.clone();
        let named: BTreeSet<_> = self.names.values().copied().collect();
        self.inodes.retain(|number, _| named.contains(number));
        self.crashed = false;
        self.end_process();
    }

    /// The process ends; what it has written stays readable.
    pub(super) fn end_process(&mut self) {
        self.epoch += 1;
        self.locks.clear();
        self.plan.crash_at = None;
        self.plan.fail_at = None;
    }

    pub(super) fn names_in(&self, folder: &Path) -> Vec<String> {
        let paths = self.names.keys();
        let in_folder = paths.filter(|path| path.parent() == Some(folder));
        let names = in_folder.filter_map(|path| path.file_name());
        names
            .map(|name| name.to_string_lossy().into_owned())
            .collect()
    }

    pub(super) fn inode_of(&self, path: &Path) -> io::Result<InodeNumber> {
        let found = self.names.get(path).copied();
        found.ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    pub(super) fn inode(&mut self, number: InodeNumber) -> &mut Inode {
        self.inodes.entry(number).or_default()
    }

    pub(super) fn create(&mut self, path: &Path) -> InodeNumber {
        if let Some(existing) = self.names.get(path).copied() {
            self.inode(existing).truncate(0);
            return existing;
        }
        let inode = self.next_inode;
        self.next_inode += 1;
        self.inodes.insert(inode, Inode::default());
        let path = path.to_owned();
        self.change_name(NameChange::Create { path, inode });
        inode
    }

    pub(super) fn rename(&mut self, from: &Path, to: &Path) -> io::Result<()> {
        let inode = self.inode_of(from)?;
        let (from, to) = (from.to_owned(), to.to_owned());
        self.change_name(NameChange::Rename { from, to, inode });
        Ok(())
    }

    pub(super) fn remove(&mut self, path: &Path) -> io::Result<()> {
        self.inode_of(path)?;
        let path = path.to_owned();
        self.change_name(NameChange::Remove { path });
        Ok(())
    }

    pub(super) fn sync_folder(&mut self, folder: &Path) {
        let pending = std::mem::take(&mut self.pending_names);
        let (synced, pending) = pending
            .into_iter()
            .partition(|change| change.path().parent() == Some(folder));
        self.pending_names = pending;
        for change in synced {
            change.apply(&mut self.durable_names);
        }
    }

    fn change_name(&mut self, change: NameChange) {
        change.apply(&mut self.names);
        self.pending_names.push(change);
    }

    fn lose_unsynced_names(&mut self, loss: UnsyncedLoss) {
        let keep_percent = loss.keep_percent(&mut self.random);
        for change in std::mem::take(&mut self.pending_names) {
            if is_kept(keep_percent, &mut self.random) {
                change.apply(&mut self.durable_names);
            }
        }
    }
}

impl NameChange {
    fn path(&self) -> &Path {
        match self {
            Self::Create { path, .. } | Self::Remove { path } | Self::Rename { to: path, .. } => {
                path
            }
        }
    }

    fn apply(&self, names: &mut BTreeMap<PathBuf, InodeNumber>) {
        match self {
            Self::Create { path, inode } => {
                names.insert(path.clone(), *inode);
            }
            Self::Rename { from, to, inode } => {
                names.remove(from);
                names.insert(to.clone(), *inode);
            }
            Self::Remove { path } => {
                names.remove(path);
            }
        }
    }
}

impl UnsyncedLoss {
    /// How likely it is, in percent, that an unsynced part of something reached the medium.
    pub(super) fn keep_percent(self, random: &mut Pcg64Mcg) -> u32 {
        const CHOICES: [u32; 5] = [0, 25, 50, 75, 100];
        match self {
            Self::All => 0,
            Self::Nothing => 100,
            Self::Random => CHOICES[random.random_range(0..CHOICES.len())],
        }
    }
}

pub(super) fn power_failure() -> io::Error {
    io::Error::other("simulated power failure")
}

pub(super) fn device_error() -> io::Error {
    io::Error::other("simulated device error")
}
