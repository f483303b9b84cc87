//! A TCP stream that notifies an observer of the bytes that are read and written.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

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
    fn write_polled(&self, _is_written: bool) {}
}

/// A TCP stream with an observer.
pub struct ObservedStream<Observer> {
    stream: TcpStream,
    observer: Observer,
}

impl<Observer> ObservedStream<Observer> {
    pub(crate) fn new(stream: TcpStream, observer: Observer) -> Self {
        Self { stream, observer }
    }
}

impl<Observer: StreamObserver + Unpin> AsyncRead for ObservedStream<Observer> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
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
        self.observer.write_polled(written.is_ready());
        written
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
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.observer.write_polled(written.is_ready());
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
