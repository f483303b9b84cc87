//! Checks that no window contains more requests than its bound allows.

use std::time::Duration;

use sablehaven_types::{QuotaTolerance, RequestQuota};

/// A request that reached a server.
#[derive(Clone, Copy, Debug)]
pub struct Served {
    pub sent: Duration,
    pub arrived: Duration,
}

/// The time for which a quota was in force at some replica.
#[derive(Clone, Copy, Debug)]
pub struct QuotaInterval {
    pub quota: RequestQuota,
    pub from: Duration,
    pub until: Duration,
}

/// The number of requests in a window and their bound.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorstWindow {
    pub requests: usize,
    pub bound: f64,
}

impl WorstWindow {
    /// Returns by how many requests the window exceeds its bound.
    pub fn excess(&self) -> f64 {
        self.requests as f64 - self.bound
    }
}

/// Returns the window that exceeds its bound by the most. A previous quota still counts for windows that begin up to
/// one window length after it ended.
pub fn worst_window(
    tolerance: &QuotaTolerance,
    served: &[Served],
    quotas: &[QuotaInterval],
) -> WorstWindow {
    let mut worst = WorstWindow {
        bound: f64::INFINITY,
        ..WorstWindow::default()
    };
    let mut by_send_time = served.to_vec();
    by_send_time.sort_by_key(|served| served.sent);
    for (index, first) in by_send_time.iter().enumerate() {
        let end = first.sent + tolerance.window();
        let candidates = by_send_time[index..].iter();
        let candidates = candidates.take_while(|served| served.sent <= end);
        let requests = candidates.filter(|served| served.arrived <= end).count();
        let window = WorstWindow {
            requests,
            bound: bound_at(tolerance, first.sent, quotas),
        };
        if window.excess() > worst.excess() {
            worst = window;
        }
    }
    worst
}

/// Returns the highest bound of the quotas that count for the window that begins at `start`.
fn bound_at(tolerance: &QuotaTolerance, start: Duration, quotas: &[QuotaInterval]) -> f64 {
    let window = tolerance.window();
    let is_relevant =
        |quota: &&QuotaInterval| quota.from <= start + window && quota.until + window >= start;
    let bounds = quotas
        .iter()
        .filter(is_relevant)
        .map(|in_force| tolerance.bound(in_force.quota));
    bounds.fold(0.0, f64::max)
}
