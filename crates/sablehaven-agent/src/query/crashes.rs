//! Detection of queries that crash back ends, and the resulting limits on sending attempts.
//!
//! The state of suspect and quarantined queries is in [`sablehaven_routing::crash_table`]. Each agent
//! has its own table: a caller resends a query to the agent next to it, so one table sees all of them.

use std::{
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use sablehaven_routing::crash_table::{CrashStatus, CrashTable, MAX_LOST_TRIALS};
use sablehaven_types::{RequestFingerprint, fingerprint_text};
use tokio::{sync::Notify, time::timeout};

/// Maximum time for which a sub-request that lost its connection waits for the other sub-requests of
/// the query. These show whether the query crashes back ends, and sooner than a new attempt at another
/// back end would. Longer than most queries take, so that the wait usually ends with their replies.
const SIBLING_REPLY_WAIT: Duration = Duration::from_millis(100);

/// The table of queries that are known or suspected to crash back ends, shared by all queries of an
/// agent.
#[derive(Debug, Default)]
pub struct QueryCrashes {
    table: Mutex<CrashTable>,
}

impl QueryCrashes {
    /// Returns whether a query may be sent to back ends.
    pub fn standing(&self, now: Duration, fingerprint: RequestFingerprint) -> CrashStatus {
        self.lock().status(now, fingerprint)
    }

    fn lock(&self) -> MutexGuard<'_, CrashTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Tracks the attempts of one query. Shared by the sub-requests of the query.
#[derive(Debug)]
pub struct CrashWatch<'a> {
    crashes: &'a QueryCrashes,
    fingerprint: RequestFingerprint,
    has_replied: AtomicBool,
    has_lost_attempt: AtomicBool,
    /// Number of attempts in flight.
    running: AtomicU32,
    changed: Notify,
    lost_trials: AtomicU32,
    /// Held by the only attempt that a suspect query may have in flight.
    trial: tokio::sync::Mutex<()>,
}

/// Guard of an attempt in flight. Dropping it marks the attempt as ended.
pub struct RunningAttempt<'a> {
    running: &'a AtomicU32,
    changed: &'a Notify,
}

impl Drop for RunningAttempt<'_> {
    fn drop(&mut self) {
        self.running.fetch_sub(1, Ordering::AcqRel);
        self.changed.notify_waiters();
    }
}

/// Whether an attempt may be sent.
pub enum Turn<'a> {
    /// The attempt may be sent.
    Send,
    /// The query is suspect. The attempt may be sent, and is the only one until the guard is dropped.
    Trial(tokio::sync::MutexGuard<'a, ()>),
    /// The query must not be sent to any back end.
    Never,
}

impl<'a> CrashWatch<'a> {
    /// Creates the state of a query without any attempt.
    pub fn new(crashes: &'a QueryCrashes, fingerprint: RequestFingerprint) -> Self {
        Self {
            crashes,
            fingerprint,
            has_replied: AtomicBool::new(false),
            has_lost_attempt: AtomicBool::new(false),
            running: AtomicU32::new(0),
            changed: Notify::new(),
            lost_trials: AtomicU32::new(0),
            trial: tokio::sync::Mutex::default(),
        }
    }

    /// Registers an attempt that is about to be sent.
    pub fn begin(&self) -> RunningAttempt<'_> {
        self.running.fetch_add(1, Ordering::AcqRel);
        RunningAttempt {
            running: &self.running,
            changed: &self.changed,
        }
    }

    /// Records that a back end replied, even if with an error or an unusable reply. The back end has
    /// survived the query.
    pub fn replied(&self, now: Duration) {
        if !self.has_replied.swap(true, Ordering::AcqRel) {
            self.crashes.lock().record_answer(now, self.fingerprint);
        }
    }

    /// Records that the connection of an attempt was lost while the back end had the query.
    pub fn lost(&self, now: Duration) {
        self.has_lost_attempt.store(true, Ordering::Release);
        if !self.has_replied.load(Ordering::Acquire) {
            self.crashes.lock().record_loss(now, self.fingerprint);
        }
    }

    /// Records that the only attempt of a suspect query was lost. `is_terminated` states whether the
    /// back end was found to have ended.
    pub fn trial_lost(&self, now: Duration, is_terminated: bool) {
        self.lost_trials.fetch_add(1, Ordering::AcqRel);
        if !is_terminated {
            return;
        }
        let quarantine = self.crashes.lock().record_crash(now, self.fingerprint);
        if let Some(quarantine) = quarantine {
            log::warn!(
                event = "request_quarantined", target:% = fingerprint_text(self.fingerprint),
                lost = quarantine.report.lost, crashes = quarantine.report.crashes, for_s = quarantine.duration.as_secs();
                "this request crashes back ends and is quarantined"
            );
        }
    }

    /// Waits until it is decided whether an attempt may be sent.
    pub async fn turn(&self, now: impl Fn() -> Duration) -> Turn<'_> {
        let siblings_done = async {
            loop {
                let changed = self.changed.notified();
                if !self.must_wait_for_siblings(now()) {
                    return;
                }
                changed.await;
            }
        };
        // After the timeout the sub-request proceeds without results of the others.
        let _ = timeout(SIBLING_REPLY_WAIT, siblings_done).await;
        if self.is_clear(now()) {
            return Turn::Send;
        }
        let trial = self.trial.lock().await;
        if self.is_clear(now()) {
            return Turn::Send;
        }
        let has_exhausted_trials = self.lost_trials.load(Ordering::Acquire) >= MAX_LOST_TRIALS;
        match self.standing(now()) {
            CrashStatus::Quarantined { .. } => Turn::Never,
            _ if has_exhausted_trials => Turn::Never,
            CrashStatus::Clear | CrashStatus::Suspect => Turn::Trial(trial),
        }
    }

    /// Returns whether a connection was lost while other attempts of the query, still in flight, may
    /// show whether the query is the cause.
    fn must_wait_for_siblings(&self, now: Duration) -> bool {
        let has_lost_attempt = self.has_lost_attempt.load(Ordering::Acquire);
        has_lost_attempt && self.running.load(Ordering::Acquire) > 0 && self.is_undecided(now)
    }

    fn is_undecided(&self, now: Duration) -> bool {
        !self.has_replied.load(Ordering::Acquire) && self.standing(now) == CrashStatus::Clear
    }

    /// Returns whether several attempts of the query may be in flight at once.
    pub fn is_clear(&self, now: Duration) -> bool {
        self.has_replied.load(Ordering::Acquire) || self.standing(now) == CrashStatus::Clear
    }

    fn standing(&self, now: Duration) -> CrashStatus {
        self.crashes.standing(now, self.fingerprint)
    }
}
