//! The life cycle of a data folder: formatting, locking, segments, poisoning, refused writes and
//! inspection.

mod support;

use std::{path::PathBuf, sync::Arc};

use sablehaven_consensus::{HardState, Snapshot, SnapshotMetadata};
use sablehaven_faults::disk::{FaultyDisk, UnsyncedLoss};
use sablehaven_storage::{
    GroupWrite, Options, RealDisk, Storage, StorageError, inspect, inspect_on,
};
use support::{entries_write, entry, file, folder, open, options};

fn snapshot(index: u64, term: u64, data: &[u8]) -> Snapshot {
    Snapshot {
        metadata: SnapshotMetadata {
            index,
            term,
            ..SnapshotMetadata::default()
        },
        data: data.to_vec(),
    }
}

/// Writes one entry of 1,000 bytes to each group.
fn write_round(storage: &mut Storage, groups: u32, index: u64) {
    let writes = (0..groups).map(|group| entries_write(group, vec![entry(index, 1, &[7; 1000])]));
    storage.write(&writes.collect::<Vec<_>>()).expect("written");
}

#[test]
fn real_disk_preserves_writes_and_locks_the_folder() {
    let parent = tempfile::tempdir().expect("temporary folder");
    let folder = parent.path().join("nested").join("data");
    let disk = Arc::new(RealDisk);
    let opened = Storage::open(&folder, disk.clone(), options()).expect("formatted");
    assert!(opened.formatted);
    let second = Storage::open(&folder, disk.clone(), options());
    assert!(
        matches!(second, Err(StorageError::InUse { .. })),
        "{second:?}"
    );
    let mut storage = opened.storage;
    for index in 1..=20 {
        write_round(&mut storage, 2, index);
    }
    storage
        .compact(0, &snapshot(15, 1, b"state"))
        .expect("compacted");
    drop(storage);
    let again = Storage::open(&folder, disk, options()).expect("opened");
    assert!(!again.formatted);
    assert_eq!(again.identity, opened.identity);
    assert_eq!(
        again.groups[&0].snapshot_data.as_deref(),
        Some(&b"state"[..])
    );
    assert_eq!(again.groups[&0].restored.entries.len(), 5);
    assert_eq!(again.groups[&1].restored.entries.len(), 20);
    let inspection = inspect(&folder).expect("inspected beside the running process");
    assert_eq!(inspection.identity, Some(opened.identity));
    assert_eq!(inspection.damage, []);
    assert_eq!(inspection.groups[&0].snapshot.index, 15);
    assert_eq!(inspection.groups[&1].last_index, 20);
    assert_eq!(inspection.other_files, Vec::<String>::new());
}

#[test]
fn batch_for_many_groups_costs_one_write_and_one_sync() {
    let disk = FaultyDisk::new(1);
    let mut storage = open(&disk).expect("empty").storage;
    let before = disk.counts();
    let writes = (0..64).map(|group| entries_write(group, vec![entry(1, 1, b"command")]));
    storage.write(&writes.collect::<Vec<_>>()).expect("written");
    let after = disk.counts();
    assert_eq!(after.file_syncs - before.file_syncs, 1);
    assert_eq!(after.folder_syncs, before.folder_syncs);
    // One write for the record and one for the synced position, whose file is never synced.
    assert_eq!(after.writes - before.writes, 2);
    assert_eq!(storage.counters().log_syncs, 1);
    storage.write(&[]).expect("nothing to do");
    assert_eq!(disk.counts(), after);
}

#[test]
fn emptied_folder_gets_a_new_identity() {
    let disk = FaultyDisk::new(1);
    let first = open(&disk).expect("empty").identity;
    assert_eq!(open(&disk).expect("used").identity, first);
    for name in disk.names_in(folder()) {
        disk.lose_file(&file(&name));
    }
    let second = open(&disk).expect("empty again");
    assert!(second.formatted);
    assert_ne!(second.identity.replica, first.replica);
}

#[test]
fn other_deployment_is_refused() {
    let disk = FaultyDisk::new(1);
    drop(open(&disk).expect("empty"));
    let other = Options {
        deployment: "other".to_owned(),
        ..options()
    };
    let refused = Storage::open(folder(), Arc::new(disk), other);
    assert!(matches!(refused, Err(StorageError::WrongDeployment { .. })));
}

#[test]
fn segments_are_removed_once_snapshots_of_all_groups_cover_them() {
    let disk = FaultyDisk::new(1);
    let mut storage = open(&disk).expect("empty").storage;
    let vote = HardState {
        term: 1,
        voted_for: Some(storage.identity().replica),
    };
    let voted = GroupWrite {
        group: 2,
        hard_state: Some(vote),
        ..GroupWrite::default()
    };
    storage.write(&[voted]).expect("written");
    for index in 1..=20 {
        write_round(&mut storage, 2, index);
    }
    let segments = |disk: &FaultyDisk| {
        let mut names = disk.names_in(folder());
        names.retain(|name| name.starts_with("segment-"));
        names.len()
    };
    assert!(segments(&disk) > 6);
    assert_eq!(storage.groups_to_compact(), [0, 1]);
    storage
        .compact(0, &snapshot(20, 1, b"0"))
        .expect("compacted");
    assert!(
        segments(&disk) > 6,
        "group 1 has no snapshot that covers them"
    );
    assert_eq!(storage.groups_to_compact(), [1]);
    let writer = storage.snapshot_writer();
    let prepared = writer.write(1, &snapshot(20, 1, b"1"));
    write_round(&mut storage, 1, 21);
    storage
        .compact_to(prepared.expect("written"))
        .expect("compacted");
    assert!(segments(&disk) <= 2);
    assert_eq!(storage.groups_to_compact(), [0; 0]);
    drop(storage);
    let while_writing = open(&disk);
    assert!(matches!(while_writing, Err(StorageError::InUse { .. })));
    drop(writer);
    // The segment with the record of the vote was removed, so the vote comes from a segment header.
    let opened = open(&disk).expect("opened");
    assert_eq!(opened.groups[&2].restored.hard_state, vote);
    assert_eq!(opened.groups[&0].restored.entries.len(), 1);
}

#[test]
fn snapshot_that_is_not_newer_changes_nothing() {
    let disk = FaultyDisk::new(1);
    let mut storage = open(&disk).expect("empty").storage;
    write_round(&mut storage, 1, 1);
    write_round(&mut storage, 1, 2);
    let late = storage.snapshot_writer().write(0, &snapshot(1, 1, b"late"));
    let again = storage.snapshot_writer().write(0, &snapshot(2, 1, b"2"));
    storage
        .compact(0, &snapshot(2, 1, b"2"))
        .expect("compacted");
    storage.compact(0, &snapshot(1, 1, b"1")).expect("ignored");
    storage.compact_to(late.expect("written")).expect("removed");
    storage
        .compact_to(again.expect("written"))
        .expect("the same");
    drop(storage);
    let opened = open(&disk).expect("opened");
    assert_eq!(opened.groups[&0].snapshot_data.as_deref(), Some(&b"2"[..]));
    let names = disk.names_in(folder());
    assert_eq!(
        names
            .iter()
            .filter(|name| name.starts_with("snapshot-"))
            .count(),
        1
    );
}

#[test]
fn invalid_writes_are_refused_and_leave_storage_usable() {
    let disk = FaultyDisk::new(1);
    let mut storage = open(&disk).expect("empty").storage;
    write_round(&mut storage, 1, 1);
    let gap = entries_write(0, vec![entry(3, 1, b"")]);
    let hole = entries_write(0, vec![entry(2, 1, b""), entry(4, 1, b"")]);
    let twice = entries_write(1, vec![entry(1, 1, b"")]);
    let huge = entries_write(1, vec![entry(u64::MAX, 1, b"")]);
    for batch in [
        vec![gap],
        vec![hole],
        vec![twice.clone(), twice],
        vec![huge],
    ] {
        let refused = storage.write(&batch);
        assert!(
            matches!(refused, Err(StorageError::InvalidWrite { .. })),
            "{refused:?}"
        );
    }
    let ahead = storage.compact(0, &snapshot(2, 1, b""));
    assert!(
        matches!(ahead, Err(StorageError::InvalidWrite { .. })),
        "{ahead:?}"
    );
    let large = entries_write(0, vec![entry(2, 1, &vec![1; 65 * 1024 * 1024])]);
    let refused = storage.write(&[large]);
    assert!(matches!(
        refused,
        Err(StorageError::EntryTooLarge { index: 2, .. })
    ));
    write_round(&mut storage, 1, 2);
    drop(storage);
    assert_eq!(
        open(&disk).expect("opened").groups[&0]
            .restored
            .entries
            .len(),
        2
    );
}

#[test]
fn batch_too_large_for_one_record_is_written_as_several() {
    let disk = FaultyDisk::new(1);
    let mut storage = open(&disk).expect("empty").storage;
    let command = vec![1; 23 * 1024 * 1024];
    let vote = HardState {
        term: 1,
        ..HardState::default()
    };
    let large = GroupWrite {
        hard_state: Some(vote),
        ..entries_write(0, (1..=3).map(|index| entry(index, 1, &command)).collect())
    };
    let batch = [large, entries_write(1, vec![entry(1, 1, b"small")])];
    storage.write(&batch).expect("written");
    assert_eq!(storage.counters().records, 3);
    drop(storage);
    let groups = open(&disk).expect("opened").groups;
    assert_eq!(groups[&0].restored.entries, batch[0].entries);
    assert_eq!(groups[&0].restored.hard_state, vote);
    assert_eq!(groups[&1].restored.entries, batch[1].entries);
}

#[test]
fn failure_names_operation_and_file_and_persists() {
    let disk = FaultyDisk::new(1);
    let mut storage = open(&disk).expect("empty").storage;
    let write = entries_write(0, vec![entry(1, 1, b"command")]);
    disk.fail_at(disk.counts().all + 2);
    let failed = storage
        .write(std::slice::from_ref(&write))
        .expect_err("failed sync")
        .to_string();
    assert_eq!(
        failed,
        "sync /data/segment-00000000000000000001: simulated device error"
    );
    assert_eq!(storage.failure(), Some(failed.as_str()));
    for _ in 0..2 {
        match storage.write(std::slice::from_ref(&write)) {
            Err(StorageError::Poisoned { first }) => assert_eq!(first, failed),
            other => panic!("{other:?}"),
        }
    }
    assert!(matches!(
        storage.compact(0, &snapshot(1, 1, b"")),
        Err(StorageError::Poisoned { .. })
    ));
}

#[test]
fn inspection_reports_torn_tail_and_other_files() {
    let disk = FaultyDisk::new(1);
    let mut storage = open(&disk).expect("empty").storage;
    write_round(&mut storage, 1, 1);
    drop(storage);
    let segment = "segment-00000000000000000001";
    let mut content = disk.content(&file(segment)).expect("the segment");
    let report = inspect_on(Arc::new(disk.clone()), folder()).expect("listed");
    let records_end = report.segments[0].bytes;
    let end = usize::try_from(records_end).expect("small");
    content[end..end + 3].copy_from_slice(&[1, 2, 3]);
    disk.damage(&file(segment), content);
    disk.damage(&file("notes.txt"), vec![]);
    disk.damage(&file("manifest.temporary"), vec![]);
    let operations = disk.counts();
    let report = inspect_on(Arc::new(disk.clone()), folder()).expect("listed");
    assert_eq!(disk.counts(), operations);
    let tail = report.torn_tail.expect("a torn tail");
    assert_eq!(
        (tail.file.as_str(), tail.offset, tail.bytes),
        (segment, records_end, 3)
    );
    assert_eq!(report.other_files, ["manifest.temporary", "notes.txt"]);
    assert_eq!(report.damage, []);
    assert_eq!(report.segments[0].records, 1);
    drop(open(&disk).expect("opened"));
    let remaining: Vec<PathBuf> = disk.names_in(folder()).iter().map(PathBuf::from).collect();
    assert!(remaining.contains(&PathBuf::from("notes.txt")));
    assert!(!remaining.contains(&PathBuf::from("manifest.temporary")));
}

#[test]
fn settings_out_of_range_are_reported_with_their_keys() {
    let invalid = Options {
        segment_bytes: 1,
        allocation_bytes: u64::MAX,
        ..Options::default()
    };
    let keys: Vec<_> = invalid
        .validate("control.storage")
        .into_iter()
        .map(|e| e.key)
        .collect();
    let invalid_keys = ["deployment", "segment_bytes", "allocation_bytes"];
    assert_eq!(
        keys,
        invalid_keys.map(|key| format!("control.storage.{key}"))
    );
    assert_eq!(options().validate("storage"), []);
}

/// The numbers that stand for a listing in the tests of its file.
type Listing = Vec<u64>;

#[test]
fn listing_survives_a_crash_at_every_operation_of_its_next_write() {
    let former: Listing = (0..500).collect();
    let next: Listing = (0..900).collect();
    let mut outcomes = [0, 0];
    for operation in 1.. {
        let disk = FaultyDisk::new(operation);
        let opened = open(&disk).expect("formatted");
        let file = opened.storage.listing_file();
        assert_eq!(file.read::<Listing>().expect("read"), None);
        file.write(&former).expect("written");
        let before = disk.counts().all;
        disk.crash_at(before + operation);
        let written = file.write(&next);
        let is_crashed = disk.is_crashed();
        drop((file, opened));
        disk.restart(UnsyncedLoss::Random);
        let opened = open(&disk).expect("opened");
        let read = opened.storage.listing_file().read::<Listing>();
        let read = read.expect("read").expect("a listing");
        assert!(read == former || read == next, "operation {operation}");
        assert!(written.is_err() || read == next, "operation {operation}");
        outcomes[usize::from(read == next)] += 1;
        let names = disk.names_in(folder());
        assert!(!names.iter().any(|name| name.ends_with(".temporary")));
        if !is_crashed {
            break;
        }
    }
    assert!(outcomes.iter().all(|count| *count > 0), "{outcomes:?}");
}

#[test]
fn damaged_listing_is_reported_and_does_not_stop_the_storage() {
    let disk = FaultyDisk::new(1);
    let opened = open(&disk).expect("formatted");
    let listing_file = opened.storage.listing_file();
    listing_file.write(&vec![1_u64, 2, 3]).expect("written");
    drop((listing_file, opened));
    let mut content = disk.content(&file("server-listing")).expect("a file");
    let last = content.len() - 1;
    content[last] ^= 1;
    disk.damage(&file("server-listing"), content);
    let opened = open(&disk).expect("opened");
    let listing_file = opened.storage.listing_file();
    let read = listing_file.read::<Listing>();
    assert!(
        matches!(read, Err(StorageError::Damaged { .. })),
        "{read:?}"
    );
    listing_file.write(&vec![4_u64]).expect("written");
    assert_eq!(listing_file.read::<Listing>().expect("read"), Some(vec![4]));
}

#[test]
fn full_disk_keeps_the_former_listing_and_the_storage_usable() {
    let disk = FaultyDisk::new(1);
    let mut opened = open(&disk).expect("formatted");
    let listing_file = opened.storage.listing_file();
    listing_file.write(&vec![1_u64]).expect("written");
    disk.set_free_bytes(Some(0));
    assert!(
        listing_file
            .write(&(0..9_000).collect::<Listing>())
            .is_err()
    );
    disk.set_free_bytes(None);
    assert_eq!(listing_file.read::<Listing>().expect("read"), Some(vec![1]));
    write_round(&mut opened.storage, 1, 1);
}
