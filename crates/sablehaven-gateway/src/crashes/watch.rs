//! Tracks the attempts of one request and decides which of its parts may send next.
//!
//! A clear request is sent without restriction. A suspect request, which may be crashing its servers, has one attempt
//! (a trial) at a time. A quarantined request has none.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use sablehaven_routing::crash_table::{CrashStatus, CrashTable, MAX_LOST_TRIALS};
use sablehaven_types::{BackendId, RequestFingerprint, fingerprint_text};
use tokio::sync::Notify;

use super::log_quarantine;

/// How long a part that lost its server waits for a reply to another part, in typical service times of the
/// request.
const HOLD_TYPICAL_TIMES: u32 = 2;

/// The state of one request, shared by its parts.
pub(crate) struct CrashWatch {
    fingerprint: RequestFingerprint,
    table: Rc<RefCell<CrashTable>>,
    /// Servers whose connection was lost while they had the request.
    lost_servers: RefCell<Vec<BackendId>>,
    /// Whether any server has replied to this request.
    has_reply: Cell<bool>,
    /// The number of attempts in progress.
    running_attempts: Cell<u32>,
    /// The end of the time in which parts that lost their server wait for the other parts. These are already running,
    /// so they show sooner than another server would whether the request crashes servers.
    hold_until: Cell<Duration>,
    is_trial_running: Cell<bool>,
    /// The number of trials whose connection was lost.
    lost_trials: Cell<u32>,
    /// The number of spare servers of each waiting part.
    waiters: RefCell<Vec<usize>>,
    /// Notified when a decision may change.
    changed: Notify,
}

/// Registers a part as waiting; dropping it removes the registration.
pub(crate) struct WaiterGuard {
    watch: Rc<CrashWatch>,
    spare_servers: usize,
}

impl Drop for WaiterGuard {
    fn drop(&mut self) {
        let mut waiters = self.watch.waiters.borrow_mut();
        if let Some(position) = waiters
            .iter()
            .position(|spare_servers| *spare_servers == self.spare_servers)
        {
            waiters.swap_remove(position);
        }
    }
}

/// Counts an attempt as running until it is dropped.
pub(crate) struct RunningAttempt {
    watch: Rc<CrashWatch>,
}

impl Drop for RunningAttempt {
    fn drop(&mut self) {
        self.watch
            .running_attempts
            .set(self.watch.running_attempts.get() - 1);
        self.watch.changed.notify_waiters();
    }
}

/// Whether a part may send an attempt now.
pub(crate) enum SendDecision {
    /// It may send, without restriction.
    Send,
    /// The request is suspect. The part may send, and its attempt is the only one of the request until it ends.
    Trial(Trial),
    /// The part must wait: for replies to the other parts, or because the request is suspect and another part has the
    /// only attempt or is to have it.
    Wait(WaiterGuard),
    /// No server may get the request.
    Refuse,
}

/// The only attempt of a suspect request. Once it is dropped, another part may send.
pub(crate) struct Trial {
    watch: Rc<CrashWatch>,
}

impl Trial {
    /// Records that the connection was lost while the server had the request. `is_gone` tells whether the server was
    /// found to have exited.
    pub(crate) fn record_lost_connection(&self, now: Duration, is_gone: bool) {
        let lost_trials = &self.watch.lost_trials;
        lost_trials.set(lost_trials.get() + 1);
        if is_gone {
            let mut table = self.watch.table.borrow_mut();
            let quarantine = table.record_crash(now, self.watch.fingerprint);
            log_quarantine(quarantine, "this gateway");
        }
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        self.watch.is_trial_running.set(false);
        self.watch.changed.notify_waiters();
    }
}

impl CrashWatch {
    pub(crate) fn new(fingerprint: RequestFingerprint, table: Rc<RefCell<CrashTable>>) -> Rc<Self> {
        Rc::new(Self {
            fingerprint,
            table,
            lost_servers: RefCell::default(),
            has_reply: Cell::default(),
            running_attempts: Cell::default(),
            hold_until: Cell::default(),
            is_trial_running: Cell::default(),
            lost_trials: Cell::default(),
            waiters: RefCell::default(),
            changed: Notify::new(),
        })
    }

    pub(crate) fn fingerprint(&self) -> RequestFingerprint {
        self.fingerprint
    }

    /// Counts an attempt as running until the returned guard is dropped.
    pub(crate) fn start_attempt(self: &Rc<Self>) -> RunningAttempt {
        self.running_attempts.set(self.running_attempts.get() + 1);
        let watch = Rc::clone(self);
        RunningAttempt { watch }
    }

    /// Records that the connection of an attempt was lost while the server had the request. `typical` is the
    /// typical service time of the request.
    pub(crate) fn record_lost_connection(
        &self,
        now: Duration,
        server: &BackendId,
        typical: Duration,
    ) {
        if self.lost_servers.borrow().is_empty() {
            self.hold_until.set(now + HOLD_TYPICAL_TIMES * typical);
        }
        self.lost_servers.borrow_mut().push(server.clone());
        if !self.has_reply.get() {
            self.table.borrow_mut().record_loss(now, self.fingerprint);
        }
    }

    /// Records that a server has replied, with success or an error, and so has survived the request.
    pub(crate) fn record_reply(&self, now: Duration) {
        if self.has_reply.replace(true) {
            return;
        }
        self.table.borrow_mut().record_answer(now, self.fingerprint);
        self.changed.notify_waiters();
    }

    /// Decides whether a part may send now. `spare_servers` counts the servers that the part's shard could lose; it is
    /// called only after a server was lost.
    pub(crate) fn send_decision(
        self: &Rc<Self>,
        now: Duration,
        spare_servers: impl FnOnce() -> usize,
    ) -> SendDecision {
        if self.has_reply.get() {
            return SendDecision::Send;
        }
        match self.status(now) {
            CrashStatus::Clear if self.is_on_hold(now) => {
                SendDecision::Wait(self.add_waiter(spare_servers()))
            }
            CrashStatus::Clear => SendDecision::Send,
            CrashStatus::Quarantined { .. } => SendDecision::Refuse,
            CrashStatus::Suspect if self.lost_trials.get() >= MAX_LOST_TRIALS => {
                SendDecision::Refuse
            }
            CrashStatus::Suspect => self.start_trial_or_wait(spare_servers()),
        }
    }

    /// Starts a trial for the part with the most spare servers, because elsewhere it might crash a shard's last server.
    fn start_trial_or_wait(self: &Rc<Self>, spare_servers: usize) -> SendDecision {
        if self.is_trial_running.get() || self.has_waiter_with_more_spare_servers(spare_servers) {
            return SendDecision::Wait(self.add_waiter(spare_servers));
        }
        self.is_trial_running.set(true);
        let watch = Rc::clone(self);
        SendDecision::Trial(Trial { watch })
    }

    fn add_waiter(self: &Rc<Self>, spare_servers: usize) -> WaiterGuard {
        self.waiters.borrow_mut().push(spare_servers);
        let watch = Rc::clone(self);
        WaiterGuard {
            watch,
            spare_servers,
        }
    }

    /// Whether a waiting part has more spare servers.
    fn has_waiter_with_more_spare_servers(&self, spare_servers: usize) -> bool {
        let waiters = self.waiters.borrow();
        waiters.iter().any(|other| *other > spare_servers)
    }

    /// Whether parts that lost their server must wait, for a limited time, because other servers still run the request.
    fn is_on_hold(&self, now: Duration) -> bool {
        let has_lost = !self.lost_servers.borrow().is_empty();
        has_lost && self.running_attempts.get() > 0 && now < self.hold_until.get()
    }

    /// When a waiting part must ask for a decision again even if nothing else changes.
    pub(crate) fn hold_until(&self, now: Duration) -> Option<Duration> {
        self.is_on_hold(now).then(|| self.hold_until.get())
    }

    /// Whether the request may have several attempts at the same time.
    pub(crate) fn is_clear(&self, now: Duration) -> bool {
        self.has_reply.get() || self.status(now) == CrashStatus::Clear
    }

    /// Whether every part may send now: a server has replied, or the request is clear and no part is on hold.
    pub(crate) fn may_all_parts_send(&self, now: Duration) -> bool {
        self.has_reply.get() || (self.is_clear(now) && !self.is_on_hold(now))
    }

    /// Whether servers were found to have exited after this request, in this try or an earlier one, and none has
    /// replied to it.
    pub(crate) fn has_crashed_servers(&self, now: Duration) -> bool {
        let table = self.table.borrow();
        table.has_crashed_servers(now, self.fingerprint)
    }

    /// The status of the request in the crash table, which includes its earlier tries.
    pub(crate) fn status(&self, now: Duration) -> CrashStatus {
        self.table.borrow().status(now, self.fingerprint)
    }

    /// Waits until the result of [`Self::send_decision`] may have changed.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// The fingerprint in the format of log lines.
    pub(crate) fn fingerprint_text(&self) -> String {
        fingerprint_text(self.fingerprint)
    }

    /// The servers whose connection was lost while they had the request, in the format of log lines.
    pub(crate) fn lost_servers_text(&self) -> String {
        let lost_servers = self.lost_servers.borrow();
        let ids: Vec<&str> = lost_servers.iter().map(BackendId::as_str).collect();
        ids.join(", ")
    }
}

#[cfg(test)]
mod tests;
