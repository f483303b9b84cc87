//! A TCP acceptor with a limit on connections and a cost for opening one.
//!
//! The limit refuses: a connection above it is closed at once, as a server that has run out of
//! connections does, in place of waiting unseen in the listen backlog.

use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use salvo::{
    conn::{Accepted, Acceptor, ConnCtrl, Holding, tcp::TcpCoupler},
    fuse::ArcFusePolicy,
    http::{Version, uri::Scheme},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
    time::Sleep,
};

/// Counts of the connections of one server.
#[derive(Debug, Default)]
pub(crate) struct ConnectionCounts {
    /// Open now.
    pub open: AtomicU32,
    /// Opened since the start.
    pub opened: AtomicU64,
    /// Refused since the start because of the limit.
    pub refused: AtomicU64,
}

/// Accepts connections within a limit.
pub(crate) struct LimitedAcceptor {
    listener: TcpListener,
    holdings: Vec<Holding>,
    limit: u32,
    cost: Duration,
    counts: Arc<ConnectionCounts>,
}

impl LimitedAcceptor {
    pub(crate) async fn bind(
        address: SocketAddr,
        limit: u32,
        cost: Duration,
        counts: Arc<ConnectionCounts>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let holding = Holding {
            local_addr: listener.local_addr()?.into(),
            http_versions: vec![Version::HTTP_11, Version::HTTP_2],
            http_scheme: Scheme::HTTP,
        };
        Ok(Self {
            listener,
            holdings: vec![holding],
            limit,
            cost,
            counts,
        })
    }

    pub(crate) fn local_address(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Counts a new connection, or refuses it.
    fn admit(&self, stream: TcpStream) -> Option<CostlyStream> {
        if self.counts.open.load(Ordering::Relaxed) >= self.limit {
            self.counts.refused.fetch_add(1, Ordering::Relaxed);
            return None;
        }
        self.counts.open.fetch_add(1, Ordering::Relaxed);
        self.counts.opened.fetch_add(1, Ordering::Relaxed);
        Some(CostlyStream {
            inner: stream,
            opening: Some(Box::pin(tokio::time::sleep(self.cost))),
            counts: Arc::clone(&self.counts),
        })
    }
}

impl Acceptor for LimitedAcceptor {
    type Coupler = TcpCoupler<CostlyStream>;
    type Stream = CostlyStream;

    fn holdings(&self) -> &[Holding] {
        &self.holdings
    }

    async fn accept(
        &mut self,
        _fuse_policy: Option<ArcFusePolicy>,
    ) -> io::Result<Accepted<Self::Coupler, Self::Stream>> {
        loop {
            let (stream, remote) = self.listener.accept().await?;
            // Small replies must not wait for the peer's delayed acknowledgement.
            stream.set_nodelay(true)?;
            let Some(stream) = self.admit(stream) else {
                continue;
            };
            return Ok(Accepted {
                coupler: TcpCoupler::new(),
                stream,
                fuse_config: None,
                conn_ctrl: ConnCtrl::new(),
                local_addr: self.holdings[0].local_addr.clone(),
                remote_addr: remote.into(),
                http_scheme: Scheme::HTTP,
            });
        }
    }
}

/// A connection whose first bytes are read only after the cost of opening it has passed.
pub(crate) struct CostlyStream {
    inner: TcpStream,
    opening: Option<Pin<Box<Sleep>>>,
    counts: Arc<ConnectionCounts>,
}

impl Drop for CostlyStream {
    fn drop(&mut self) {
        self.counts.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl AsyncRead for CostlyStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Some(opening) = &mut self.opening {
            ready!(opening.as_mut().poll(context));
            self.opening = None;
        }
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl AsyncWrite for CostlyStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, buffer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
