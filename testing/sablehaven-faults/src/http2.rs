//! Reorders the bodies of HTTP/2 replies (RFC 9113, section 4.1).
//!
//! Only DATA frames of streams are held back; all others pass at once and in order, since header
//! compression depends on the order of headers, and settings and pings on that of the connection.

use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use tokio::time::Instant;

/// Length of a frame's header, in bytes.
const FRAME_HEADER_BYTES: usize = 9;

/// Type of a DATA frame.
const DATA: u8 = 0;

/// Holds back bodies for a while and lets them go in reverse order of their streams' last frames.
#[derive(Debug, Default)]
pub(crate) struct Reorderer {
    /// The start of a frame that is not whole yet.
    partial: BytesMut,
    held: Vec<Held>,
    due: Option<Instant>,
    /// Whether the connection has been cut into frames; then it must be until its end.
    is_framing: bool,
}

#[derive(Debug)]
struct Held {
    stream: u32,
    frames: BytesMut,
}

struct Frame {
    kind: u8,
    stream: u32,
    bytes: Bytes,
}

impl Reorderer {
    pub(crate) fn is_empty(&self) -> bool {
        self.held.is_empty() && self.partial.is_empty()
    }

    /// When what is held back is due.
    pub(crate) fn due(&self) -> Option<Instant> {
        self.due
    }

    /// Takes in what was read; gives what passes at once.
    ///
    /// Framing starts only where a chunk begins with a frame, which holds at the start of a
    /// connection: so a connection opened before the fault is left as it is.
    pub(crate) fn take_in(&mut self, bytes: Bytes, within: Option<Duration>) -> Vec<Bytes> {
        if !self.is_framing {
            if within.is_none() || !starts_with_settings(&bytes) {
                return vec![bytes];
            }
            self.is_framing = true;
        }
        self.partial.extend_from_slice(&bytes);
        let mut passed = Vec::new();
        while let Some(frame) = self.next_frame() {
            match within {
                Some(within) if frame.kind == DATA => self.hold(frame, within),
                _ => passed.push(frame.bytes),
            }
        }
        passed
    }

    /// Lets go of what is held back, the last stream first.
    pub(crate) fn release(&mut self) -> Vec<Bytes> {
        self.due = None;
        let held = std::mem::take(&mut self.held);
        let mut released: Vec<_> = held
            .into_iter()
            .rev()
            .map(|held| held.frames.freeze())
            .collect();
        // A cut-off frame at the end of a connection is passed on as it is.
        if !self.partial.is_empty() && released.is_empty() {
            released.push(self.partial.split().freeze());
        }
        released
    }

    fn hold(&mut self, frame: Frame, within: Duration) {
        self.due.get_or_insert_with(|| Instant::now() + within);
        match self
            .held
            .iter_mut()
            .find(|held| held.stream == frame.stream)
        {
            Some(held) => held.frames.extend_from_slice(&frame.bytes),
            None => self.held.push(Held {
                stream: frame.stream,
                frames: BytesMut::from(&frame.bytes[..]),
            }),
        }
    }

    fn next_frame(&mut self) -> Option<Frame> {
        if self.partial.len() < FRAME_HEADER_BYTES {
            return None;
        }
        let mut header = &self.partial[..FRAME_HEADER_BYTES];
        let length = header.get_uint(3) as usize;
        let kind = header.get_u8();
        let _flags = header.get_u8();
        let stream = header.get_u32() & (u32::MAX >> 1);
        if self.partial.len() < FRAME_HEADER_BYTES + length {
            return None;
        }
        let bytes = self.partial.split_to(FRAME_HEADER_BYTES + length).freeze();
        Some(Frame {
            kind,
            stream,
            bytes,
        })
    }
}

/// Whether a chunk starts with a SETTINGS frame on stream 0, the first frame of every server.
fn starts_with_settings(bytes: &[u8]) -> bool {
    const SETTINGS: u8 = 4;
    bytes.len() >= FRAME_HEADER_BYTES && bytes[3] == SETTINGS && bytes[5..9] == [0; 4]
}
