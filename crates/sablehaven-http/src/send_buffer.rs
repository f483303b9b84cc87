//! Enlarges the system's send buffer of a connection for a response that does not fit into it.
//!
//! There may be many connections, so the system buffers little for each. A longer response is then sent at no more than
//! one buffer a round trip, and slower if the client delays its acknowledgements for as long as a segment is incomplete
//! (RFC 1122, section 4.2.3.2). The buffer is therefore enlarged while such a response is written, further if the client
//! takes it quickly, and as far as the budget of clients has memory left. It is reduced after the response, or before if
//! the client takes it slowly. The additional memory is held until the system has sent what exceeds the usual buffer.

use std::{
    os::fd::AsFd,
    time::{Duration, Instant},
};

use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use socket2::SockRef;
use tokio::net::TcpStream;

use crate::client_budget::{ClientConnection, HeldBytes};

/// Size of a buffer that is enlarged once, in bytes.
const FIRST_BUFFER_BYTES: usize = 64 * 1024;
/// Maximum size of a buffer, in bytes. The system may have a lower one.
const MAX_BUFFER_BYTES: usize = 256 * 1024;
/// The buffer is enlarged once more if it is full again within this time.
const REFILL_TIME: Duration = Duration::from_millis(500);
/// The buffer is reduced if it has been full for this time.
const SLOW_TIME: Duration = Duration::from_secs(2);
/// Interval between checks of what the system has sent.
pub(crate) const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The send buffer of a client's connection.
pub(crate) struct SendBuffer {
    client: ClientConnection,
    /// `None` while it has its usual size and does not contain more.
    enlarged: Option<EnlargedBuffer>,
    /// Whether the client takes the response that is being written slowly.
    is_slow: bool,
}

struct EnlargedBuffer {
    /// The usual size, in bytes, as the system reports it.
    usual_bytes: usize,
    /// The current size, in bytes, as the system reports it.
    bytes: usize,
    held: HeldBytes,
    phase: Phase,
}

enum Phase {
    /// A response is being written.
    Writing {
        /// When the buffer was last found full.
        full_at: Instant,
        is_full: bool,
    },
    /// The size is reduced as the content becomes less.
    Draining,
}

impl SendBuffer {
    pub(crate) fn new(client: ClientConnection) -> Self {
        Self {
            client,
            enlarged: None,
            is_slow: false,
        }
    }

    /// Whether the buffer has its usual size and contains no more than that.
    pub(crate) fn is_usual(&self) -> bool {
        self.enlarged.is_none()
    }

    /// Records whether bytes were written. If the buffer is full, it may be enlarged.
    pub(crate) fn write_polled(&mut self, stream: &TcpStream, is_written: bool) {
        let Some(enlarged) = &mut self.enlarged else {
            if !is_written && !self.is_slow {
                self.enlarge(stream);
            }
            return;
        };
        enlarged.write_polled(&self.client, stream, is_written);
        if enlarged.is_slow() {
            self.is_slow = true;
            self.drain(stream);
        }
    }

    /// Enlarges the buffer for the first time. Errors of the system leave it as it is, which only makes the response slower.
    fn enlarge(&mut self, stream: &TcpStream) {
        let Ok(usual_bytes) = SockRef::from(stream).send_buffer_size() else {
            return;
        };
        let mut enlarged = EnlargedBuffer {
            usual_bytes,
            bytes: usual_bytes,
            held: self.client.hold_nothing(),
            phase: Phase::Writing {
                full_at: Instant::now(),
                is_full: true,
            },
        };
        enlarged.enlarge(&self.client, stream, FIRST_BUFFER_BYTES);
        if enlarged.bytes > usual_bytes {
            self.enlarged = Some(enlarged);
            self.client.activity().request_check();
        }
    }

    /// Starts to reduce the buffer to its usual size. Called when the system has all bytes of the response.
    pub(crate) fn response_written(&mut self, stream: &TcpStream) {
        self.is_slow = false;
        self.drain(stream);
    }

    fn drain(&mut self, stream: &TcpStream) {
        if let Some(enlarged) = &mut self.enlarged
            && matches!(enlarged.phase, Phase::Writing { .. })
        {
            enlarged.phase = Phase::Draining;
            self.client.activity().drain_progressed();
            if !self.is_drained(stream) {
                self.client.activity().request_check();
            }
        }
    }

    /// Whether the system holds no more than the usual buffer. Reduces one that is to be reduced.
    pub(crate) fn is_drained(&mut self, stream: &TcpStream) -> bool {
        let Some(enlarged) = &mut self.enlarged else {
            return true;
        };
        if matches!(enlarged.phase, Phase::Draining) {
            enlarged.reduce(&self.client, stream);
        }
        let is_drained = enlarged.bytes <= enlarged.usual_bytes;
        if is_drained {
            self.enlarged = None;
            self.client.activity().drained();
        }
        is_drained
    }
}

impl EnlargedBuffer {
    fn write_polled(&mut self, client: &ClientConnection, stream: &TcpStream, is_written: bool) {
        let Phase::Writing { full_at, is_full } = &mut self.phase else {
            return;
        };
        if is_written || *is_full {
            *is_full = !is_written;
            return;
        }
        let is_taken_quickly = full_at.elapsed() < REFILL_TIME;
        *is_full = true;
        *full_at = Instant::now();
        if is_taken_quickly {
            self.enlarge(client, stream, MAX_BUFFER_BYTES);
        }
    }

    fn is_slow(&self) -> bool {
        match self.phase {
            Phase::Writing { full_at, is_full } => is_full && full_at.elapsed() >= SLOW_TIME,
            Phase::Draining => false,
        }
    }

    /// Enlarges the buffer to at most `max_bytes`, if the response is that long and memory is left.
    fn enlarge(&mut self, client: &ClientConnection, stream: &TcpStream, max_bytes: usize) {
        let target = client.activity().response_bytes().min(max_bytes);
        // The system sets, and reports, twice the size that is asked for.
        let additional = (2 * target).saturating_sub(self.bytes);
        if additional == 0 || !self.held.try_grow(additional) {
            return;
        }
        let socket = SockRef::from(stream);
        let _ = socket.set_send_buffer_size(target);
        self.bytes = socket.send_buffer_size().unwrap_or(self.bytes);
        self.held
            .shrink(self.bytes.saturating_sub(self.usual_bytes));
    }

    /// Reduces the buffer to its usual size, or as far as its content allows.
    fn reduce(&mut self, client: &ClientConnection, stream: &TcpStream) {
        if !self.try_reduce(stream, self.usual_bytes) {
            self.reduce_in_steps(client, stream);
        }
    }

    /// Reduces the buffer in steps, as far as its content allows. The content may become less in the meantime.
    fn reduce_in_steps(&mut self, client: &ClientConnection, stream: &TcpStream) {
        let step = self.usual_bytes / 2;
        while self.bytes > self.usual_bytes {
            let reduced = (self.bytes - step).max(self.usual_bytes);
            if !self.try_reduce(stream, reduced) {
                return;
            }
            client.activity().drain_progressed();
        }
    }

    /// Reduces the buffer to a size if its content is less than that.
    fn try_reduce(&mut self, stream: &TcpStream, bytes: usize) -> bool {
        let resized = SockRef::from(stream).set_send_buffer_size(bytes / 2);
        if resized.is_err() || !has_room(stream) {
            return false;
        }
        self.bytes = bytes;
        self.held.shrink(bytes - self.usual_bytes);
        true
    }
}

/// Whether bytes can be written, which the system allows only if the content is less than the buffer's size.
fn has_room(stream: &TcpStream) -> bool {
    let mut events = [PollFd::new(stream.as_fd(), PollFlags::POLLOUT)];
    // An error means that the connection is closed, whereupon the system discards the content.
    poll(&mut events, PollTimeout::ZERO).is_ok_and(|ready| ready > 0)
}

#[cfg(test)]
mod tests;
