//! The manifest, which lists the segments that must exist.
//!
//! Without it, a log that lost its last segment would look like a shorter log.

use sablehaven_consensus::ReplicaId;
use serde::{Deserialize, Serialize};

use crate::{
    error::StorageError,
    folder::Folder,
    format::{FileKind, MAX_DOCUMENT_BYTES, decode_whole_document, encode_document},
    group_state::MAX_NUMBER,
    names,
};

/// The range of segments that make up the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Manifest {
    pub(crate) replica: ReplicaId,
    pub(crate) first_segment: u64,
    pub(crate) last_segment: u64,
}

impl Manifest {
    /// Returns whether the segment with this number is part of the log.
    pub(crate) fn contains(&self, segment: u64) -> bool {
        (self.first_segment..=self.last_segment).contains(&segment)
    }

    pub(crate) fn read(folder: &Folder, replica: ReplicaId) -> Result<Self, StorageError> {
        let content = folder.read_existing(names::MANIFEST, MAX_DOCUMENT_BYTES)?;
        let manifest: Self = decode_whole_document(FileKind::Manifest, &content)
            .map_err(|error| folder.format_error(names::MANIFEST, error))?;
        if manifest.replica != replica {
            let reason = format!("the file belongs to replica {}", manifest.replica);
            return Err(folder.damaged(names::MANIFEST, 0, reason));
        }
        let (first, last) = (manifest.first_segment, manifest.last_segment);
        if first == 0 || first > last || last > MAX_NUMBER {
            let reason = format!("the segment range {first} to {last} is invalid");
            return Err(folder.damaged(names::MANIFEST, 0, reason));
        }
        Ok(manifest)
    }

    pub(crate) fn write(&self, folder: &Folder) -> Result<(), StorageError> {
        let content = encode_document(FileKind::Manifest, self)
            .map_err(|error| folder.encode_error(names::MANIFEST, error))?;
        folder.write_file(names::MANIFEST, &[&content])
    }
}
