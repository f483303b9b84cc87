//! A TCP stream that notifies an observer of the bytes that are read.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Receives a notification when bytes are read.
pub trait ReadObserver {
    /// Called after `length` bytes were read, which is at least 1.
    ///
    /// # Errors
    /// The read fails with the returned error.
    fn bytes_read(&self, length: usize) -> io::Result<()>;
}

/// A TCP stream with an observer of its reads.
pub struct ObservedStream<Observer> {
    stream: TcpStream,
    observer: Observer,
}

impl<Observer> ObservedStream<Observer> {
    pub(crate) fn new(stream: TcpStream, observer: Observer) -> Self {
        Self { stream, observer }
    }
}

impl<Observer: ReadObserver + Unpin> AsyncRead for ObservedStream<Observer> {
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

impl<Observer: Unpin> AsyncWrite for ObservedStream<Observer> {
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
