//! Crash reports: requests that crash the servers that execute them. Each gateway reports what it has observed, and the
//! merged reports are forwarded to all gateways.
//!
//! The reports are kept in memory only. A gateway sends every report it has at the start of each connection, so a
//! replica that has restarted gets a report back as soon as one gateway that has it connects.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use sablehaven_types::{CrashReport, RequestFingerprint, fingerprint_text};
use tokio::sync::broadcast;

/// Maximum number of stored reports; beyond it the least recently changed one is evicted. Four times the number that a
/// gateway keeps.
const MAXIMUM_REPORTS: usize = 1_024;
/// Time after the last change until a report expires; gateways keep it for the same time.
const REPORT_LIFETIME: Duration = Duration::from_secs(2 * 60 * 60);
/// Crash report messages that a replica sends per second to all gateways together: about as many as the keep-alive
/// messages it sends to 7,000 gateways. A report that is not forwarded reaches a gateway when that gateway connects, or
/// with the next report of the same request.
const MESSAGES_PER_SECOND: u32 = 14_000;
/// Minimum number of reports that may be forwarded per second, however many gateways are connected.
const MINIMUM_REPORTS_PER_SECOND: u32 = 4;
/// Maximum number of reports that are forwarded per second, however few gateways are connected.
const MAXIMUM_REPORTS_PER_SECOND: u32 = 100;
/// Number of reports by which a gateway's connection may lag; one that lags further is sent all stored reports again.
const BROADCAST_CAPACITY: usize = 256;

/// The merged crash reports of all gateways.
pub(super) struct CrashReportStore {
    reports: Mutex<HashMap<RequestFingerprint, StoredReport>>,
    forward_window: Mutex<ForwardWindow>,
    updates: broadcast::Sender<CrashReport>,
}

/// Number of reports forwarded in the current interval of one second.
struct ForwardWindow {
    started_at: Instant,
    count: u32,
}

impl ForwardWindow {
    /// Counts a report; returns `false` if the limit for this second is reached. Reports of lost connections only may
    /// use half of the limit; the other half is reserved for reports of crashes.
    fn try_count(&mut self, now: Instant, limit: u32, report: &CrashReport) -> bool {
        if now.saturating_duration_since(self.started_at) >= Duration::from_secs(1) {
            *self = Self {
                started_at: now,
                count: 0,
            };
        }
        let limit = if report.is_loss_only() {
            limit / 2
        } else {
            limit
        };
        let is_within_limit = self.count < limit;
        self.count += u32::from(is_within_limit);
        is_within_limit
    }
}

#[derive(Clone, Copy)]
struct StoredReport {
    report: CrashReport,
    changed_at: Instant,
}

impl CrashReportStore {
    pub(super) fn new() -> Self {
        Self {
            reports: Mutex::default(),
            forward_window: Mutex::new(ForwardWindow {
                started_at: Instant::now(),
                count: 0,
            }),
            updates: broadcast::channel(BROADCAST_CAPACITY).0,
        }
    }

    /// Merges reports into the stored ones and forwards each one that changes to every gateway.
    pub(super) fn record(&self, reports: &[CrashReport]) {
        for report in reports {
            if let Some(merged) = self.merge(report) {
                log::info!(
                    event = "crash_report", target:% = fingerprint_text(merged.fingerprint),
                    revision = merged.revision, lost = merged.lost, crashes = merged.crashes;
                    "crash report of a request has changed"
                );
                self.forward(merged);
            }
        }
    }

    fn forward(&self, report: CrashReport) {
        let gateways = u32::try_from(self.updates.receiver_count()).unwrap_or(u32::MAX);
        let limit = MESSAGES_PER_SECOND / gateways.max(1);
        let limit = limit.clamp(MINIMUM_REPORTS_PER_SECOND, MAXIMUM_REPORTS_PER_SECOND);
        let mut forward_window = self
            .forward_window
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if forward_window.try_count(Instant::now(), limit, &report) {
            // Fails only when no gateway is connected.
            let _ = self.updates.send(report);
        }
    }

    /// Merges a report into the stored one; returns the merged report, or `None` if nothing changed.
    fn merge(&self, report: &CrashReport) -> Option<CrashReport> {
        let mut stored = self.lock();
        let now = Instant::now();
        if !stored.contains_key(&report.fingerprint) {
            evict_if_full(&mut stored, now);
        }
        let entry = stored.entry(report.fingerprint).or_insert(StoredReport {
            report: CrashReport::new(report.fingerprint),
            changed_at: now,
        });
        if !entry.report.merge(report) {
            return None;
        }
        entry.changed_at = now;
        Some(entry.report)
    }

    /// Returns all stored reports and a receiver for later changes.
    pub(super) fn subscribe(&self) -> (Vec<CrashReport>, broadcast::Receiver<CrashReport>) {
        let updates = self.updates.subscribe();
        let stored = self.lock();
        (
            stored.values().map(|stored| stored.report).collect(),
            updates,
        )
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<RequestFingerprint, StoredReport>> {
        self.reports.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Makes room for one report: removes expired reports if the store is full, or else the least recently changed one.
fn evict_if_full(stored: &mut HashMap<RequestFingerprint, StoredReport>, now: Instant) {
    if stored.len() < MAXIMUM_REPORTS {
        return;
    }
    stored.retain(|_, each| now.saturating_duration_since(each.changed_at) < REPORT_LIFETIME);
    if stored.len() < MAXIMUM_REPORTS {
        return;
    }
    let oldest = stored.iter().min_by_key(|(_, each)| each.changed_at);
    if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
        stored.remove(&fingerprint);
    }
}

#[cfg(test)]
mod tests;
