//! How far a tenant's requests may go beyond its quota.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::RequestQuota;

/// How far a tenant's requests may go beyond its quota: in any window they stay under the quota's rate times the window
/// plus its burst, times one and `excess_permille` thousandths, plus `slack`. The same for all processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct QuotaTolerance {
    /// The window's length, in milliseconds.
    pub window_ms: u64,
    /// Part of the quota that may come on top of it, in thousandths.
    pub excess_permille: u32,
    /// Requests a window that may come on top of that.
    pub slack: u32,
}

impl Default for QuotaTolerance {
    fn default() -> Self {
        Self {
            window_ms: 1_000,
            excess_permille: 0,
            slack: 0,
        }
    }
}

impl QuotaTolerance {
    /// The window's length.
    pub fn window(&self) -> Duration {
        Duration::from_millis(self.window_ms)
    }

    /// The part that may come on top of a quota; 0 for none.
    pub fn excess(&self) -> f64 {
        f64::from(self.excess_permille) / 1_000.0
    }

    /// The most requests in one window.
    pub fn bound(&self, quota: RequestQuota) -> f64 {
        let window = quota.per_second * self.window().as_secs_f64();
        (window + quota.burst) * (1.0 + self.excess()) + f64::from(self.slack)
    }
}
