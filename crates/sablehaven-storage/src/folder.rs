//! File operations in a data folder. Their errors name the operation and the file.

use std::{
    io,
    path::{Path, PathBuf},
    sync::Arc,
};

use crate::{
    disk::{Disk, DiskFile, DiskLock},
    error::{StorageError, StorageOperation},
    format::FormatError,
    names,
};

/// A data folder on a disk.
#[derive(Clone, Debug)]
pub(crate) struct Folder {
    path: PathBuf,
    disk: Arc<dyn Disk>,
}

/// A file in the data folder, opened for writing.
#[derive(Debug)]
pub(crate) struct FolderFile {
    path: PathBuf,
    file: Box<dyn DiskFile>,
}

impl Folder {
    pub(crate) fn new(path: &Path, disk: Arc<dyn Disk>) -> Self {
        Self {
            path: path.to_owned(),
            disk,
        }
    }

    pub(crate) fn path_of(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }

    pub(crate) fn create(&self) -> Result<(), StorageError> {
        let result = self.disk.create_folder(&self.path);
        result.map_err(|source| disk_error(StorageOperation::CreateFolder, &self.path, source))
    }

    pub(crate) fn lock(&self) -> Result<Box<dyn DiskLock>, StorageError> {
        let path = self.path_of(names::LOCK);
        match self.disk.lock(&path) {
            Ok(lock) => Ok(lock),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                Err(StorageError::InUse { path })
            }
            Err(source) => Err(disk_error(StorageOperation::Lock, &path, source)),
        }
    }

    /// Lists the names of the files in ascending order.
    pub(crate) fn list(&self) -> Result<Vec<String>, StorageError> {
        let result = self.disk.list(&self.path);
        let mut list =
            result.map_err(|source| disk_error(StorageOperation::List, &self.path, source))?;
        list.sort();
        Ok(list)
    }

    /// Reads a file, or returns `None` if it does not exist. A file longer than `limit` bytes
    /// counts as damaged.
    pub(crate) fn read(&self, name: &str, limit: u64) -> Result<Option<Vec<u8>>, StorageError> {
        let path = self.path_of(name);
        match self.disk.read(&path, limit) {
            Ok(content) => Ok(Some(content)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) if error.kind() == io::ErrorKind::FileTooLarge => {
                let reason = format!("the file is longer than its maximum of {limit} bytes");
                Err(self.damaged(name, limit, reason))
            }
            Err(source) => Err(disk_error(StorageOperation::Read, &path, source)),
        }
    }

    /// Reads a file that must exist.
    pub(crate) fn read_existing(&self, name: &str, limit: u64) -> Result<Vec<u8>, StorageError> {
        let content = self.read(name, limit)?;
        content.ok_or_else(|| self.damaged(name, 0, "the file is missing"))
    }

    pub(crate) fn create_file(&self, name: &str) -> Result<FolderFile, StorageError> {
        let path = self.path_of(name);
        match self.disk.create(&path) {
            Ok(file) => Ok(FolderFile { path, file }),
            Err(source) => Err(disk_error(StorageOperation::Create, &path, source)),
        }
    }

    pub(crate) fn open_file(&self, name: &str) -> Result<FolderFile, StorageError> {
        let path = self.path_of(name);
        match self.disk.open(&path) {
            Ok(file) => Ok(FolderFile { path, file }),
            Err(source) => Err(disk_error(StorageOperation::Open, &path, source)),
        }
    }

    /// Replaces a whole file atomically and durably. A crash leaves either the previous file or the
    /// complete new one.
    pub(crate) fn write_file(&self, name: &str, parts: &[&[u8]]) -> Result<(), StorageError> {
        let temporary = names::temporary(name);
        let mut file = self.create_file(&temporary)?;
        let mut offset = 0;
        for part in parts {
            file.write_at(offset, part)?;
            offset += part.len() as u64;
        }
        // The content must be durable before the rename. Otherwise a crash could leave a file of
        // this name with only a part of the content.
        file.sync()?;
        let (from, to) = (self.path_of(&temporary), self.path_of(name));
        let result = self.disk.rename(&from, &to);
        result.map_err(|source| disk_error(StorageOperation::Rename, &from, source))?;
        self.sync()
    }

    pub(crate) fn remove(&self, name: &str) -> Result<(), StorageError> {
        let path = self.path_of(name);
        let result = self.disk.remove(&path);
        result.map_err(|source| disk_error(StorageOperation::Remove, &path, source))
    }

    pub(crate) fn sync(&self) -> Result<(), StorageError> {
        let result = self.disk.sync_folder(&self.path);
        result.map_err(|source| disk_error(StorageOperation::SyncFolder, &self.path, source))
    }

    pub(crate) fn damaged(
        &self,
        name: &str,
        offset: u64,
        reason: impl Into<String>,
    ) -> StorageError {
        StorageError::Damaged {
            path: self.path_of(name),
            offset,
            reason: reason.into(),
        }
    }

    pub(crate) fn format_error(&self, name: &str, error: FormatError) -> StorageError {
        match error {
            FormatError::UnknownVersion(found) => StorageError::UnknownVersion {
                path: self.path_of(name),
                found,
                known: crate::format::FORMAT_VERSION,
            },
            FormatError::Damaged { offset, reason } => self.damaged(name, offset, reason),
        }
    }

    pub(crate) fn encode_error(&self, name: &str, error: rmp_serde::encode::Error) -> StorageError {
        let source = io::Error::new(io::ErrorKind::InvalidData, error);
        disk_error(StorageOperation::Encode, &self.path_of(name), source)
    }
}

impl FolderFile {
    pub(crate) fn write_at(&mut self, offset: u64, bytes: &[u8]) -> Result<(), StorageError> {
        let result = self.file.write_at(offset, bytes);
        result.map_err(|source| disk_error(StorageOperation::Write, &self.path, source))
    }

    pub(crate) fn truncate(&mut self, length: u64) -> Result<(), StorageError> {
        let result = self.file.truncate(length);
        result.map_err(|source| disk_error(StorageOperation::Truncate, &self.path, source))
    }

    pub(crate) fn sync(&mut self) -> Result<(), StorageError> {
        let result = self.file.sync();
        result.map_err(|source| disk_error(StorageOperation::Sync, &self.path, source))
    }
}

fn disk_error(operation: StorageOperation, path: &Path, source: io::Error) -> StorageError {
    StorageError::Disk {
        operation,
        path: path.to_owned(),
        source,
    }
}
