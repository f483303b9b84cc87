//! A model of the state that storage must contain, and random workloads to compare it with.
#![allow(dead_code)] // Each test binary uses only a part.

use std::{
    collections::BTreeMap,
    path::{Path, PathBuf},
    sync::Arc,
};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sablehaven_consensus::{
    Entry, EntryPayload, HardState, Membership, ReplicaId, Snapshot, SnapshotMetadata,
};
use sablehaven_faults::disk::FaultyDisk;
use sablehaven_storage::{
    GroupWrite, OpenedStorage, Options, RestoredGroup, Storage, StorageError,
};

/// The state that storage must contain, by group.
pub type Model = BTreeMap<u32, RestoredGroup>;

/// A call to storage.
#[derive(Clone, Debug)]
pub enum Operation {
    Write(Vec<GroupWrite>),
    Compact(u32, Snapshot),
}

/// An operation and the state that storage must contain after it.
#[derive(Clone, Debug)]
pub struct Step {
    pub operation: Operation,
    pub after: Model,
}

pub fn folder() -> &'static Path {
    Path::new("/data")
}

pub fn file(name: &str) -> PathBuf {
    folder().join(name)
}

pub fn options() -> Options {
    Options {
        deployment: "test".to_owned(),
        segment_bytes: 4096,
        allocation_bytes: 1500,
        ..Options::default()
    }
}

pub fn open(disk: &FaultyDisk) -> Result<OpenedStorage, StorageError> {
    open_with(disk, options())
}

pub fn open_with(disk: &FaultyDisk, options: Options) -> Result<OpenedStorage, StorageError> {
    Storage::open(folder(), Arc::new(disk.clone()), options)
}

pub fn entry(index: u64, term: u64, command: &[u8]) -> Entry {
    let payload = EntryPayload::Command(command.to_vec());
    Entry {
        index,
        term,
        payload,
    }
}

/// Returns a write of entries without a hard state or snapshot.
pub fn entries_write(group: u32, entries: Vec<Entry>) -> GroupWrite {
    GroupWrite {
        group,
        entries,
        ..GroupWrite::default()
    }
}

pub fn run(storage: &mut Storage, operation: &Operation) -> Result<(), StorageError> {
    match operation {
        Operation::Write(batch) => storage.write(batch),
        Operation::Compact(group, snapshot) => storage.compact(*group, snapshot),
    }
}

/// Generates a random sequence of operations, which is the same for the same seed.
pub fn workload(seed: u64, steps: usize) -> Vec<Step> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut model = Model::new();
    let mut workload = Vec::new();
    while workload.len() < steps {
        let operation = random_operation(&model, &mut random);
        apply(&mut model, &operation);
        let after = model.clone();
        workload.push(Step { operation, after });
    }
    workload
}

fn random_operation(model: &Model, random: &mut Pcg64Mcg) -> Operation {
    let group = random.random_range(0..3);
    if let Some(stored) = model.get(&group).filter(|_| random.random_range(0..5) == 0) {
        let entries = &stored.restored.entries;
        if !entries.is_empty() {
            let at = &entries[random.random_range(0..entries.len())];
            let snapshot = snapshot(at.index, at.term, random);
            return Operation::Compact(group, snapshot);
        }
    }
    let mut batch = Vec::new();
    for group in 0..3 {
        if random.random_range(0..2) == 0 {
            let stored = model.get(&group).cloned().unwrap_or_default();
            batch.push(random_write(group, &stored, random));
        }
    }
    Operation::Write(batch)
}

fn random_write(group: u32, stored: &RestoredGroup, random: &mut Pcg64Mcg) -> GroupWrite {
    let restored = &stored.restored;
    let mut write = GroupWrite {
        group,
        ..GroupWrite::default()
    };
    let term = restored.hard_state.term + random.random_range(0..2);
    if term != restored.hard_state.term {
        let voted_for = Some(ReplicaId(random.random()));
        write.hard_state = Some(HardState { term, voted_for });
    }
    let mut first = restored.snapshot.index + 1;
    let mut last = restored.snapshot.index + restored.entries.len() as u64;
    if random.random_range(0..8) == 0 {
        let index = first + random.random_range(0..6);
        write.snapshot = Some(snapshot(index, term, random));
        let kept = restored
            .entries
            .iter()
            .any(|e| e.index == index && e.term == term);
        last = if kept { last } else { index };
        first = index + 1;
    }
    let begin = if random.random_range(0..4) == 0 {
        random.random_range(first..=last + 1)
    } else {
        last + 1
    };
    for index in begin..begin + random.random_range(0..4) {
        let length = random.random_range(0..700);
        let command: Vec<u8> = (0..length).map(|_| random.random()).collect();
        write.entries.push(entry(index, term, &command));
    }
    write
}

fn snapshot(index: u64, term: u64, random: &mut Pcg64Mcg) -> Snapshot {
    let length = random.random_range(0..2000);
    let voters = [ReplicaId(random.random())].into();
    Snapshot {
        metadata: SnapshotMetadata {
            index,
            term,
            membership: Membership {
                voters,
                ..Membership::default()
            },
        },
        data: (0..length).map(|_| random.random()).collect(),
    }
}

/// Applies an operation to the model. This implements the documented behavior of storage
/// independently of its code.
pub fn apply(model: &mut Model, operation: &Operation) {
    match operation {
        Operation::Compact(group, snapshot) => {
            install(model.entry(*group).or_default(), snapshot);
        }
        Operation::Write(batch) => {
            for write in batch {
                let stored = model.entry(write.group).or_default();
                if let Some(hard_state) = write.hard_state {
                    stored.restored.hard_state = hard_state;
                }
                if let Some(snapshot) = &write.snapshot {
                    install(stored, snapshot);
                }
                if let Some(first) = write.entries.first() {
                    stored
                        .restored
                        .entries
                        .retain(|entry| entry.index < first.index);
                    stored.restored.entries.extend(write.entries.clone());
                }
            }
        }
    }
}

fn install(stored: &mut RestoredGroup, snapshot: &Snapshot) {
    let (index, term) = (snapshot.metadata.index, snapshot.metadata.term);
    let entries = &mut stored.restored.entries;
    if !entries
        .iter()
        .any(|entry| entry.index == index && entry.term == term)
    {
        entries.clear();
    }
    entries.retain(|entry| entry.index > index);
    stored.restored.snapshot = snapshot.metadata.clone();
    stored.snapshot_data = Some(snapshot.data.clone());
}

/// Writes a whole workload to a new disk, and returns the disk and the resulting state.
pub fn written_disk(seed: u64, steps: usize) -> (FaultyDisk, Model) {
    let disk = FaultyDisk::new(seed);
    let mut storage = open(&disk).expect("empty folder").storage;
    let workload = workload(seed, steps);
    for step in &workload {
        run(&mut storage, &step.operation).expect("no fault is injected");
    }
    let model = workload.last().map(|step| step.after.clone());
    (disk, model.unwrap_or_default())
}
