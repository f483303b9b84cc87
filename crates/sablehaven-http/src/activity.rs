//! Records what a connection waits for, and since when. The timeouts of a connection depend on it, and so does which one
//! is closed to make room for others.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use tokio::sync::Notify;

/// The activity of a connection, shared by the stream, the request handler and the timeout checks.
#[derive(Debug)]
pub(crate) struct Activity {
    record: Mutex<ActivityRecord>,
    /// Notified when the connection must be checked earlier than its state before required.
    check_requested: Notify,
}

#[derive(Clone, Copy, Debug)]
struct ActivityRecord {
    /// Whether a request is being handled.
    is_busy: bool,
    /// When the connection was opened or the last response was ready.
    idle_since: Instant,
    /// When the first byte of an incomplete header section arrived.
    header_since: Option<Instant>,
    /// Since when the body of the request is being read.
    body_since: Option<Instant>,
    /// Since when no bytes of a response could be written.
    blocked_since: Option<Instant>,
    /// Size of the response that is being written, in bytes; 0 if it is unknown.
    response_bytes: usize,
    /// If the system has yet to send more than it usually buffers: since when the client has taken little of it.
    draining_since: Option<Instant>,
    /// Whether what the system has yet to send is to be discarded when the connection closes.
    is_discarded: bool,
}

/// The state of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionState {
    /// A request is being handled.
    Busy,
    /// The connection has been idle since this time.
    Idle(Instant),
    /// A header section has been arriving since this time.
    ReadingHeader(Instant),
    /// The client has taken too little of a response since this time for more of it to be written.
    Blocked(Instant),
}

impl Activity {
    pub(crate) fn new() -> Self {
        Self {
            record: Mutex::new(ActivityRecord {
                is_busy: false,
                idle_since: Instant::now(),
                header_since: None,
                body_since: None,
                blocked_since: None,
                response_bytes: 0,
                draining_since: None,
                is_discarded: false,
            }),
            check_requested: Notify::new(),
        }
    }

    /// Records that a complete header section was read and its request is being handled.
    pub(crate) fn request_started(&self) {
        let mut record = self.lock();
        record.is_busy = true;
        record.header_since = None;
    }

    /// Records that the body of the request is being read.
    pub(crate) fn body_started(&self) {
        self.lock().body_since = Some(Instant::now());
    }

    /// Records that the body of the request is no longer being read.
    pub(crate) fn body_ended(&self) {
        self.lock().body_since = None;
    }

    /// Records that the handler has returned a response.
    pub(crate) fn response_ready(&self) {
        let mut record = self.lock();
        record.is_busy = false;
        record.idle_since = Instant::now();
    }

    /// Records the size of the response that is written next, in bytes.
    pub(crate) fn set_response_bytes(&self, length: usize) {
        self.lock().response_bytes = length;
    }

    pub(crate) fn response_bytes(&self) -> usize {
        self.lock().response_bytes
    }

    /// Makes the task of the connection determine anew when to check it next.
    pub(crate) fn request_check(&self) {
        self.check_requested.notify_one();
    }

    pub(crate) async fn check_requested(&self) {
        self.check_requested.notified().await;
    }

    /// Records that the client has taken some of what the system has yet to send.
    pub(crate) fn drain_progressed(&self) {
        self.lock().draining_since = Some(Instant::now());
    }

    /// Records that the system has sent what exceeds its usual buffer.
    pub(crate) fn drained(&self) {
        self.lock().draining_since = None;
    }

    pub(crate) fn draining_since(&self) -> Option<Instant> {
        self.lock().draining_since
    }

    /// Records that the client takes its response too slowly, and that the rest is to be discarded.
    pub(crate) fn discard_rest(&self) {
        self.lock().is_discarded = true;
    }

    pub(crate) fn is_discarded(&self) -> bool {
        self.lock().is_discarded
    }

    pub(crate) fn state(&self) -> ConnectionState {
        let record = *self.lock();
        match (record.is_busy, record.blocked_since, record.header_since) {
            (true, ..) => ConnectionState::Busy,
            (false, Some(since), _) => ConnectionState::Blocked(
                record
                    .draining_since
                    .map_or(since, |other| since.max(other)),
            ),
            (false, None, Some(since)) => ConnectionState::ReadingHeader(since),
            (false, None, None) => ConnectionState::Idle(record.idle_since),
        }
    }

    /// Since when the connection has waited for its client: to send the rest of a request, to take the rest of a
    /// response, or to send the next request. `None` while a request is being served.
    ///
    /// The time counts from the first byte, so that a client that sends or takes a byte now and then gains nothing.
    pub(crate) fn waiting_since(&self) -> Option<Instant> {
        let record = *self.lock();
        if record.is_busy {
            // A client may send its next request before it takes the response to the last one.
            return record.body_since.or(record.blocked_since);
        }
        Some(record.header_since.unwrap_or(record.idle_since))
    }

    /// Records that bytes have arrived.
    pub(crate) fn bytes_received(&self) {
        let mut record = self.lock();
        if !record.is_busy && record.header_since.is_none() {
            record.header_since = Some(Instant::now());
        }
    }

    /// Records whether bytes could be written.
    pub(crate) fn write_polled(&self, is_written: bool) {
        let mut record = self.lock();
        record.blocked_since = match record.blocked_since {
            _ if is_written => None,
            None => Some(Instant::now()),
            since => since,
        };
    }

    fn lock(&self) -> MutexGuard<'_, ActivityRecord> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
