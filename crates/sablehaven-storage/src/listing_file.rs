//! The file with the latest server listing. A replica reads it at its start, and gets a newer listing later; a missing or
//! damaged file is therefore no reason not to start.

use std::sync::Arc;

use serde::{Serialize, de::DeserializeOwned};

use crate::{
    disk::DiskLock,
    error::StorageError,
    folder::Folder,
    format::{FileKind, decode_whole_document, encode_document},
    names,
};

/// The maximum size of the file; 7,000 servers take about 1 MB.
const MAX_LISTING_BYTES: u64 = 16 * 1024 * 1024;

/// The file with the latest server listing. It is read and written independently of the log. The data folder stays
/// locked while this exists, even after the [`crate::Storage`] is dropped.
#[derive(Clone, Debug)]
pub struct ListingFile {
    folder: Folder,
    _lock: Arc<dyn DiskLock>,
}

impl ListingFile {
    pub(crate) fn new(folder: Folder, lock: Arc<dyn DiskLock>) -> Self {
        Self {
            folder,
            _lock: lock,
        }
    }

    /// Reads the listing. Returns `None` if none was written.
    ///
    /// # Errors
    /// - [`StorageError::Damaged`] or [`StorageError::UnknownVersion`] if the file cannot be decoded
    /// - [`StorageError::Disk`] if a file operation fails
    pub fn read<Listing: DeserializeOwned>(&self) -> Result<Option<Listing>, StorageError> {
        let Some(content) = self.folder.read(names::LISTING, MAX_LISTING_BYTES)? else {
            return Ok(None);
        };
        let listing = decode_whole_document(FileKind::Listing, &content);
        listing.map_err(|error| self.folder.format_error(names::LISTING, error))
    }

    /// Replaces the listing atomically and durably. At most one call at a time may write it.
    ///
    /// # Errors
    /// Returns [`StorageError::Disk`] if a file operation fails. The former listing then stays in the file, and the
    /// storage itself stays usable.
    pub fn write<Listing: Serialize>(&self, listing: &Listing) -> Result<(), StorageError> {
        let content = encode_document(FileKind::Listing, listing)
            .map_err(|error| self.folder.encode_error(names::LISTING, error))?;
        self.folder.write_file(names::LISTING, &[&content])
    }
}
