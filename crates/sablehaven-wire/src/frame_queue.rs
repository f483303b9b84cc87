//! Frames on their way to a socket.
//!
//! Frames are queued as shared bytes, so that an update to many connections is in memory once,
//! however slow some of them are.

use std::{
    collections::VecDeque,
    io::{Error, ErrorKind, IoSlice},
};

use bytes::{Buf, Bytes};
use tokio::{io::AsyncWriteExt, net::tcp::OwnedWriteHalf};

use crate::{MAXIMUM_FRAME_BYTES, encoded::FRAME_HEADER_BYTES};

/// Bytes queued before [`FrameQueue::push`] has to write some.
const QUEUE_LIMIT_BYTES: usize = 8 * 1024;

/// Frames given to the kernel in one call.
const MAXIMUM_SLICES: usize = 64;

/// Frames that wait to be written, and the socket.
pub(crate) struct FrameQueue {
    socket: OwnedWriteHalf,
    frames: VecDeque<Bytes>,
    queued_bytes: usize,
    total_bytes: u64,
}

impl FrameQueue {
    pub(crate) fn new(socket: OwnedWriteHalf) -> Self {
        Self {
            socket,
            frames: VecDeque::new(),
            queued_bytes: 0,
            total_bytes: 0,
        }
    }

    /// Queues a frame; writes earlier ones first if too much is queued. A frame that is too large
    /// is refused. Safe to cancel: the frame is queued whole or not at all.
    pub(crate) async fn push(&mut self, frame: Bytes) -> Result<(), Error> {
        if frame.len() > MAXIMUM_FRAME_BYTES + FRAME_HEADER_BYTES {
            return Err(Error::new(ErrorKind::InvalidInput, "frame size too big"));
        }
        if self.queued_bytes >= QUEUE_LIMIT_BYTES {
            self.flush().await?;
        }
        self.queued_bytes += frame.len();
        self.total_bytes += frame.len() as u64;
        self.frames.push_back(frame);
        Ok(())
    }

    /// Writes all that is queued. Safe to cancel: what was not written stays queued.
    pub(crate) async fn flush(&mut self) -> Result<(), Error> {
        while !self.frames.is_empty() {
            let slices: Vec<IoSlice<'_>> = self
                .frames
                .iter()
                .take(MAXIMUM_SLICES)
                .map(|frame| IoSlice::new(frame))
                .collect();
            let written = self.socket.write_vectored(&slices).await?;
            if written == 0 {
                return Err(ErrorKind::WriteZero.into());
            }
            self.advance(written);
        }
        Ok(())
    }

    /// Bytes of all frames queued so far, their lengths included.
    pub(crate) fn total_bytes(&self) -> u64 {
        self.total_bytes
    }

    fn advance(&mut self, mut written: usize) {
        self.queued_bytes -= written;
        while let Some(frame) = self.frames.front_mut() {
            let step = written.min(frame.len());
            frame.advance(step);
            written -= step;
            if !frame.is_empty() {
                return;
            }
            self.frames.pop_front();
        }
    }
}
