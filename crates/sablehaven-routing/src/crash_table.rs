//! What is known of requests under which servers ended, without sockets. Times are any steady time.
//!
//! A request whose servers end one after another (a "query of death", Site Reliability Engineering, 2016,
//! chapter 22) must not be retried as if its servers had failed by themselves: it would end every server of its service.
//! A few connections lost without any answer make a request suspect: it has one attempt at a time, and any server's
//! answer clears it. Crashes under single attempts quarantine it: no server gets it for a while.

use std::{collections::HashMap, time::Duration};

use sablehaven_types::{CrashReport, RequestFingerprint};
use xxhash_rust::xxh3::Xxh3;

/// Lost attempts without any answer that make a request suspect. A query over shards loses two to servers that fail by
/// themselves often enough.
const SUSPICIOUS_LOSSES: u32 = 3;
/// Servers that must have ended under single attempts before a request is quarantined. One is not enough: the
/// server may have ended under another request that it ran at the same time.
const CONDEMNING_CRASHES: u32 = 2;
/// Lost trials after which one try of a request is given up although its servers were not found gone.
pub const MAX_LOST_TRIALS: u32 = 2;
/// The first quarantine; doubled with each server that ends after one. A request that keeps crashing costs a server
/// in so long, and one that does so no more waits no longer.
pub const FIRST_QUARANTINE: Duration = Duration::from_secs(5 * 60);
/// The longest quarantine.
const LONGEST_QUARANTINE: Duration = Duration::from_secs(60 * 60);
/// Time after which lost connections are forgotten: most have other causes.
pub const LOSS_RETENTION: Duration = Duration::from_secs(10 * 60);
/// Time after which crashes are forgotten; longer than any quarantine.
const CRASH_RETENTION: Duration = Duration::from_secs(2 * 60 * 60);
/// Requests that are kept; beyond them the one that changed longest ago is forgotten.
pub const MAX_RECORDS: usize = 256;
/// Reports in a second of requests that crashed servers, or that a server has answered since.
pub const REPORTS_PER_SECOND: u32 = 20;
/// Reports in a second of requests that only lost connections. A service whose servers all end by themselves would
/// else have every request of every gateway reported.
pub const LOSS_REPORTS_PER_SECOND: u32 = 2;

/// The fingerprint of a request by what its servers see: what names it, and its body.
pub fn fingerprint(fields: &[&str], body: &[u8]) -> RequestFingerprint {
    let mut hash = Xxh3::new();
    for field in fields {
        hash.update(field.as_bytes());
        // Ends the field, so that two fields never run together; no field holds this byte.
        hash.update(&[0]);
    }
    hash.update(body);
    hash.digest()
}

/// Whether a request may be sent to servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashStatus {
    /// As any other.
    Clear,
    /// To one server at a time.
    Suspect,
    /// To none, for the time that is left.
    Quarantined {
        /// Until it may be tried again.
        left: Duration,
    },
}

/// A quarantine that has just begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quarantine {
    /// What is known of the request.
    pub report: CrashReport,
    /// How long it lasts.
    pub duration: Duration,
}

/// All requests under which servers ended.
#[derive(Clone, Debug, Default)]
pub struct CrashTable {
    records: HashMap<RequestFingerprint, CrashRecord>,
    reported: ReportCount,
}

/// Reports that went out in the second that began last.
#[derive(Clone, Copy, Debug, Default)]
struct ReportCount {
    second: u64,
    /// Of requests that only lost connections.
    losses: u32,
    others: u32,
}

impl ReportCount {
    /// Counts a report; `false` when the second has had enough of its kind.
    fn count(&mut self, now: Duration, report: &CrashReport) -> bool {
        if self.second != now.as_secs() {
            *self = Self {
                second: now.as_secs(),
                ..Self::default()
            };
        }
        let (count, limit) = if report.is_loss_only() {
            (&mut self.losses, LOSS_REPORTS_PER_SECOND)
        } else {
            (&mut self.others, REPORTS_PER_SECOND)
        };
        let has_room = *count < limit;
        *count += u32::from(has_room);
        has_room
    }
}

#[derive(Clone, Copy, Debug)]
struct CrashRecord {
    report: CrashReport,
    changed_at: Duration,
    quarantined_until: Duration,
    /// Whether the report has something that others were not told.
    is_news: bool,
    /// Whether others were ever told of it.
    is_reported: bool,
}

impl CrashRecord {
    fn new(now: Duration, fingerprint: RequestFingerprint) -> Self {
        Self {
            report: CrashReport::new(fingerprint),
            changed_at: now,
            quarantined_until: Duration::ZERO,
            is_news: false,
            is_reported: false,
        }
    }

    fn is_kept(&self, now: Duration) -> bool {
        let kept = if self.report.crashes > 0 {
            CRASH_RETENTION
        } else {
            LOSS_RETENTION
        };
        now.saturating_sub(self.changed_at) < kept
    }

    fn status(&self, now: Duration) -> CrashStatus {
        if now < self.quarantined_until {
            let left = self.quarantined_until - now;
            return CrashStatus::Quarantined { left };
        }
        if self.report.crashes > 0 || self.report.lost >= SUSPICIOUS_LOSSES {
            return CrashStatus::Suspect;
        }
        CrashStatus::Clear
    }

    /// Begins a quarantine, or a longer one, if the crashes are enough for it.
    fn quarantine(&mut self, now: Duration) -> Option<Quarantine> {
        let beyond = self.report.crashes.checked_sub(CONDEMNING_CRASHES)?;
        let duration = FIRST_QUARANTINE.saturating_mul(2_u32.saturating_pow(beyond));
        let duration = duration.min(LONGEST_QUARANTINE);
        self.quarantined_until = now + duration;
        Some(Quarantine {
            report: self.report,
            duration,
        })
    }
}

impl CrashTable {
    /// Whether a request may be sent to servers.
    pub fn status(&self, now: Duration, fingerprint: RequestFingerprint) -> CrashStatus {
        let record = self.records.get(&fingerprint);
        let record = record.filter(|record| record.is_kept(now));
        record.map_or(CrashStatus::Clear, |record| record.status(now))
    }

    /// Whether servers were found gone after the request, and none has answered it since.
    pub fn has_crashed_servers(&self, now: Duration, fingerprint: RequestFingerprint) -> bool {
        let record = self.records.get(&fingerprint);
        record.is_some_and(|record| record.is_kept(now) && record.report.crashes > 0)
    }

    /// The connection of an attempt ended while the server had the request, and no server has answered it.
    pub fn record_loss(&mut self, now: Duration, fingerprint: RequestFingerprint) {
        let record = self.record(now, fingerprint);
        record.report.lost = record.report.lost.saturating_add(1);
        record.changed_at = now;
        record.is_news = true;
    }

    /// The server is gone after an attempt that was the request's only one; the quarantine that this begins.
    pub fn record_crash(
        &mut self,
        now: Duration,
        fingerprint: RequestFingerprint,
    ) -> Option<Quarantine> {
        let record = self.record(now, fingerprint);
        record.report.crashes = record.report.crashes.saturating_add(1);
        record.changed_at = now;
        record.is_news = true;
        record.quarantine(now)
    }

    /// A server has answered the request, so it is not the request that ends servers.
    pub fn record_answer(&mut self, now: Duration, fingerprint: RequestFingerprint) {
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return;
        };
        if !record.is_reported {
            self.records.remove(&fingerprint);
            return;
        }
        if record.report.lost == 0 && record.report.crashes == 0 {
            return;
        }
        record.report.clear();
        record.quarantined_until = Duration::ZERO;
        record.changed_at = now;
        record.is_news = true;
    }

    /// Takes what another process has seen; the quarantine that this begins.
    pub fn merge_report(&mut self, now: Duration, report: &CrashReport) -> Option<Quarantine> {
        let record = self.record(now, report.fingerprint);
        let former = record.report;
        // Whoever has told this need not be told.
        record.is_reported = true;
        if !record.report.merge(report) {
            return None;
        }
        record.changed_at = now;
        record.is_news &= record.report != *report;
        if record.report.revision > former.revision {
            record.quarantined_until = Duration::ZERO;
        }
        let is_worse =
            record.report.revision > former.revision || record.report.crashes > former.crashes;
        if !is_worse {
            return None;
        }
        record.quarantine(now)
    }

    /// What others are to be told of a request, once; `None` when that is nothing, or too much at the moment.
    pub fn take_unsent_report(
        &mut self,
        now: Duration,
        fingerprint: RequestFingerprint,
    ) -> Option<CrashReport> {
        let record = self.records.get_mut(&fingerprint)?;
        if !record.is_news || !self.reported.count(now, &record.report) {
            return None;
        }
        record.is_news = false;
        record.is_reported = true;
        Some(record.report)
    }

    /// Everything that is known, for a control replica that may know nothing.
    pub fn reports(&self, now: Duration) -> Vec<CrashReport> {
        let kept = self.records.values().filter(|record| record.is_kept(now));
        kept.map(|record| record.report).collect()
    }

    fn record(&mut self, now: Duration, fingerprint: RequestFingerprint) -> &mut CrashRecord {
        let is_known = self.records.contains_key(&fingerprint);
        if !is_known && self.records.len() >= MAX_RECORDS {
            self.make_room(now);
        }
        let record = self.records.entry(fingerprint);
        let record = record.or_insert_with(|| CrashRecord::new(now, fingerprint));
        if !record.is_kept(now) {
            *record = CrashRecord::new(now, fingerprint);
        }
        record
    }

    fn make_room(&mut self, now: Duration) {
        self.records.retain(|_, record| record.is_kept(now));
        if self.records.len() < MAX_RECORDS {
            return;
        }
        // What has crashed servers goes last.
        let oldest = self.records.iter().min_by_key(|(_, record)| {
            let has_crashed = record.report.crashes > 0;
            (has_crashed, record.changed_at)
        });
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.records.remove(&fingerprint);
        }
    }
}
