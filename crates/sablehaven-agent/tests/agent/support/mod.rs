//! Helpers shared by the tests.

pub mod backend;
pub mod bed;
pub mod caller;
pub mod ledger;
pub mod policy;
pub mod relay;
pub mod schema;

use std::time::{Duration, Instant};

/// Maximum wait for a condition. It is long because the machine may be busy.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Waits until `condition` holds, and panics after [`WAIT_TIMEOUT`].
pub async fn eventually(description: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "not within {WAIT_TIMEOUT:?}: {description}"
        );
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}
