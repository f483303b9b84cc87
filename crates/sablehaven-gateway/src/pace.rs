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
pub(crate) struct Pace {
    parts: usize,
    /// What servers took, without the way, in ascending order.
    taken: RefCell<Vec<Duration>>,
    median: Cell<Option<Duration>>,
    known: Notify,
}

impl Pace {
    pub(crate) fn new(parts: usize) -> Self {
        Self {
            parts,
            taken: RefCell::default(),
            median: Cell::default(),
            known: Notify::new(),
        }
    }

    /// A part is in; its server took so long, without the way.
    pub(crate) fn record(&self, taken: Duration) {
        let mut all = self.taken.borrow_mut();
        let position = all.partition_point(|each| *each <= taken);
        all.insert(position, taken);
        if (all.len() as f64) < self.parts as f64 * KNOWN_SHARE || all.len() < 2 {
            return;
        }
        if self.median.replace(Some(all[all.len() / 2])).is_none() {
            self.known.notify_waiters();
        }
    }

    /// Time after which a part is late, without the way; `None` before enough parts are in.
    pub(crate) fn late_after(&self) -> Option<Duration> {
        let late_after = |median: Duration| median.mul_f64(LATE_RATIO) + LATE_ROOM;
        self.median.get().map(late_after)
    }

    /// What servers took that are in, without the way; `None` before enough parts are in.
    pub(crate) fn median(&self) -> Option<Duration> {
        self.median.get()
    }

    /// Waits until the pace becomes known; for ever when it is known already.
    pub(crate) async fn wait_until_known(&self) {
        if self.median.get().is_some() {
            std::future::pending::<()>().await;
        }
        self.known.notified().await;
    }
}

#[cfg(test)]
mod tests;
