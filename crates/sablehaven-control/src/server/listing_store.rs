//! Keeps the latest server listing in the data folder.
//!
//! Gateways have no disk, and the platform's list may be unreadable after a restart. Without a stored listing, a
//! deployment that restarts as a whole could serve nothing until the list can be read again.

use std::{sync::Arc, time::Duration};

use sablehaven_storage::{ListingFile, StorageError};
use sablehaven_types::ServerListing;
use tokio::time::sleep;

use super::context::Context;

/// Minimum time between two writes. The file lags behind the listing by this time at most, unless writes fail.
const WRITE_INTERVAL: Duration = Duration::from_secs(2);

/// The listing in the data folder.
pub(super) struct ListingStore {
    file: ListingFile,
    restored: ServerListing,
}

impl ListingStore {
    /// Reads the listing that was stored last. A listing that cannot be read is logged and ignored.
    pub(super) async fn open(file: ListingFile) -> Self {
        let reader = file.clone();
        let read = run_blocking(move || reader.read::<ServerListing>()).await;
        let restored = read.unwrap_or_else(|error| {
            log::warn!(event = "listing_restore_failed", reason:% = error; "cannot read the stored list of servers");
            None
        });
        if let Some(listing) = &restored {
            let number = listing.number;
            log::info!(
                event = "listing_restored", term = number.term, reading = number.reading,
                servers = listing.servers.len();
                "restored the list of servers"
            );
        }
        Self {
            file,
            restored: restored.unwrap_or_default(),
        }
    }

    /// Returns the listing that was stored last, or the default one.
    pub(super) fn restored(&self) -> ServerListing {
        self.restored.clone()
    }

    /// Stores each new listing. Listings that replace one another within the interval cost one write.
    pub(super) async fn store_changes(self, context: Arc<Context>) {
        let mut listings = context.gateways.listing();
        let mut stored = self.restored.number;
        let mut is_failing = false;
        loop {
            let changed = listings.wait_for(|listing| listing.number != stored).await;
            let Ok(listing) = changed.map(|listing| Arc::clone(&listing)) else {
                return;
            };
            let number = listing.number;
            let file = self.file.clone();
            let result = run_blocking(move || file.write(&*listing)).await;
            log_transition(&result, &mut is_failing);
            match result {
                Ok(()) => stored = number,
                Err(_) => context.metrics.error("store_listing"),
            }
            sleep(WRITE_INTERVAL).await;
        }
    }
}

/// Runs a file operation on a blocking thread.
async fn run_blocking<T: Send + 'static>(
    operation: impl FnOnce() -> Result<T, StorageError> + Send + 'static,
) -> Result<T, StorageError> {
    match tokio::task::spawn_blocking(operation).await {
        Ok(result) => result,
        Err(panicked) => std::panic::resume_unwind(panicked.into_panic()),
    }
}

/// Logs the first failure and the first success after failures.
fn log_transition(result: &Result<(), StorageError>, is_failing: &mut bool) {
    match result {
        Err(error) if !*is_failing => log::warn!(
            event = "listing_store_failed", reason:% = error;
            "cannot store the list of servers; the former one stays in the data folder"
        ),
        Ok(()) if *is_failing => {
            log::info!(event = "listing_stored"; "storing the list of servers works again");
        }
        _ => {}
    }
    *is_failing = result.is_err();
}
