//! Recovery from mutated, truncated and spliced files. It must not panic or allocate more memory
//! than the files' size, and must return either the written state or an error that names a file.

mod support;

use std::sync::{Arc, LazyLock};

use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, RngSeed},
};
use sablehaven_faults::disk::FaultyDisk;
use sablehaven_storage::inspect_on;
use support::{Model, file, folder, open, written_disk};

/// File names and contents.
type Files = Vec<(String, Vec<u8>)>;

/// The files of a written folder and the state that they contain.
static WRITTEN: LazyLock<(Files, Model)> = LazyLock::new(|| {
    let (disk, model) = written_disk(11, 24);
    let names = disk.names_in(folder()).into_iter();
    let files = names.map(|name| {
        let content = disk.content(&file(&name)).expect("listed");
        (name, content)
    });
    (files.collect(), model)
});

/// A change to one file. Each position is scaled to the file's length.
#[derive(Clone, Debug)]
enum Mutation {
    Overwrite {
        at: prop::sample::Index,
        bytes: Vec<u8>,
    },
    Insert {
        at: prop::sample::Index,
        bytes: Vec<u8>,
    },
    Remove {
        at: prop::sample::Index,
        length: usize,
    },
    Truncate {
        at: prop::sample::Index,
    },
    Repeat {
        at: prop::sample::Index,
        length: usize,
    },
    /// Overwrites 4 bytes with `0xff`, which makes a length or a count huge.
    HugeNumber {
        at: prop::sample::Index,
    },
    Replace {
        bytes: Vec<u8>,
    },
}

fn mutation() -> impl Strategy<Value = Mutation> {
    let at = any::<prop::sample::Index>;
    prop_oneof![
        (at(), vec(any::<u8>(), 1..40)).prop_map(|(at, bytes)| Mutation::Overwrite { at, bytes }),
        (at(), vec(any::<u8>(), 1..40)).prop_map(|(at, bytes)| Mutation::Insert { at, bytes }),
        (at(), 1..600usize).prop_map(|(at, length)| Mutation::Remove { at, length }),
        at().prop_map(|at| Mutation::Truncate { at }),
        (at(), 1..600usize).prop_map(|(at, length)| Mutation::Repeat { at, length }),
        at().prop_map(|at| Mutation::HugeNumber { at }),
        vec(any::<u8>(), 0..200).prop_map(|bytes| Mutation::Replace { bytes }),
    ]
}

fn mutate(content: &mut Vec<u8>, mutation: &Mutation) {
    let length = content.len();
    let position = |at: &prop::sample::Index| if length == 0 { 0 } else { at.index(length) };
    match mutation {
        Mutation::Overwrite { at, bytes } => overwrite(content, position(at), bytes),
        Mutation::HugeNumber { at } => overwrite(content, position(at), &[0xff; 4]),
        Mutation::Insert { at, bytes } => {
            content.splice(position(at)..position(at), bytes.iter().copied());
        }
        Mutation::Remove {
            at,
            length: removed,
        } => {
            let end = (position(at) + removed).min(length);
            content.drain(position(at)..end);
        }
        Mutation::Truncate { at } => content.truncate(position(at)),
        Mutation::Repeat {
            at,
            length: repeated,
        } => {
            let end = (position(at) + repeated).min(length);
            let part = content[position(at)..end].to_vec();
            content.splice(end..end, part);
        }
        Mutation::Replace { bytes } => *content = bytes.clone(),
    }
}

fn overwrite(content: &mut [u8], at: usize, bytes: &[u8]) {
    let target = &mut content[at..];
    let length = target.len().min(bytes.len());
    target[..length].copy_from_slice(&bytes[..length]);
}

const FILE_HEADER_BYTES: usize = 16;
const FRAME_HEADER_BYTES: usize = 20;

/// Encodes a frame with valid checksums, so that the payload reaches the decoder.
fn frame(seed: u32, sequence: u64, payload: &[u8]) -> Vec<u8> {
    let mut frame = (payload.len() as u32).to_le_bytes().to_vec();
    frame.extend_from_slice(&sequence.to_le_bytes());
    frame.extend_from_slice(&crc32c::crc32c_append(seed, payload).to_le_bytes());
    let checksum = crc32c::crc32c_append(seed, &frame);
    frame.extend_from_slice(&checksum.to_le_bytes());
    frame.extend_from_slice(payload);
    frame
}

fn frame_length(bytes: &[u8]) -> usize {
    let length = bytes[..4].try_into().expect("4 bytes");
    FRAME_HEADER_BYTES + u32::from_le_bytes(length) as usize
}

/// Inspects and opens the folder. Neither may panic.
fn try_open(files: &[(String, Vec<u8>)]) -> Result<(), String> {
    let disk = disk_with(files);
    inspect_on(Arc::new(disk.clone()), folder()).expect("listed");
    open(&disk).map(drop).map_err(|error| error.to_string())
}

fn disk_with(files: &[(String, Vec<u8>)]) -> FaultyDisk {
    let disk = FaultyDisk::new(1);
    for (name, content) in files {
        disk.damage(&file(name), content.clone());
    }
    disk
}

fn config(seed: u64) -> Config {
    Config {
        cases: 1500,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config(20))]

    #[test]
    fn mutated_files_yield_the_written_state_or_an_error(
        which_file in any::<prop::sample::Index>(),
        mutations in vec(mutation(), 1..4),
    ) {
        let (mut files, model) = WRITTEN.clone();
        let file_index = which_file.index(files.len());
        for mutation in &mutations {
            mutate(&mut files[file_index].1, mutation);
        }
        let disk = disk_with(&files);
        let inspection = inspect_on(Arc::new(disk.clone()), folder()).expect("listed");
        match open(&disk) {
            Ok(opened) => {
                // The synced position exposes any acknowledged record that is missing. If the
                // mutated file is the synced position itself, the log is intact.
                prop_assert_eq!(opened.groups, model);
                prop_assert!(inspection.damage.is_empty(), "{:?}", inspection.damage);
            }
            Err(error) => {
                prop_assert!(error.to_string().contains("/data/"), "{}", error);
                prop_assert!(!inspection.damage.is_empty());
            }
        }
    }

    #[test]
    fn any_payload_with_valid_checksums_is_decoded_or_refused(
        which_file in any::<prop::sample::Index>(),
        payload in vec(any::<u8>(), 0..120),
    ) {
        let (mut files, _) = WRITTEN.clone();
        let file_index = which_file.index(files.len());
        files[file_index].1.truncate(FILE_HEADER_BYTES);
        files[file_index].1.extend(frame(0, 0, &payload));
        if let Err(error) = try_open(&files) {
            prop_assert!(error.contains("/data/"), "{}", error);
        }
    }

    #[test]
    fn mutated_header_or_record_with_valid_checksums_is_decoded_or_refused(
        in_header in any::<bool>(),
        mutations in vec(mutation(), 1..3),
    ) {
        let (mut files, _) = WRITTEN.clone();
        let replica = open(&disk_with(&files)).expect("intact").identity.replica;
        let segment = files.iter_mut().find(|(name, _)| name.starts_with("segment-"));
        let content = &mut segment.expect("a segment").1;
        let header_end = FILE_HEADER_BYTES + frame_length(&content[FILE_HEADER_BYTES..]);
        let begin = if in_header { FILE_HEADER_BYTES } else { header_end };
        let end = begin + frame_length(&content[begin..]);
        let mut payload = content[begin + FRAME_HEADER_BYTES..end].to_vec();
        for mutation in &mutations {
            mutate(&mut payload, mutation);
        }
        let seed = if in_header { 0 } else { crc32c::crc32c(&replica.0.to_le_bytes()) };
        let sequence = u64::from_le_bytes(content[begin + 4..begin + 12].try_into().expect("8 bytes"));
        content.splice(begin..end, frame(seed, sequence, &payload));
        if let Err(error) = try_open(&files) {
            prop_assert!(error.contains("/data/"), "{}", error);
        }
    }
}
