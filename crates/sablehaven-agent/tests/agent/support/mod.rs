//! What the tests share.

pub mod backend;
pub mod bed;
pub mod caller;
pub mod ledger;
pub mod policy;
pub mod relay;
pub mod schema;

use std::time::{Duration, Instant};

/// Longest wait for a condition; generous, because the machine may be busy.
pub const LIMIT: Duration = Duration::from_secs(30);

/// Waits until `condition` holds.
pub async fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < LIMIT, "not within {LIMIT:?}: {what}");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}
