//! The identity of a data folder: the replica and the deployment that it belongs to.

use sablehaven_consensus::ReplicaId;
use serde::{Deserialize, Serialize};

use crate::{
    error::StorageError,
    folder::Folder,
    format::{
        FORMAT_VERSION, FileKind, MAX_DOCUMENT_BYTES, decode_whole_document, encode_document,
    },
    names,
};

/// The identity of a data folder. It is created when the folder is formatted and never changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The replica's id, a random number. A replica whose disk was lost or emptied therefore starts
    /// with a different id.
    pub replica: ReplicaId,
    /// The deployment's name.
    pub deployment: String,
    /// The format version of the folder's files.
    pub format_version: u32,
}

impl Identity {
    /// Creates the identity for a folder that is being formatted.
    pub(crate) fn random(deployment: &str) -> Self {
        Self {
            replica: ReplicaId(rand::random()),
            deployment: deployment.to_owned(),
            format_version: FORMAT_VERSION,
        }
    }

    /// Reads the identity, or returns `None` if the folder has none.
    pub(crate) fn read(folder: &Folder) -> Result<Option<Self>, StorageError> {
        let Some(content) = folder.read(names::IDENTITY, MAX_DOCUMENT_BYTES)? else {
            return Ok(None);
        };
        let identity = decode_whole_document(FileKind::Identity, &content)
            .map_err(|error| folder.format_error(names::IDENTITY, error))?;
        Ok(Some(identity))
    }

    pub(crate) fn write(&self, folder: &Folder) -> Result<(), StorageError> {
        let content = encode_document(FileKind::Identity, self)
            .map_err(|error| folder.encode_error(names::IDENTITY, error))?;
        folder.write_file(names::IDENTITY, &[&content])
    }
}
