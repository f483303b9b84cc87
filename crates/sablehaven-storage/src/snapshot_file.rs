//! Snapshot files. Each consists of a header, which repeats the reference in the log, and the state
//! machine's data.

use sablehaven_consensus::{ReplicaId, Snapshot};
use serde::{Deserialize, Serialize};

use crate::{
    error::StorageError,
    folder::Folder,
    format::{
        FILE_HEADER_BYTES, FRAME_HEADER_BYTES, FileKind, MAX_DOCUMENT_BYTES, decode_document,
        encode_document,
    },
    names,
    record::SnapshotReference,
};

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct SnapshotHeader {
    replica: ReplicaId,
    group: u32,
    reference: SnapshotReference,
}

/// Creates the reference by which the log identifies a snapshot.
pub(crate) fn reference_of(snapshot: &Snapshot) -> SnapshotReference {
    SnapshotReference {
        metadata: snapshot.metadata.clone(),
        data_bytes: snapshot.data.len() as u64,
        data_checksum: crc32c::crc32c(&snapshot.data),
    }
}

/// Writes a snapshot file durably.
pub(crate) fn write(
    folder: &Folder,
    replica: ReplicaId,
    group: u32,
    reference: &SnapshotReference,
    data: &[u8],
) -> Result<(), StorageError> {
    let name = names::snapshot(group, reference);
    let header = SnapshotHeader {
        replica,
        group,
        reference: reference.clone(),
    };
    let header = encode_document(FileKind::Snapshot, &header)
        .map_err(|error| folder.encode_error(&name, error))?;
    folder.write_file(&name, &[&header, data])
}

/// Reads the data of a snapshot that the log refers to, and checks it against the reference.
pub(crate) fn read(
    folder: &Folder,
    replica: ReplicaId,
    group: u32,
    reference: &SnapshotReference,
) -> Result<Vec<u8>, StorageError> {
    let name = names::snapshot(group, reference);
    let overhead = (FILE_HEADER_BYTES + FRAME_HEADER_BYTES) as u64 + MAX_DOCUMENT_BYTES;
    let limit = reference.data_bytes.saturating_add(overhead);
    let mut content = folder.read_existing(&name, limit)?;
    let (header, data_begin) = decode_document::<SnapshotHeader>(FileKind::Snapshot, &content)
        .map_err(|error| folder.format_error(&name, error))?;
    let expected = SnapshotHeader {
        replica,
        group,
        reference: reference.clone(),
    };
    if header != expected {
        let reason = "the file is not the snapshot that the log refers to";
        return Err(folder.damaged(&name, FILE_HEADER_BYTES as u64, reason));
    }
    // Removes the header in place, since a copy of the data would double the memory needed.
    content.drain(..data_begin);
    let data = content;
    if data.len() as u64 != reference.data_bytes {
        let reason = format!(
            "found {} bytes of data where {} were expected",
            data.len(),
            reference.data_bytes
        );
        return Err(folder.damaged(&name, data_begin as u64, reason));
    }
    if crc32c::crc32c(&data) != reference.data_checksum {
        let reason = "the data does not match its checksum";
        return Err(folder.damaged(&name, data_begin as u64, reason));
    }
    Ok(data)
}
