//! Limits how many bytes of a response may precede its body. hyper limits the size of a head, but skips any number of
//! interim responses (1xx) before it.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Maximum size of a response's head together with the interim responses before it.
const MAX_BYTES_BEFORE_BODY: usize = 64 * 1024;
/// The remaining bytes of a limit that is lifted.
const UNLIMITED: usize = usize::MAX;

/// A limit on the bytes that precede the body of a response, shared by a connection's stream and its user. Cheap to
/// clone.
#[derive(Clone, Debug)]
pub struct HeadLimit {
    remaining: Arc<AtomicUsize>,
}

impl Default for HeadLimit {
    fn default() -> Self {
        Self {
            remaining: Arc::new(AtomicUsize::new(UNLIMITED)),
        }
    }
}

impl HeadLimit {
    /// Limits what arrives from now on. Called before a request is sent.
    pub fn arm(&self) {
        self.remaining
            .store(MAX_BYTES_BEFORE_BODY, Ordering::Relaxed);
    }

    /// Lifts the limit. Called when the head of the response has arrived.
    pub fn lift(&self) {
        self.remaining.store(UNLIMITED, Ordering::Relaxed);
    }

    /// Counts bytes that have arrived.
    fn count(&self, length: usize) -> io::Result<()> {
        let remaining = self.remaining.load(Ordering::Relaxed);
        if remaining == UNLIMITED {
            return Ok(());
        }
        let Some(remaining) = remaining.checked_sub(length) else {
            return Err(io::Error::other(format!(
                "more than {MAX_BYTES_BEFORE_BODY} bytes before the body of the response"
            )));
        };
        self.remaining.store(remaining, Ordering::Relaxed);
        Ok(())
    }
}

/// A TCP stream whose reads fail when the [`HeadLimit`] is exceeded.
pub struct HeadLimitedStream {
    stream: TcpStream,
    limit: HeadLimit,
}

impl HeadLimitedStream {
    pub(crate) fn new(stream: TcpStream, limit: HeadLimit) -> Self {
        Self { stream, limit }
    }
}

impl AsyncRead for HeadLimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        let length = buffer.filled().len() - before;
        match result {
            Poll::Ready(Ok(())) => Poll::Ready(self.limit.count(length)),
            other => other,
        }
    }
}

impl AsyncWrite for HeadLimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

#[cfg(test)]
mod tests;
