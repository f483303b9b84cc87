//! Compatibility with format version 1. `tests/data/format-1` was written by the first program that
//! had this version and must not change. A program that reads or writes other bytes needs a new
//! format version.

mod support;

use std::{fs, path::PathBuf};

use sablehaven_consensus::{
    Entry, EntryPayload, HardState, Membership, ReplicaId, Snapshot, SnapshotMetadata,
};
use sablehaven_faults::disk::FaultyDisk;
use sablehaven_storage::{GroupWrite, Options, Storage};
use support::{Model, Operation, apply, entries_write, entry, file, folder, open_with, options};

const REPLICA: ReplicaId = ReplicaId(0x66ca_7f47_70f3_a478);
const SEGMENT: &str = "segment-00000000000000000001";

fn sample_options() -> Options {
    Options {
        allocation_bytes: 0,
        ..options()
    }
}

fn membership() -> Membership {
    Membership {
        voters: [ReplicaId(1), ReplicaId(u64::MAX)].into(),
        learners: [ReplicaId(3)].into(),
    }
}

/// The operations that produced the sample folder.
fn sample_operations() -> Vec<Operation> {
    let empty = Entry {
        index: 1,
        term: 1,
        payload: EntryPayload::Empty,
    };
    let members = Entry {
        index: 2,
        term: 1,
        payload: EntryPayload::Membership(membership()),
    };
    let first = GroupWrite {
        group: 0,
        hard_state: Some(HardState {
            term: 1,
            voted_for: Some(ReplicaId(1)),
        }),
        entries: vec![empty, members, entry(3, 1, &[0, 127, 128, 255])],
        snapshot: None,
    };
    let compacted = Snapshot {
        metadata: SnapshotMetadata {
            index: 2,
            term: 1,
            membership: membership(),
        },
        data: b"state".to_vec(),
    };
    vec![
        Operation::Write(vec![
            first,
            entries_write(7, vec![entry(1, 1, b"other group")]),
        ]),
        Operation::Compact(0, compacted),
        last_operation(),
    ]
}

/// The last operation, whose record ends the segment.
fn last_operation() -> Operation {
    Operation::Write(vec![entries_write(
        0,
        vec![entry(3, 2, b"replaced"), entry(4, 2, b"")],
    )])
}

fn stored_folder() -> FaultyDisk {
    let disk = FaultyDisk::new(1);
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/data/format-1");
    for item in fs::read_dir(folder).expect("the sample") {
        let path = item.expect("listed").path();
        let name = path
            .file_name()
            .expect("a name")
            .to_string_lossy()
            .into_owned();
        disk.damage(&file(&name), fs::read(path).expect("read"));
    }
    disk
}

#[test]
fn folder_of_version_1_is_read() {
    let opened = open_with(&stored_folder(), sample_options()).expect("version 1");
    assert_eq!(opened.identity.replica, REPLICA);
    let mut model = Model::new();
    for operation in &sample_operations() {
        apply(&mut model, operation);
    }
    assert_eq!(opened.groups, model);
}

#[test]
fn records_are_written_as_in_version_1() {
    let disk = stored_folder();
    let whole = disk.content(&file(SEGMENT)).expect("the segment");
    let opened = open_with(&disk, sample_options()).expect("version 1");
    let report = sablehaven_storage::inspect_on(std::sync::Arc::new(disk.clone()), folder());
    assert_eq!(report.expect("listed").segments[0].records, 3);
    drop(opened);
    // Removes the last record and writes it again.
    let last_record_offset = record_offset(&whole, 2);
    disk.damage(&file(SEGMENT), whole[..last_record_offset].to_vec());
    disk.lose_file(&file("synced-position"));
    let mut storage: Storage = open_with(&disk, sample_options())
        .expect("intact without the last record")
        .storage;
    support::run(&mut storage, &last_operation()).expect("written");
    assert_eq!(disk.content(&file(SEGMENT)), Some(whole));
}

/// Returns the offset of the record with this number, counted from 0. It follows the file header,
/// the segment header and the records before it.
fn record_offset(segment: &[u8], number: usize) -> usize {
    let mut begin = 16;
    for _ in 0..=number {
        let length = segment[begin..begin + 4].try_into().expect("4 bytes");
        begin += 20 + u32::from_le_bytes(length) as usize;
    }
    begin
}
