//! What becomes of the servers that run one request, and which of its parts may send next.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use sablehaven_routing::crash_table::{CrashStatus, CrashTable, MAX_LOST_TRIALS};
use sablehaven_types::{BackendId, RequestFingerprint, fingerprint_text};
use tokio::sync::Notify;

use super::log_quarantine;

/// Usual times for which a part that lost its server waits for another part's answer.
const HELD_TIMES: u32 = 2;

/// The attempts of one request; shared by its parts.
pub(crate) struct CrashWatch {
    fingerprint: RequestFingerprint,
    table: Rc<RefCell<CrashTable>>,
    /// Servers whose connection ended while they had the request.
    lost: RefCell<Vec<BackendId>>,
    /// Whether any server has answered this request.
    is_answered: Cell<bool>,
    /// Attempts under way.
    running: Cell<u32>,
    /// Until when a part that has lost its server waits for the others: they tell sooner than another server would.
    held_until: Cell<Duration>,
    is_trial_running: Cell<bool>,
    lost_trials: Cell<u32>,
    /// Spare servers of each part that waits for its turn.
    waiting: RefCell<Vec<usize>>,
    changed: Notify,
}

/// A part's place among those that wait; given back when it is dropped.
pub(crate) struct WaiterGuard {
    watch: Rc<CrashWatch>,
    spare: usize,
}

impl Drop for WaiterGuard {
    fn drop(&mut self) {
        let mut waiting = self.watch.waiting.borrow_mut();
        if let Some(position) = waiting.iter().position(|spare| *spare == self.spare) {
            waiting.swap_remove(position);
        }
    }
}

/// An attempt under way; it has ended when this is dropped.
pub(crate) struct RunningAttempt {
    watch: Rc<CrashWatch>,
}

impl Drop for RunningAttempt {
    fn drop(&mut self) {
        self.watch.running.set(self.watch.running.get() - 1);
        self.watch.changed.notify_waiters();
    }
}

/// Whether a part may send an attempt.
pub(crate) enum SendDecision {
    /// As usual.
    Send,
    /// The request is suspect: this is its only attempt until it ends.
    Trial(Trial),
    /// The request is suspect, and another part has the only attempt, or is to have it.
    Wait(WaiterGuard),
    /// No server is to get the request.
    Refuse,
}

/// The only attempt of a suspect request. When it is dropped another part may send.
pub(crate) struct Trial {
    watch: Rc<CrashWatch>,
}

impl Trial {
    /// The connection ended while the server had the request; `is_gone` when the server was found to have ended.
    pub(crate) fn record_lost_connection(&self, now: Duration, is_gone: bool) {
        let lost_trials = &self.watch.lost_trials;
        lost_trials.set(lost_trials.get() + 1);
        if is_gone {
            let mut table = self.watch.table.borrow_mut();
            let begun = table.record_crash(now, self.watch.fingerprint);
            log_quarantine(begun, "this gateway");
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
            lost: RefCell::default(),
            is_answered: Cell::default(),
            running: Cell::default(),
            held_until: Cell::default(),
            is_trial_running: Cell::default(),
            lost_trials: Cell::default(),
            waiting: RefCell::default(),
            changed: Notify::new(),
        })
    }

    pub(crate) fn fingerprint(&self) -> RequestFingerprint {
        self.fingerprint
    }

    /// An attempt begins.
    pub(crate) fn begin(self: &Rc<Self>) -> RunningAttempt {
        self.running.set(self.running.get() + 1);
        let watch = Rc::clone(self);
        RunningAttempt { watch }
    }

    /// The connection of an attempt ended while its server had the request. `usual` is what the request usually
    /// takes at a server.
    pub(crate) fn lost(&self, now: Duration, server: &BackendId, usual: Duration) {
        if self.lost.borrow().is_empty() {
            self.held_until.set(now + HELD_TIMES * usual);
        }
        self.lost.borrow_mut().push(server.clone());
        if !self.is_answered.get() {
            self.table.borrow_mut().record_loss(now, self.fingerprint);
        }
    }

    /// A server has answered, with success or not: it has outlived the request.
    pub(crate) fn answered(&self, now: Duration) {
        if self.is_answered.replace(true) {
            return;
        }
        self.table.borrow_mut().record_answer(now, self.fingerprint);
        self.changed.notify_waiters();
    }

    /// Whether a part may send now; see [`SendDecision`]. `spare` counts the servers that its shard could lose; it is only asked
    /// where a server was lost.
    pub(crate) fn send_decision(
        self: &Rc<Self>,
        now: Duration,
        spare: impl FnOnce() -> usize,
    ) -> SendDecision {
        if self.is_answered.get() {
            return SendDecision::Send;
        }
        match self.standing(now) {
            CrashStatus::Clear if self.is_held(now) => SendDecision::Wait(self.wait(spare())),
            CrashStatus::Clear => SendDecision::Send,
            CrashStatus::Quarantined { .. } => SendDecision::Refuse,
            CrashStatus::Suspect if self.lost_trials.get() >= MAX_LOST_TRIALS => {
                SendDecision::Refuse
            }
            CrashStatus::Suspect => self.trial_or_wait(spare()),
        }
    }

    /// A trial is made where most servers are left, or it might take a shard's last one.
    fn trial_or_wait(self: &Rc<Self>, spare: usize) -> SendDecision {
        if self.is_trial_running.get() || self.has_better(spare) {
            return SendDecision::Wait(self.wait(spare));
        }
        self.is_trial_running.set(true);
        let watch = Rc::clone(self);
        SendDecision::Trial(Trial { watch })
    }

    fn wait(self: &Rc<Self>, spare: usize) -> WaiterGuard {
        self.waiting.borrow_mut().push(spare);
        let watch = Rc::clone(self);
        WaiterGuard { watch, spare }
    }

    /// Whether a part that waits has more spare servers.
    fn has_better(&self, spare: usize) -> bool {
        let waiting = self.waiting.borrow();
        waiting.iter().any(|other| *other > spare)
    }

    /// Whether a server was lost and the others that run the request have not answered yet.
    fn is_held(&self, now: Duration) -> bool {
        let has_lost = !self.lost.borrow().is_empty();
        has_lost && self.running.get() > 0 && now < self.held_until.get()
    }

    /// When a part that waits is to look again, whatever the others do.
    pub(crate) fn held_until(&self, now: Duration) -> Option<Duration> {
        self.is_held(now).then(|| self.held_until.get())
    }

    /// Whether attempts may be sent beside others.
    pub(crate) fn is_clear(&self, now: Duration) -> bool {
        self.is_answered.get() || self.standing(now) == CrashStatus::Clear
    }

    /// Whether every part may send at once; no server was lost, or some have answered.
    pub(crate) fn may_all_parts_send(&self, now: Duration) -> bool {
        self.is_answered.get() || (self.is_clear(now) && !self.is_held(now))
    }

    /// Whether servers were found gone after the request, in this try or an earlier one, and none has answered it.
    pub(crate) fn has_crashed_servers(&self, now: Duration) -> bool {
        let table = self.table.borrow();
        table.has_crashed_servers(now, self.fingerprint)
    }

    /// What is known of the request, from its earlier tries too.
    pub(crate) fn standing(&self, now: Duration) -> CrashStatus {
        self.table.borrow().status(now, self.fingerprint)
    }

    /// Waits until [`Self::send_decision`] may say something else.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// The fingerprint as log lines show it.
    pub(crate) fn fingerprint_text(&self) -> String {
        fingerprint_text(self.fingerprint)
    }

    /// The servers whose connection ended while they had the request, for log lines.
    pub(crate) fn lost_servers_text(&self) -> String {
        let lost = self.lost.borrow();
        let ids: Vec<&str> = lost.iter().map(BackendId::as_str).collect();
        ids.join(", ")
    }
}

#[cfg(test)]
mod tests;
