//! Why a control replica did not start.

use std::net::SocketAddr;

use sablehaven_storage::StorageError;
use sablehaven_types::SettingError;

use crate::codec::CodecError;

/// Why a control replica did not start; each error names the step and the place.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum StartError {
    /// check settings: {errors:?}
    Settings {
        /// Every setting that cannot be used.
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
        /// The cause, with the file.
        source: StorageError,
    },
    /// restore group {group}: {source}
    Restore {
        /// The consensus group.
        group: u32,
        /// The cause.
        source: CodecError,
    },
    /// open data folder: it holds {stored} ledger groups, settings say {configured}
    LedgerGroups {
        /// In the data folder.
        stored: u32,
        /// In the settings.
        configured: u32,
    },
    /// start storage thread: {source}
    StorageThread {
        /// The cause.
        source: std::io::Error,
    },
}
