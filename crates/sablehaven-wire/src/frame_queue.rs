//! A queue of frames to be written to a socket.
//!
//! Frames are queued as shared bytes. An update that is sent on many connections is therefore held
//! in memory once, even if some of the connections are slow.

use std::{
    collections::VecDeque,
    io::{Error, ErrorKind, IoSlice},
};

use bytes::{Buf, Bytes};
use tokio::{io::AsyncWriteExt, net::tcp::OwnedWriteHalf};

use crate::{MAXIMUM_FRAME_BYTES, encoded::FRAME_HEADER_BYTES};

/// Number of queued bytes from which [`FrameQueue::push`] flushes the queue first.
const QUEUE_LIMIT_BYTES: usize = 8 * 1024;

/// Maximum number of frames passed to one vectored write.
const MAXIMUM_SLICES: usize = 64;

/// A socket with the frames that are still to be written to it.
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

    /// Queues a frame. If the queue has reached its limit, it is flushed first. A frame that is too
    /// large is rejected. Cancel safe: the frame is queued completely or not at all.
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

    /// Writes all queued frames. Cancel safe: bytes that were not written stay queued.
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

    /// Returns the number of bytes in all frames queued so far, including their length headers.
    pub(crate) fn total_bytes(&self) -> u64 {
        self.total_bytes
    }

    /// Removes the first `written` bytes from the queue.
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
