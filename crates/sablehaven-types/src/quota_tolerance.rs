//! The tolerance by which a tenant's requests may exceed its quota.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::RequestQuota;

/// The tolerance by which a tenant's requests may exceed its quota. In any window, the number of requests is at most
/// `(rate * window + burst) * (1 + excess) + slack`. All processes use the same tolerance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct QuotaTolerance {
    /// The length of the window, in milliseconds.
    pub window_ms: u64,
    /// The excess over the quota that is allowed, in thousandths of the quota.
    pub excess_permille: u32,
    /// The number of requests per window that are allowed in addition to the quota and its excess.
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
    /// Returns the length of the window.
    pub fn window(&self) -> Duration {
        Duration::from_millis(self.window_ms)
    }

    /// Returns the allowed excess as a fraction of the quota; 0 for none.
    pub fn excess(&self) -> f64 {
        f64::from(self.excess_permille) / 1_000.0
    }

    /// Returns the maximum number of requests in one window.
    pub fn bound(&self, quota: RequestQuota) -> f64 {
        let refilled = quota.per_second * self.window().as_secs_f64();
        (refilled + quota.burst) * (1.0 + self.excess()) + f64::from(self.slack)
    }
}
