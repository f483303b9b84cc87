//! Tracks requests under which servers crash and decides when to quarantine them, without sockets.
//! Times are on any monotonic clock.
//!
//! A request that crashes one server after another (a "query of death", Site Reliability
//! Engineering, 2016, chapter 22) must not be retried as if its servers had failed on their own: it
//! would crash every server of its service. After a few connections lost without any reply, a
//! request becomes suspect: it has only one attempt in flight at a time, called a trial, and a
//! reply from any server clears it. Crashes during such single attempts quarantine the request: it
//! is not sent to any server for some time.

use std::{collections::HashMap, time::Duration};

use sablehaven_types::{CrashReport, RequestFingerprint};
use xxhash_rust::xxh3::Xxh3;

/// Lost attempts without any reply that make a request suspect. A query over shards quite often
/// loses two to servers that fail on their own.
const SUSPECT_LOSSES: u32 = 3;
/// Servers that must have crashed during single attempts before a request is quarantined. One is
/// not enough: the server may have crashed because of another request that it ran at the same time.
const QUARANTINE_CRASHES: u32 = 2;
/// Number of trials that may lose their connection before an execution of the request is abandoned,
/// even if its servers were not found to have exited.
pub const MAX_LOST_TRIALS: u32 = 2;
/// Duration of the first quarantine; it doubles with each server that crashes after a quarantine. A
/// request that keeps crashing servers costs one server per quarantine, and a request that no
/// longer does so waits no longer than this.
pub const FIRST_QUARANTINE: Duration = Duration::from_secs(5 * 60);
/// Upper bound of the duration of a quarantine.
const LONGEST_QUARANTINE: Duration = Duration::from_secs(60 * 60);
/// Time after which lost connections are discarded: most have other causes.
pub const LOSS_RETENTION: Duration = Duration::from_secs(10 * 60);
/// Time after which crashes are discarded; longer than any quarantine.
const CRASH_RETENTION: Duration = Duration::from_secs(2 * 60 * 60);
/// Number of requests that are tracked; beyond it the least recently changed one is evicted.
pub const MAX_RECORDS: usize = 256;
/// Maximum reports per second for requests that crashed servers or that a server has answered
/// since.
pub const REPORTS_PER_SECOND: u32 = 20;
/// Maximum reports per second for requests that only lost connections. Without it, a service whose
/// servers all crash on their own would make every gateway report all its requests.
pub const LOSS_REPORTS_PER_SECOND: u32 = 2;

/// Hashes what the servers see of a request: the fields that identify it, and its body.
pub fn fingerprint(fields: &[&str], body: &[u8]) -> RequestFingerprint {
    let mut hash = Xxh3::new();
    for field in fields {
        hash.update(field.as_bytes());
        // Terminates the field, so that two adjacent fields cannot be confused; no field contains
        // this byte.
        hash.update(&[0]);
    }
    hash.update(body);
    hash.digest()
}

/// Whether a request may be sent to servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashStatus {
    /// It may be sent like any other request.
    Clear,
    /// It may be sent to one server at a time.
    Suspect,
    /// It may not be sent to any server for the remaining time.
    Quarantined {
        /// Time until it may be sent again.
        left: Duration,
    },
}

/// A quarantine that has just begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quarantine {
    /// Losses and crashes of the request.
    pub report: CrashReport,
    /// Duration of the quarantine.
    pub duration: Duration,
}

/// All requests under which servers crashed or connections were lost.
#[derive(Clone, Debug, Default)]
pub struct CrashTable {
    records: HashMap<RequestFingerprint, CrashRecord>,
    report_limiter: ReportLimiter,
}

/// Limits the reports per second; counts those of the current second.
#[derive(Clone, Copy, Debug, Default)]
struct ReportLimiter {
    second: u64,
    /// Reports of requests that only lost connections.
    losses: u32,
    others: u32,
}

impl ReportLimiter {
    /// Counts a report; returns `false` when the limit for its kind is reached in this second.
    fn try_count(&mut self, now: Duration, report: &CrashReport) -> bool {
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
        let is_within_limit = *count < limit;
        *count += u32::from(is_within_limit);
        is_within_limit
    }
}

#[derive(Clone, Copy, Debug)]
struct CrashRecord {
    report: CrashReport,
    changed_at: Duration,
    quarantined_until: Duration,
    /// Whether the report contains changes that have not been sent to other processes.
    has_unsent_changes: bool,
    /// Whether other processes know of the request.
    was_reported: bool,
}

impl CrashRecord {
    fn new(now: Duration, fingerprint: RequestFingerprint) -> Self {
        Self {
            report: CrashReport::new(fingerprint),
            changed_at: now,
            quarantined_until: Duration::ZERO,
            has_unsent_changes: false,
            was_reported: false,
        }
    }

    fn is_retained(&self, now: Duration) -> bool {
        let retention = if self.report.crashes > 0 {
            CRASH_RETENTION
        } else {
            LOSS_RETENTION
        };
        now.saturating_sub(self.changed_at) < retention
    }

    fn status(&self, now: Duration) -> CrashStatus {
        if now < self.quarantined_until {
            let left = self.quarantined_until - now;
            return CrashStatus::Quarantined { left };
        }
        if self.report.crashes > 0 || self.report.lost >= SUSPECT_LOSSES {
            return CrashStatus::Suspect;
        }
        CrashStatus::Clear
    }

    /// Begins or extends a quarantine if there are enough crashes.
    fn quarantine(&mut self, now: Duration) -> Option<Quarantine> {
        let crashes_beyond_threshold = self.report.crashes.checked_sub(QUARANTINE_CRASHES)?;
        let duration =
            FIRST_QUARANTINE.saturating_mul(2_u32.saturating_pow(crashes_beyond_threshold));
        let duration = duration.min(LONGEST_QUARANTINE);
        self.quarantined_until = now + duration;
        Some(Quarantine {
            report: self.report,
            duration,
        })
    }
}

impl CrashTable {
    /// Returns whether a request may be sent to servers.
    pub fn status(&self, now: Duration, fingerprint: RequestFingerprint) -> CrashStatus {
        let record = self.records.get(&fingerprint);
        let record = record.filter(|record| record.is_retained(now));
        record.map_or(CrashStatus::Clear, |record| record.status(now))
    }

    /// Returns whether servers were found to have exited after the request and none has answered it
    /// since.
    pub fn has_crashed_servers(&self, now: Duration, fingerprint: RequestFingerprint) -> bool {
        let record = self.records.get(&fingerprint);
        record.is_some_and(|record| record.is_retained(now) && record.report.crashes > 0)
    }

    /// Records that the connection of an attempt ended while the server had the request, and no
    /// server has answered it.
    pub fn record_loss(&mut self, now: Duration, fingerprint: RequestFingerprint) {
        let record = self.entry(now, fingerprint);
        record.report.lost = record.report.lost.saturating_add(1);
        record.changed_at = now;
        record.has_unsent_changes = true;
    }

    /// Records that the server has exited after an attempt that was the request's only one. Returns
    /// the quarantine that this begins.
    pub fn record_crash(
        &mut self,
        now: Duration,
        fingerprint: RequestFingerprint,
    ) -> Option<Quarantine> {
        let record = self.entry(now, fingerprint);
        record.report.crashes = record.report.crashes.saturating_add(1);
        record.changed_at = now;
        record.has_unsent_changes = true;
        record.quarantine(now)
    }

    /// Records that a server has answered the request, so the request is not what crashes servers.
    pub fn record_answer(&mut self, now: Duration, fingerprint: RequestFingerprint) {
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return;
        };
        if !record.was_reported {
            self.records.remove(&fingerprint);
            return;
        }
        if record.report.lost == 0 && record.report.crashes == 0 {
            return;
        }
        record.report.clear();
        record.quarantined_until = Duration::ZERO;
        record.changed_at = now;
        record.has_unsent_changes = true;
    }

    /// Merges the report of another process. Returns the quarantine that this begins.
    pub fn merge_report(&mut self, now: Duration, report: &CrashReport) -> Option<Quarantine> {
        let record = self.entry(now, report.fingerprint);
        let previous = record.report;
        // The process that sent this report already knows of the request.
        record.was_reported = true;
        if !record.report.merge(report) {
            return None;
        }
        record.changed_at = now;
        record.has_unsent_changes &= record.report != *report;
        if record.report.revision > previous.revision {
            record.quarantined_until = Duration::ZERO;
        }
        let is_worse =
            record.report.revision > previous.revision || record.report.crashes > previous.crashes;
        if !is_worse {
            return None;
        }
        record.quarantine(now)
    }

    /// Returns the report of a request to send to other processes and marks it as sent. Returns
    /// `None` when it contains no changes or the rate limit is reached.
    pub fn take_unsent_report(
        &mut self,
        now: Duration,
        fingerprint: RequestFingerprint,
    ) -> Option<CrashReport> {
        let record = self.records.get_mut(&fingerprint)?;
        if !record.has_unsent_changes || !self.report_limiter.try_count(now, &record.report) {
            return None;
        }
        record.has_unsent_changes = false;
        record.was_reported = true;
        Some(record.report)
    }

    /// Returns all reports, for a control replica that may have none of them.
    pub fn reports(&self, now: Duration) -> Vec<CrashReport> {
        let retained = self
            .records
            .values()
            .filter(|record| record.is_retained(now));
        retained.map(|record| record.report).collect()
    }

    fn entry(&mut self, now: Duration, fingerprint: RequestFingerprint) -> &mut CrashRecord {
        let is_known = self.records.contains_key(&fingerprint);
        if !is_known && self.records.len() >= MAX_RECORDS {
            self.evict(now);
        }
        let record = self.records.entry(fingerprint);
        let record = record.or_insert_with(|| CrashRecord::new(now, fingerprint));
        if !record.is_retained(now) {
            *record = CrashRecord::new(now, fingerprint);
        }
        record
    }

    fn evict(&mut self, now: Duration) {
        self.records.retain(|_, record| record.is_retained(now));
        if self.records.len() < MAX_RECORDS {
            return;
        }
        // Requests that crashed servers are evicted last.
        let oldest = self.records.iter().min_by_key(|(_, record)| {
            let has_crashed = record.report.crashes > 0;
            (has_crashed, record.changed_at)
        });
        if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.records.remove(&fingerprint);
        }
    }
}
