//! How long the servers take for one query, learned from its parts.
//!
//! The work of a query is much the same at every shard, so once some parts are in it is known what
//! the others should take, far better than from other queries: a part that is still missing then is
//! at a server that stands still or is slow.

use std::{
    cell::{Cell, RefCell},
    time::Duration,
};

use tokio::sync::Notify;

/// Share of the parts that must be in before the pace is known.
const KNOWN_SHARE: f64 = 0.4;
/// Servers differ in speed: a part is late when it takes so many times what the others took.
const LATE_RATIO: f64 = 1.6;
/// Room for scheduling.
const LATE_ROOM: Duration = Duration::from_millis(4);

/// The pace of one query; shared by its parts.
pub(super) struct Pace {
    parts: usize,
    /// What servers took, without the way, in ascending order.
    taken: RefCell<Vec<Duration>>,
    late_after: Cell<Option<Duration>>,
    known: Notify,
}

impl Pace {
    pub(super) fn new(parts: usize) -> Self {
        Self {
            parts,
            taken: RefCell::default(),
            late_after: Cell::default(),
            known: Notify::new(),
        }
    }

    /// A part is in; its server took so long, without the way.
    pub(super) fn arrived(&self, taken: Duration) {
        let mut all = self.taken.borrow_mut();
        let position = all.partition_point(|each| *each <= taken);
        all.insert(position, taken);
        if (all.len() as f64) < self.parts as f64 * KNOWN_SHARE || all.len() < 2 {
            return;
        }
        let median = all[all.len() / 2];
        let late_after = median.mul_f64(LATE_RATIO) + LATE_ROOM;
        if self.late_after.replace(Some(late_after)).is_none() {
            self.known.notify_waiters();
        }
    }

    /// Time after which a part is late, without the way; `None` before enough parts are in.
    pub(super) fn late_after(&self) -> Option<Duration> {
        self.late_after.get()
    }

    /// Waits until the pace becomes known; for ever when it is known already.
    pub(super) async fn becomes_known(&self) {
        if self.late_after.get().is_some() {
            std::future::pending::<()>().await;
        }
        self.known.notified().await;
    }
}

#[cfg(test)]
mod tests;
