//! A TCP stream that notifies an observer of the bytes that are read and written.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Receives a notification when bytes are read or written.
pub trait StreamObserver {
    /// Called after `length` bytes were read, which is at least 1.
    ///
    /// # Errors
    /// The read fails with the returned error.
    fn bytes_read(&self, length: usize) -> io::Result<()>;

    /// Called after a write: whether bytes were written, or the peer has to take others first.
    fn write_polled(&mut self, _stream: &TcpStream, _is_written: bool) {}

    /// Called when the system has all bytes that are to be written for now.
    fn flushed(&mut self, _stream: &TcpStream) {}

    /// Returns whether the peer has taken enough of what was written for the stream to be shut down. Called before each read
    /// as well. Nothing wakes the task that shuts the stream down, so that task must poll again after a time.
    fn is_drained(&mut self, _stream: &TcpStream) -> bool {
        true
    }

    /// Whether bytes that the peer has not taken are to be discarded when the stream is dropped.
    fn discards_rest(&self) -> bool {
        false
    }
}

/// A TCP stream with an observer.
pub struct ObservedStream<Observer: StreamObserver> {
    stream: TcpStream,
    observer: Observer,
}

impl<Observer: StreamObserver> Drop for ObservedStream<Observer> {
    fn drop(&mut self) {
        if self.observer.discards_rest() {
            // Otherwise the system keeps the bytes and goes on sending them after the socket is closed.
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl<Observer: StreamObserver> ObservedStream<Observer> {
    pub(crate) fn new(stream: TcpStream, observer: Observer) -> Self {
        Self { stream, observer }
    }

    fn observe_write(&mut self, is_written: bool) {
        self.observer.write_polled(&self.stream, is_written);
    }
}

impl<Observer: StreamObserver + Unpin> AsyncRead for ObservedStream<Observer> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let Self { stream, observer } = &mut *self;
        observer.is_drained(stream);
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        let length = buffer.filled().len() - before;
        if length > 0 {
            self.observer.bytes_read(length)?;
        }
        result
    }
}

impl<Observer: StreamObserver + Unpin> AsyncWrite for ObservedStream<Observer> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.observe_write(written.is_ready());
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Self { stream, observer } = &mut *self;
        observer.flushed(stream);
        Pin::new(stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Self { stream, observer } = &mut *self;
        if !observer.is_drained(stream) {
            return Poll::Pending;
        }
        Pin::new(stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.observe_write(written.is_ready());
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
