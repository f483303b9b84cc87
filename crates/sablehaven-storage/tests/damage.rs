//! Damages the files of a data folder. The damage must be reported with the file, no record may be
//! skipped, and no acknowledged record may be truncated as a torn tail.

mod support;

use sablehaven_faults::disk::{FaultyDisk, UnsyncedLoss};
use sablehaven_storage::{FORMAT_VERSION, StorageError, inspect_on};
use std::sync::Arc;
use support::{Model, entries_write, entry, file, folder, open, options, written_disk};

/// Files whose content does not affect the recovered state of an intact log.
const ADVISORY: [&str; 2] = ["lock", "synced-position"];

fn segments(disk: &FaultyDisk) -> Vec<String> {
    let mut names = disk.names_in(folder());
    names.retain(|name| name.starts_with("segment-"));
    names
}

fn content(disk: &FaultyDisk, name: &str) -> Vec<u8> {
    disk.content(&file(name)).expect("the file exists")
}

/// Returns the end of a file's content: the end of the last record for a segment, or the file's
/// length for any other file.
fn stored_end(disk: &FaultyDisk, name: &str) -> usize {
    let inspection = inspect_on(Arc::new(disk.clone()), folder()).expect("listed");
    let segment = inspection
        .segments
        .iter()
        .find(|segment| segment.file == name);
    match segment {
        Some(segment) => usize::try_from(segment.bytes).expect("small"),
        None => content(disk, name).len(),
    }
}

/// Checks that opening a damaged folder fails with an error that names the damaged file, and that
/// the inspection reports the file.
fn assert_refused(disk: &FaultyDisk, name: &str, case: &str) {
    match open(disk) {
        Err(StorageError::Damaged { path, .. } | StorageError::UnknownVersion { path, .. }) => {
            assert_eq!(path, file(name), "{case}");
        }
        Err(error) => panic!("{case}: {error}"),
        Ok(_) => panic!("{case}: accepted"),
    }
    let inspection = inspect_on(Arc::new(disk.clone()), folder()).expect("listed");
    let reported = inspection.damage.iter().any(|damage| damage.file == name);
    assert!(reported, "{case}: {:?}", inspection.damage);
}

#[test]
fn every_flipped_bit_is_reported_with_its_file() {
    let (disk, model) = written_disk(3, 12);
    assert!(segments(&disk).len() > 1);
    for name in disk.names_in(folder()) {
        let original = content(&disk, &name);
        let stored_end = stored_end(&disk, &name);
        let is_last_segment = segments(&disk).last() == Some(&name);
        for offset in 0..original.len() {
            let mut damaged = original.clone();
            damaged[offset] ^= 1 << (offset % 8);
            disk.damage(&file(&name), damaged);
            if ADVISORY.contains(&name.as_str()) {
                let opened = open(&disk).expect("the file is advisory");
                assert_eq!(opened.groups, model);
            } else if is_last_segment && offset >= stored_end {
                // Damage in the space after the last record is truncated like a torn tail.
                let opened = open(&disk).expect("the damage is after the last record");
                assert_eq!(opened.groups, model);
                assert_eq!(
                    opened.truncated_tail.expect("a tail was truncated").offset,
                    stored_end as u64
                );
            } else {
                assert_refused(&disk, &name, &format!("{name} at {offset}"));
            }
        }
        disk.damage(&file(&name), original);
    }
    assert_eq!(open(&disk).expect("the original files").groups, model);
}

#[test]
fn every_truncated_or_lost_file_is_reported() {
    let (disk, model) = written_disk(4, 12);
    assert!(segments(&disk).len() > 1);
    for name in disk.names_in(folder()) {
        if ADVISORY.contains(&name.as_str()) {
            continue;
        }
        let original = content(&disk, &name);
        for length in 0..stored_end(&disk, &name) {
            disk.damage(&file(&name), original[..length].to_vec());
            assert_refused(&disk, &name, &format!("{name} truncated to {length}"));
        }
        disk.lose_file(&file(&name));
        assert_refused(&disk, &name, &format!("{name} lost"));
        disk.damage(&file(&name), original);
    }
    assert_eq!(open(&disk).expect("the original files").groups, model);
}

/// A power failure may lose the synced position. Without it, damage to any record before the last
/// one must still not be treated as a torn tail.
#[test]
fn damage_before_the_last_record_is_not_treated_as_a_torn_tail() {
    let (disk, _) = written_disk(5, 24);
    let before = segments(&disk);
    let mut storage = open(&disk).expect("intact").storage;
    let (group, index) = (9, 1);
    // The command ends in zeros, like the allocated space after the record.
    let last = [entries_write(group, vec![entry(index, 1, &[1, 0, 0])])];
    let name = segments(&disk).pop().expect("a segment");
    let last_record_offset = stored_end(&disk, &name);
    storage.write(&last).expect("written");
    drop(storage);
    assert_eq!(
        segments(&disk),
        before,
        "the last record is in the same segment"
    );
    disk.lose_file(&file("synced-position"));
    let original = content(&disk, &name);
    for offset in 0..last_record_offset {
        let mut damaged = original.clone();
        damaged[offset] ^= 0x40;
        disk.damage(&file(&name), damaged);
        assert_refused(&disk, &name, &format!("at {offset}"));
    }
    // Damage to the last record is indistinguishable from a torn write.
    disk.damage(&file(&name), original);
    let end = stored_end(&disk, &name);
    let torn = content(&disk, &name)[..end - 1].to_vec();
    disk.damage(&file(&name), torn);
    let tail = open(&disk)
        .expect("a torn tail is accepted")
        .truncated_tail
        .expect("a tail was truncated");
    assert_eq!(tail.offset, last_record_offset as u64);
    assert_eq!(tail.path, file(&name));
}

/// Simulates a faulty recovery that truncates the log at the first damage, and checks that the
/// comparison with the model detects the lost records.
#[test]
fn model_comparison_detects_truncation_at_the_first_damage() {
    let disk = FaultyDisk::new(1);
    let mut storage = open(&disk).expect("empty").storage;
    let name = segments(&disk).pop().expect("a segment");
    let first_record_offset = stored_end(&disk, &name);
    for index in 1..4 {
        let batch = [entries_write(0, vec![entry(index, 1, b"command")])];
        storage.write(&batch).expect("written");
    }
    drop(storage);
    let model: Model = open(&disk).expect("intact").groups;
    let truncated = content(&disk, &name)[..first_record_offset].to_vec();
    disk.lose_file(&file("synced-position"));
    disk.damage(&file(&name), truncated);
    assert_ne!(open(&disk).expect("looks intact").groups, model);
}

#[test]
fn torn_tail_is_truncated_durably() {
    let (disk, model) = written_disk(6, 10);
    let name = segments(&disk).pop().expect("a segment");
    let end = stored_end(&disk, &name);
    let mut whole = content(&disk, &name);
    whole.truncate(end);
    let mut torn = whole.clone();
    torn.extend_from_slice(&whole[whole.len() - 60..]);
    torn.extend_from_slice(&[0; 700]);
    disk.damage(&file(&name), torn);
    let opened = open(&disk).expect("a torn tail is accepted");
    let tail = opened.truncated_tail.expect("a tail was truncated");
    assert_eq!((tail.offset, tail.bytes), (whole.len() as u64, 60));
    assert_eq!(opened.groups, model);
    drop(opened.storage);
    disk.restart(UnsyncedLoss::All);
    assert_eq!(content(&disk, &name), whole);
    assert_eq!(open(&disk).expect("intact").truncated_tail, None);
}

#[test]
fn unknown_versions_are_refused_with_the_version() {
    let (disk, _) = written_disk(8, 24);
    for name in disk.names_in(folder()) {
        if ADVISORY.contains(&name.as_str()) {
            continue;
        }
        let original = content(&disk, &name);
        let mut later = original.clone();
        later[8..12].copy_from_slice(&(FORMAT_VERSION + 1).to_le_bytes());
        let checksum = crc32c::crc32c(&later[..12]);
        later[12..16].copy_from_slice(&checksum.to_le_bytes());
        disk.damage(&file(&name), later);
        match open(&disk) {
            Err(StorageError::UnknownVersion { path, found, known }) => {
                assert_eq!((path, found), (file(&name), FORMAT_VERSION + 1));
                assert_eq!(known, FORMAT_VERSION);
            }
            other => panic!("{name}: {other:?}"),
        }
        disk.damage(&file(&name), original);
    }
}

#[test]
fn segment_of_another_replica_is_refused() {
    let (disk, _) = written_disk(9, 5);
    let (other, _) = written_disk(10, 5);
    let name = segments(&disk).pop().expect("a segment");
    disk.damage(&file(&name), content(&other, &name));
    assert_refused(&disk, &name, "swapped");
}

#[test]
fn damaged_folder_is_not_modified() {
    let (disk, _) = written_disk(3, 24);
    let name = &segments(&disk)[0];
    let mut damaged = content(&disk, name);
    let middle = damaged.len() / 2;
    damaged[middle] ^= 1;
    disk.damage(&file(name), damaged);
    disk.damage(&file("segment-00000000000000000000"), vec![1]);
    let before = disk.names_in(folder());
    let operations = disk.counts().all;
    assert!(open(&disk).is_err());
    assert_eq!(disk.names_in(folder()), before);
    assert_eq!(disk.counts().all, operations);
    assert_eq!(options().deployment, "test");
}
