//! What gateways have reported of requests that take servers down, passed on to all of them.
//!
//! Kept in memory only: gateways say all that they know at the start of each connection, so a replica that has lost
//! everything knows it again as soon as one gateway that knows it has connected.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use sablehaven_types::{CrashReport, RequestFingerprint};
use tokio::sync::broadcast;

/// Requests that are kept; beyond them the one that changed longest ago is forgotten. Four times what a gateway keeps.
const KEPT_REPORTS: usize = 1_024;
/// Time after which a report is forgotten: as long as gateways keep it.
const REPORTS_KEPT: Duration = Duration::from_secs(2 * 60 * 60);
/// Reports that a gateway's connection may be behind; one that is further behind is told everything anew.
const UNSENT_REPORTS: usize = 256;

/// The reports of all gateways.
pub(super) struct CrashBoard {
    reports: Mutex<HashMap<RequestFingerprint, HeldReport>>,
    news: broadcast::Sender<CrashReport>,
}

#[derive(Clone, Copy)]
struct HeldReport {
    report: CrashReport,
    changed_at: Instant,
}

impl CrashBoard {
    pub(super) fn new() -> Self {
        Self {
            reports: Mutex::default(),
            news: broadcast::channel(UNSENT_REPORTS).0,
        }
    }

    /// Takes reports; what is new in them goes to every gateway.
    pub(super) fn take(&self, reports: &[CrashReport]) {
        for report in reports {
            if let Some(merged) = self.merge(report) {
                log::info!(
                    event = "crash_report", target:% = format!("{:016x}", merged.fingerprint),
                    revision = merged.revision, lost = merged.lost, crashes = merged.crashes;
                    "servers end when they run a request"
                );
                // Without gateways nobody hears it.
                let _ = self.news.send(merged);
            }
        }
    }

    /// The report with what was known before, unless it says nothing new.
    fn merge(&self, report: &CrashReport) -> Option<CrashReport> {
        let mut held = self.lock();
        let now = Instant::now();
        if !held.contains_key(&report.fingerprint) {
            make_room(&mut held, now);
        }
        let known = held.entry(report.fingerprint).or_insert(HeldReport {
            report: CrashReport::new(report.fingerprint),
            changed_at: now,
        });
        if !known.report.merge(report) {
            return None;
        }
        known.changed_at = now;
        Some(known.report)
    }

    /// Everything that is known, and what comes from now on.
    pub(super) fn subscribe(&self) -> (Vec<CrashReport>, broadcast::Receiver<CrashReport>) {
        let news = self.news.subscribe();
        let held = self.lock();
        (held.values().map(|held| held.report).collect(), news)
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<RequestFingerprint, HeldReport>> {
        self.reports.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn make_room(held: &mut HashMap<RequestFingerprint, HeldReport>, now: Instant) {
    if held.len() < KEPT_REPORTS {
        return;
    }
    held.retain(|_, each| now.saturating_duration_since(each.changed_at) < REPORTS_KEPT);
    if held.len() < KEPT_REPORTS {
        return;
    }
    let oldest = held.iter().min_by_key(|(_, each)| each.changed_at);
    if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
        held.remove(&fingerprint);
    }
}

#[cfg(test)]
mod tests;
