//! Waiting for a condition, and the time of day.

use std::{
    future::Future,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::HarnessError;

/// Time after which a wait fails. Generous, since it only guards against a hang.
pub const WAIT_LIMIT: Duration = Duration::from_secs(60);

/// Pause between two looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// Looks until `look` gives a value. An `Err` says what was seen instead.
pub async fn until<Value, Looked>(
    what: &str,
    mut look: impl FnMut() -> Looked,
) -> Result<Value, HarnessError>
where
    Looked: Future<Output = Result<Value, String>>,
{
    let end = Instant::now() + WAIT_LIMIT;
    loop {
        let last = match look().await {
            Ok(value) => return Ok(value),
            Err(last) => last,
        };
        if Instant::now() >= end {
            return Err(HarnessError::Wait {
                what: what.to_owned(),
                last,
            });
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}

/// The time now, in milliseconds since the Unix epoch.
pub fn now_ms() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}
