//! Estimates the service time of one query from the parts that have arrived.
//!
//! The work of a query is much the same at every shard. So once some parts have arrived, they predict the service
//! time of the others far better than other queries do. A part that is still missing long after that time is at a
//! server that is stalled or slow.

use std::{
    cell::{Cell, RefCell},
    time::Duration,
};

use tokio::sync::Notify;

/// Fraction of the parts that must have arrived before the estimate is used.
const MIN_KNOWN_FRACTION: f64 = 0.4;
/// Servers differ in speed: a part is late when it takes this many times the median of the others.
const LATE_RATIO: f64 = 1.6;
/// Allowance for scheduling delays.
const SCHEDULING_ALLOWANCE: Duration = Duration::from_millis(4);

/// An estimate of the service time of one query. It is shared by the parts of the query.
pub(crate) struct ServiceTimeEstimate {
    parts: usize,
    /// Service times in ascending order, excluding the network round trip.
    service_times: RefCell<Vec<Duration>>,
    median: Cell<Option<Duration>>,
    known: Notify,
}

impl ServiceTimeEstimate {
    pub(crate) fn new(parts: usize) -> Self {
        Self {
            parts,
            service_times: RefCell::default(),
            median: Cell::default(),
            known: Notify::new(),
        }
    }

    /// Records a part that has arrived, with its service time excluding the network round trip.
    pub(crate) fn record(&self, service_time: Duration) {
        let mut service_times = self.service_times.borrow_mut();
        let position = service_times.partition_point(|other| *other <= service_time);
        service_times.insert(position, service_time);
        if (service_times.len() as f64) < self.parts as f64 * MIN_KNOWN_FRACTION
            || service_times.len() < 2
        {
            return;
        }
        if self
            .median
            .replace(Some(service_times[service_times.len() / 2]))
            .is_none()
        {
            self.known.notify_waiters();
        }
    }

    /// Service time after which a part is late, excluding the network round trip; `None` before enough parts have
    /// arrived.
    pub(crate) fn late_after(&self) -> Option<Duration> {
        let late_after = |median: Duration| median.mul_f64(LATE_RATIO) + SCHEDULING_ALLOWANCE;
        self.median.get().map(late_after)
    }

    /// Median service time of the parts that have arrived, excluding the network round trip; `None` before enough
    /// parts have arrived.
    pub(crate) fn median(&self) -> Option<Duration> {
        self.median.get()
    }

    /// Waits until the estimate becomes available. Never returns if it already is.
    pub(crate) async fn wait_until_known(&self) {
        if self.median.get().is_some() {
            std::future::pending::<()>().await;
        }
        self.known.notified().await;
    }
}

#[cfg(test)]
mod tests;
