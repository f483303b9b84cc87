//! What gateways have reported of requests that take servers down, passed on to all of them.
//!
//! Kept in memory only: gateways say all that they know at the start of each connection, so a replica that has lost
//! everything knows it again as soon as one gateway that knows it has connected.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use sablehaven_types::{CrashReport, RequestFingerprint, fingerprint_text};
use tokio::sync::broadcast;

/// Requests that are kept; beyond them the one that changed longest ago is forgotten. Four times what a gateway keeps.
const KEPT_REPORTS: usize = 1_024;
/// Time after which a report is forgotten: as long as gateways keep it.
const REPORTS_KEPT: Duration = Duration::from_secs(2 * 60 * 60);
/// Messages with reports that a replica sends in a second, to all gateways together: about what it sends as signs of
/// life to 7,000 gateways. What is not passed on goes out when a gateway connects, or with the request's next report.
const MESSAGES_PER_SECOND: u32 = 14_000;
/// Least reports that are passed on in a second, however many gateways there are.
const LEAST_REPORTS_PER_SECOND: u32 = 4;
/// Most reports that are passed on in a second, however few gateways there are.
const MOST_REPORTS_PER_SECOND: u32 = 100;
/// Reports that a gateway's connection may be behind; one that is further behind is told everything anew.
const UNSENT_REPORTS: usize = 256;

/// The reports of all gateways.
pub(super) struct CrashReportStore {
    reports: Mutex<HashMap<RequestFingerprint, HeldReport>>,
    passed_on: Mutex<PassedOn>,
    news: broadcast::Sender<CrashReport>,
}

/// Reports that were passed on in the second that began last.
struct PassedOn {
    since: Instant,
    count: u32,
}

impl PassedOn {
    /// Counts a report; `false` when the second has had enough. Reports of lost connections leave half to those of
    /// crashes.
    fn count(&mut self, now: Instant, limit: u32, report: &CrashReport) -> bool {
        if now.saturating_duration_since(self.since) >= Duration::from_secs(1) {
            *self = Self {
                since: now,
                count: 0,
            };
        }
        let limit = if report.is_loss_only() {
            limit / 2
        } else {
            limit
        };
        let has_room = self.count < limit;
        self.count += u32::from(has_room);
        has_room
    }
}

#[derive(Clone, Copy)]
struct HeldReport {
    report: CrashReport,
    changed_at: Instant,
}

impl CrashReportStore {
    pub(super) fn new() -> Self {
        Self {
            reports: Mutex::default(),
            passed_on: Mutex::new(PassedOn {
                since: Instant::now(),
                count: 0,
            }),
            news: broadcast::channel(UNSENT_REPORTS).0,
        }
    }

    /// Takes reports; what is new in them goes to every gateway.
    pub(super) fn take(&self, reports: &[CrashReport]) {
        for report in reports {
            if let Some(merged) = self.merge(report) {
                log::info!(
                    event = "crash_report", target:% = fingerprint_text(merged.fingerprint),
                    revision = merged.revision, lost = merged.lost, crashes = merged.crashes;
                    "servers end when they run a request"
                );
                self.pass_on(merged);
            }
        }
    }

    fn pass_on(&self, report: CrashReport) {
        let gateways = u32::try_from(self.news.receiver_count()).unwrap_or(u32::MAX);
        let limit = MESSAGES_PER_SECOND / gateways.max(1);
        let limit = limit.clamp(LEAST_REPORTS_PER_SECOND, MOST_REPORTS_PER_SECOND);
        let mut passed_on = self
            .passed_on
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if passed_on.count(Instant::now(), limit, &report) {
            // Without gateways nobody hears it.
            let _ = self.news.send(report);
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
