//! Records what a connection waits for, and since when. The timeouts of a connection depend on it, and so does which one
//! is closed to make room for others.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Instant,
};

/// The activity of a connection, shared by the stream, the request handler and the timeout checks.
#[derive(Debug)]
pub(crate) struct Activity {
    record: Mutex<ActivityRecord>,
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
    /// Since when the client has taken no bytes of a response.
    blocked_since: Option<Instant>,
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
    /// The client has taken no bytes of a response since this time.
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
            }),
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

    pub(crate) fn state(&self) -> ConnectionState {
        let record = *self.lock();
        match (record.is_busy, record.blocked_since, record.header_since) {
            (true, ..) => ConnectionState::Busy,
            (false, Some(since), _) => ConnectionState::Blocked(since),
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
