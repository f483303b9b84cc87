//! A stream that notes when the bytes of a next request begin to arrive.

use std::{
    io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll},
    time::Instant,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// What a connection is at; shared by the stream, the handler and the timer.
#[derive(Clone, Debug)]
pub(crate) struct Activity {
    state: Arc<Mutex<State>>,
}

#[derive(Clone, Copy, Debug)]
struct State {
    /// Whether a request is being answered.
    is_busy: bool,
    /// When the connection was opened or the last answer was made.
    rested_since: Instant,
    /// When the first byte of a head that is not whole yet arrived.
    head_since: Option<Instant>,
}

/// What a connection without a request is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Waiting {
    /// A request is being answered.
    Busy,
    /// Nothing has arrived since.
    Resting(Instant),
    /// A head has been arriving since.
    Reading(Instant),
}

impl Activity {
    pub(crate) fn new() -> Self {
        let state = State {
            is_busy: false,
            rested_since: Instant::now(),
            head_since: None,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    pub(crate) fn begin(&self) {
        let mut state = self.lock();
        state.is_busy = true;
        state.head_since = None;
    }

    pub(crate) fn finish(&self) {
        let mut state = self.lock();
        state.is_busy = false;
        state.rested_since = Instant::now();
    }

    pub(crate) fn waiting(&self) -> Waiting {
        let state = *self.lock();
        match (state.is_busy, state.head_since) {
            (true, _) => Waiting::Busy,
            (false, Some(since)) => Waiting::Reading(since),
            (false, None) => Waiting::Resting(state.rested_since),
        }
    }

    fn arrived(&self) {
        let mut state = self.lock();
        if !state.is_busy && state.head_since.is_none() {
            state.head_since = Some(Instant::now());
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A stream that notes arrivals in an [`Activity`].
pub(crate) struct WatchedStream {
    stream: TcpStream,
    activity: Activity,
}

impl WatchedStream {
    pub(crate) fn new(stream: TcpStream, activity: Activity) -> Self {
        Self { stream, activity }
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.activity.arrived();
        }
        result
    }
}

impl AsyncWrite for WatchedStream {
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
