//! A disk: writes reach it in order, and those that are not synced may be lost in a crash.

use std::collections::{BTreeMap, VecDeque};

use sablehaven_consensus::{Entry, HardState, PersistentState, ReplicaId, SnapshotMetadata};

use crate::random::Random;

/// What one write changes.
#[derive(Clone, Debug)]
pub enum Change {
    /// The term and vote.
    HardState(HardState),
    /// A snapshot from the leader replaces the log.
    Install(SnapshotMetadata, Vec<u8>),
    /// A snapshot of the own state replaces the entries up to it.
    Compact(SnapshotMetadata, Vec<u8>),
    /// An entry replaces what the log holds from its index on.
    Append(Entry),
}

/// One write to the log of one group.
#[derive(Clone, Debug)]
pub struct Write {
    /// The group.
    pub group: u32,
    /// What it changes.
    pub change: Change,
}

/// What a disk holds of one group.
#[derive(Clone, Debug, Default)]
pub struct GroupFiles {
    /// What the replica starts from.
    pub restored: PersistentState,
    /// The state machine at `restored.snapshot`.
    pub snapshot_data: Vec<u8>,
}

/// Writes that share one sync.
#[derive(Clone, Debug)]
struct Batch {
    number: u64,
    writes: Vec<Write>,
}

/// The disk of one control machine, with the identity that it got when it was formatted.
#[derive(Clone, Debug)]
pub struct Disk {
    id: ReplicaId,
    files: BTreeMap<u32, GroupFiles>,
    unsynced: VecDeque<Batch>,
    batches: u64,
}

impl Disk {
    /// A disk that was just formatted.
    pub fn formatted(id: ReplicaId) -> Self {
        Self {
            id,
            files: BTreeMap::new(),
            unsynced: VecDeque::new(),
            batches: 0,
        }
    }

    /// Its identity.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// Writes and syncs at once, before the simulation starts.
    pub fn prepare(&mut self, group: u32, restored: PersistentState) {
        let files = GroupFiles {
            restored,
            snapshot_data: Vec::new(),
        };
        self.files.insert(group, files);
    }

    /// The synced content of one group's log.
    pub fn read(&self, group: u32) -> GroupFiles {
        self.files.get(&group).cloned().unwrap_or_default()
    }

    /// Starts writes that share a sync; returns its number.
    pub fn write(&mut self, writes: Vec<Write>) -> u64 {
        self.batches += 1;
        let number = self.batches;
        self.unsynced.push_back(Batch { number, writes });
        number
    }

    /// Batches that are not synced yet.
    pub fn unsynced_batches(&self) -> usize {
        self.unsynced.len()
    }

    /// The batch that was started last, if it is not synced yet.
    pub fn last_unsynced(&self) -> Option<u64> {
        self.unsynced.back().map(|batch| batch.number)
    }

    /// The syncs up to this number are done.
    pub fn synced(&mut self, number: u64) {
        while let Some(batch) = self.unsynced.front()
            && batch.number <= number
        {
            let batch = self.unsynced.pop_front();
            for write in batch.into_iter().flat_map(|batch| batch.writes) {
                self.store(write);
            }
        }
    }

    /// The process dies: of the writes that were not synced, the first few may have reached the disk.
    pub fn crash(&mut self, random: &mut Random) {
        let batches = std::mem::take(&mut self.unsynced);
        let writes: Vec<Write> = batches.into_iter().flat_map(|batch| batch.writes).collect();
        let kept = match random.chance(500) {
            true => 0,
            false => random.index(writes.len() + 1),
        };
        for write in writes.into_iter().take(kept) {
            self.store(write);
        }
    }

    fn store(&mut self, write: Write) {
        let files = self.files.entry(write.group).or_default();
        let log = &mut files.restored;
        match write.change {
            Change::HardState(hard_state) => log.hard_state = hard_state,
            Change::Install(metadata, data) => {
                log.snapshot = metadata;
                log.entries.clear();
                files.snapshot_data = data;
            }
            Change::Compact(metadata, data) => {
                log.entries.retain(|entry| entry.index > metadata.index);
                log.snapshot = metadata;
                files.snapshot_data = data;
            }
            Change::Append(entry) => {
                log.entries.retain(|known| known.index < entry.index);
                log.entries.push(entry);
            }
        }
    }
}
