//! The check: no window holds more than its bound.

use std::time::Duration;

use sablehaven_types::{QuotaTolerance, RequestQuota};

/// A request that reached a server.
#[derive(Clone, Copy, Debug)]
pub struct Served {
    pub sent: Duration,
    pub arrived: Duration,
}

/// A quota was in force at some replica for a time.
#[derive(Clone, Copy, Debug)]
pub struct QuotaInterval {
    pub quota: RequestQuota,
    pub from: Duration,
    pub until: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct WorstWindow {
    pub requests: usize,
    pub bound: f64,
}

impl WorstWindow {
    pub fn excess(&self) -> f64 {
        self.requests as f64 - self.bound
    }
}

/// The window that is furthest over its bound. A former quota counts in windows that begin up to one window after its end.
pub fn worst_window(
    tolerance: &QuotaTolerance,
    served: &[Served],
    quotas: &[QuotaInterval],
) -> WorstWindow {
    let mut worst = WorstWindow {
        bound: f64::INFINITY,
        ..WorstWindow::default()
    };
    let mut by_sending = served.to_vec();
    by_sending.sort_by_key(|served| served.sent);
    for (index, first) in by_sending.iter().enumerate() {
        let end = first.sent + tolerance.window();
        let candidates = by_sending[index..].iter();
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

fn bound_at(tolerance: &QuotaTolerance, start: Duration, quotas: &[QuotaInterval]) -> f64 {
    let window = tolerance.window();
    let counts =
        |quota: &&QuotaInterval| quota.from <= start + window && quota.until + window >= start;
    let bounds = quotas
        .iter()
        .filter(counts)
        .map(|in_force| tolerance.bound(in_force.quota));
    bounds.fold(0.0, f64::max)
}
