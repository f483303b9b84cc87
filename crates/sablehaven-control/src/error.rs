//! Errors of starting a control replica.

use std::net::SocketAddr;

use sablehaven_storage::StorageError;
use sablehaven_types::SettingError;

use crate::codec::CodecError;

/// Why a control replica did not start. Each error names the step that failed and where it failed.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum StartError {
    /// check settings: {errors:?}
    Settings {
        /// All invalid settings.
        errors: Vec<SettingError>,
    },
    /// listen on {address}: {source}
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// open data folder: {source}
    Storage {
        /// The cause, which names the file.
        source: StorageError,
    },
    /// restore group {group}: {source}
    Restore {
        /// The consensus group.
        group: u32,
        /// The cause.
        source: CodecError,
    },
    /// open data folder: it contains {stored} ledger groups, but the settings configure {configured}
    LedgerGroups {
        /// The number of groups in the data folder.
        stored: u32,
        /// The number of groups in the settings.
        configured: u32,
    },
    /// start storage thread: {source}
    StorageThread {
        /// The cause.
        source: std::io::Error,
    },
}
