//! One direction of one connection.

use std::{
    collections::VecDeque,
    io,
    net::IpAddr,
    sync::{Arc, PoisonError, atomic::Ordering},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use rand::RngExt;
use tokio::{
    io::AsyncWriteExt,
    net::tcp::{ReadHalf, WriteHalf},
    sync::watch,
    time::{Instant, sleep_until},
};

use crate::{
    fault::{Direction, DirectionFaults, FaultTable},
    http2::Reorderer,
    proxy::Shared,
};

/// Bytes read at a time.
const CHUNK_BYTES: usize = 16 * 1024;

/// Bytes that may be on their way; more are left with the sender, as a full network would.
const IN_TRANSIT_BYTES: usize = 4 * 1024 * 1024;

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ending {
    /// In order: the sender closed, or a fault pretends that it did.
    Closed,
    /// By an error or a fault.
    Reset,
    /// By a fault, just after a request was delivered.
    ResetAfterDelivery,
}

/// Something on its way.
struct InTransit {
    arrives_at: Instant,
    bytes: Bytes,
}

/// Copies one direction under the faults in force.
pub(crate) struct Flow {
    direction: Direction,
    shared: Arc<Shared>,
    source: IpAddr,
    faults: watch::Receiver<FaultTable>,
    in_transit: VecDeque<InTransit>,
    in_transit_bytes: usize,
    has_ended: bool,
    reorderer: Reorderer,
    /// Bytes passed since the truncation was first seen.
    passed_under_truncation: u64,
}

/// What to do next.
enum Step {
    Arrived(io::Result<usize>, BytesMut),
    Due,
    FaultsChanged,
    ReorderingDue,
}

impl Flow {
    pub(crate) fn new(direction: Direction, source: IpAddr, shared: &Arc<Shared>) -> Self {
        Self {
            direction,
            source,
            shared: Arc::clone(shared),
            faults: shared.faults.subscribe(),
            in_transit: VecDeque::new(),
            in_transit_bytes: 0,
            has_ended: false,
            reorderer: Reorderer::default(),
            passed_under_truncation: 0,
        }
    }

    /// Copies until the sender ends and everything has been delivered.
    pub(crate) async fn copy(mut self, from: ReadHalf<'_>, mut to: WriteHalf<'_>) -> Ending {
        loop {
            if self.has_ended && self.in_transit.is_empty() && self.reorderer.is_empty() {
                shut_down(&mut to).await;
                return Ending::Closed;
            }
            match self.next_step(&from).await {
                Step::Arrived(Ok(0), _) => self.end(),
                Step::Arrived(Ok(_), bytes) => {
                    if self.happens(self.current().reset_per_mille) {
                        return Ending::Reset;
                    }
                    self.take_in(bytes.freeze());
                }
                Step::Arrived(Err(_), _) => return Ending::Reset,
                Step::FaultsChanged => {}
                Step::ReorderingDue => self.release_reordered(),
                Step::Due => {
                    if let Some(ending) = self.deliver_next(&mut to).await {
                        return ending;
                    }
                }
            }
        }
    }

    fn current(&self) -> DirectionFaults {
        *self
            .faults
            .borrow()
            .of(self.source)
            .direction(self.direction)
    }

    fn latency(&self) -> Duration {
        let table = self.faults.borrow();
        table.latency.get(&self.source).copied().unwrap_or_default()
    }

    async fn next_step(&mut self, from: &ReadHalf<'_>) -> Step {
        let is_held = self.current().hold;
        let may_read = !self.has_ended && self.in_transit_bytes < IN_TRANSIT_BYTES;
        let due = self.in_transit.front().map(|first| first.arrives_at);
        let reordering_due = self.reorderer.due();
        let far_future = Instant::now() + Duration::from_secs(3_600);
        tokio::select! {
            biased;
            // The sender lives as long as this flow, so there is no error.
            _ = self.faults.changed() => Step::FaultsChanged,
            () = sleep_until(due.unwrap_or(far_future)), if due.is_some() && !is_held => Step::Due,
            () = sleep_until(reordering_due.unwrap_or(far_future)), if reordering_due.is_some() => {
                Step::ReorderingDue
            }
            (result, bytes) = read(from), if may_read => Step::Arrived(result, bytes),
        }
    }

    fn end(&mut self) {
        self.has_ended = true;
        self.release_reordered();
    }

    /// Puts what was read on its way.
    fn take_in(&mut self, bytes: Bytes) {
        let reorder_within = self.current().reorder_within;
        if self.direction == Direction::Backward {
            let passed = self.reorderer.take_in(bytes, reorder_within);
            passed.into_iter().for_each(|bytes| self.send_off(bytes));
            return;
        }
        self.send_off(bytes);
    }

    fn release_reordered(&mut self) {
        let released = self.reorderer.release();
        released.into_iter().for_each(|bytes| self.send_off(bytes));
    }

    fn send_off(&mut self, bytes: Bytes) {
        let faults = self.current();
        let jitter = faults.jitter.mul_f64(self.random_share());
        let earliest = Instant::now() + self.latency() + faults.delay + jitter;
        // Bytes never overtake each other, whatever the jitter.
        let last = self.in_transit.back().map(|last| last.arrives_at);
        let arrives_at = last.map_or(earliest, |last| last.max(earliest));
        self.in_transit_bytes += bytes.len();
        self.in_transit.push_back(InTransit { arrives_at, bytes });
    }

    async fn deliver_next(&mut self, to: &mut WriteHalf<'_>) -> Option<Ending> {
        let InTransit { mut bytes, .. } = self.in_transit.pop_front()?;
        self.in_transit_bytes -= bytes.len();
        let faults = self.current();
        let is_cut_short = self.cut_short(&mut bytes, faults.truncate_after);
        if write_all(to, &bytes).await.is_err() {
            return Some(Ending::Reset);
        }
        let length = bytes.len() as u64;
        self.shared.bytes.fetch_add(length, Ordering::Relaxed);
        if is_cut_short {
            shut_down(to).await;
            return Some(Ending::Closed);
        }
        if self.resets_after_delivery() {
            return Some(Ending::ResetAfterDelivery);
        }
        if let Some(rate) = faults.bytes_per_second {
            let time = Duration::from_secs_f64(length as f64 / rate.max(1) as f64);
            tokio::time::sleep(time).await;
        }
        None
    }

    /// Cuts a chunk at the truncation; says whether it did.
    fn cut_short(&mut self, bytes: &mut Bytes, truncate_after: Option<u64>) -> bool {
        let Some(limit) = truncate_after else {
            self.passed_under_truncation = 0;
            return false;
        };
        let left = limit.saturating_sub(self.passed_under_truncation);
        self.passed_under_truncation += bytes.len() as u64;
        if (bytes.len() as u64) < left {
            return false;
        }
        bytes.truncate(left as usize);
        true
    }

    fn resets_after_delivery(&self) -> bool {
        let share = self
            .faults
            .borrow()
            .of(self.source)
            .reset_after_delivery_per_mille;
        self.direction == Direction::Forward && self.happens(share)
    }

    fn happens(&self, per_mille: u32) -> bool {
        per_mille > 0 && self.random_share() * 1_000.0 < f64::from(per_mille)
    }

    /// A number from 0 up to 1.
    fn random_share(&self) -> f64 {
        let random = self.shared.random.lock();
        random.unwrap_or_else(PoisonError::into_inner).random()
    }
}

async fn read(from: &ReadHalf<'_>) -> (io::Result<usize>, BytesMut) {
    let mut bytes = BytesMut::with_capacity(CHUNK_BYTES);
    loop {
        if let Err(error) = from.readable().await {
            return (Err(error), bytes);
        }
        match from.try_read_buf(&mut bytes) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            result => return (result, bytes),
        }
    }
}

async fn write_all(to: &WriteHalf<'_>, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        to.writable().await?;
        match to.try_write(bytes) {
            Ok(written) => bytes = &bytes[written..],
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Ends the sending direction of a socket in order.
async fn shut_down(to: &mut WriteHalf<'_>) {
    // An error means that the socket is gone already.
    let _ = to.shutdown().await;
}
