//! What becomes of the back ends that run one query, and which of its attempts may be sent next.
//!
//! What is known of queries that end their back ends is in [`sablehaven_routing::crash_table`]. Each agent keeps its own:
//! a caller's resends come to the agent beside it.

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

/// Time for which a sub-request that lost its back end waits for the others of its query, which tell sooner than
/// another back end would. Longer than most queries take, so that it ends by their replies.
const HELD_FOR: Duration = Duration::from_millis(100);

/// The queries under which back ends ended, shared by all queries of an agent.
#[derive(Debug, Default)]
pub struct QueryCrashes {
    table: Mutex<CrashTable>,
}

impl QueryCrashes {
    /// Whether a query may be sent to back ends.
    pub fn standing(&self, now: Duration, fingerprint: RequestFingerprint) -> CrashStatus {
        self.lock().status(now, fingerprint)
    }

    fn lock(&self) -> MutexGuard<'_, CrashTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The attempts of one query, shared by its sub-requests.
#[derive(Debug)]
pub struct QueryWatch<'a> {
    crashes: &'a QueryCrashes,
    fingerprint: RequestFingerprint,
    has_replied: AtomicBool,
    has_lost: AtomicBool,
    /// Attempts under way.
    running: AtomicU32,
    changed: Notify,
    lost_trials: AtomicU32,
    /// Held by the only attempt of a suspect query.
    trial: tokio::sync::Mutex<()>,
}

/// An attempt under way; it has ended when this is dropped.
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
    /// As usual.
    Send,
    /// The query is suspect: this is its only attempt while the guard lives.
    Trial(tokio::sync::MutexGuard<'a, ()>),
    /// No back end is to get the query.
    Never,
}

impl<'a> QueryWatch<'a> {
    /// A query that nothing was sent for.
    pub fn new(crashes: &'a QueryCrashes, fingerprint: RequestFingerprint) -> Self {
        Self {
            crashes,
            fingerprint,
            has_replied: AtomicBool::new(false),
            has_lost: AtomicBool::new(false),
            running: AtomicU32::new(0),
            changed: Notify::new(),
            lost_trials: AtomicU32::new(0),
            trial: tokio::sync::Mutex::default(),
        }
    }

    /// An attempt begins.
    pub fn begin(&self) -> RunningAttempt<'_> {
        self.running.fetch_add(1, Ordering::AcqRel);
        RunningAttempt {
            running: &self.running,
            changed: &self.changed,
        }
    }

    /// A back end has replied, or said that it failed or refused while it went on: it has outlived the query.
    pub fn replied(&self, now: Duration) {
        if !self.has_replied.swap(true, Ordering::AcqRel) {
            self.crashes.lock().record_answer(now, self.fingerprint);
        }
    }

    /// The connection of an attempt ended while its back end had the query.
    pub fn lost(&self, now: Duration) {
        self.has_lost.store(true, Ordering::Release);
        if !self.has_replied.load(Ordering::Acquire) {
            self.crashes.lock().record_loss(now, self.fingerprint);
        }
    }

    /// The query's only attempt was lost; `is_gone` when its back end was found to have ended.
    pub fn trial_lost(&self, now: Duration, is_gone: bool) {
        self.lost_trials.fetch_add(1, Ordering::AcqRel);
        if !is_gone {
            return;
        }
        let begun = self.crashes.lock().record_crash(now, self.fingerprint);
        if let Some(begun) = begun {
            log::warn!(
                event = "request_quarantined", target:% = fingerprint_text(self.fingerprint),
                lost = begun.report.lost, crashes = begun.report.crashes, for_s = begun.duration.as_secs();
                "back ends end when they run this query"
            );
        }
    }

    /// Waits until an attempt may be sent, or is known to be never sent.
    pub async fn turn(&self, now: impl Fn() -> Duration) -> Turn<'_> {
        let released = async {
            loop {
                let changed = self.changed.notified();
                if !self.is_held(now()) {
                    return;
                }
                changed.await;
            }
        };
        // After the limit the sub-request goes on as if the others had told nothing.
        let _ = timeout(HELD_FOR, released).await;
        if self.is_clear(now()) {
            return Turn::Send;
        }
        let trial = self.trial.lock().await;
        if self.is_clear(now()) {
            return Turn::Send;
        }
        let is_given_up = self.lost_trials.load(Ordering::Acquire) >= MAX_LOST_TRIALS;
        match self.standing(now()) {
            CrashStatus::Quarantined { .. } => Turn::Never,
            _ if is_given_up => Turn::Never,
            CrashStatus::Clear | CrashStatus::Suspect => Turn::Trial(trial),
        }
    }

    /// Whether a back end was lost and the others that run the query have told nothing yet.
    fn is_held(&self, now: Duration) -> bool {
        let has_lost = self.has_lost.load(Ordering::Acquire);
        has_lost && self.running.load(Ordering::Acquire) > 0 && self.is_undecided(now)
    }

    fn is_undecided(&self, now: Duration) -> bool {
        !self.has_replied.load(Ordering::Acquire) && self.standing(now) == CrashStatus::Clear
    }

    /// Whether attempts may be sent beside others.
    pub fn is_clear(&self, now: Duration) -> bool {
        self.has_replied.load(Ordering::Acquire) || self.standing(now) == CrashStatus::Clear
    }

    fn standing(&self, now: Duration) -> CrashStatus {
        self.crashes.standing(now, self.fingerprint)
    }
}
