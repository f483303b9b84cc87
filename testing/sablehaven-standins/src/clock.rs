//! The clock of records.

use std::time::{SystemTime, UNIX_EPOCH};

use sablehaven_history::MicrosecondsSinceEpoch;

/// Now, in microseconds since the Unix epoch.
pub fn now() -> MicrosecondsSinceEpoch {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |elapsed| elapsed.as_micros() as u64)
}

/// Now, in milliseconds since the Unix epoch.
pub fn now_ms() -> u64 {
    now() / 1_000
}
