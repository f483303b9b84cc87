//! Client side: opens HTTP/1.1 connections to servers.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::{
    net::{TcpSocket, TcpStream},
    time::{Instant, timeout},
};

use crate::{HeadLimit, ObservedStream, WholeBody};

/// The size of the read buffer, in bytes, which also limits the header section of a response. It is half of hyper's
/// default, because a gateway keeps hundreds of these connections.
const READ_BUFFER_BYTES: usize = 4 * 1024;

/// Why a connection could not be opened. No request was sent.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum ConnectError {
    /// connect to {address}: {source}
    Failed {
        /// The server.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// connect to {address}: timed out
    TimedOut {
        /// The server.
        address: SocketAddr,
    },
    /// handshake with {address}: {source}
    Handshake {
        /// The server.
        address: SocketAddr,
        /// The cause.
        source: hyper::Error,
    },
}

/// An open connection: the request sender, and the future that must be polled for it.
pub struct OpenConnection {
    /// Sends requests, one at a time. Dropping a response before its end closes the connection.
    pub sender: SendRequest<WholeBody>,
    /// The future that drives the connection until it closes.
    pub connection: Connection<TokioIo<ObservedStream<HeadLimit>>, WholeBody>,
    /// Limits what precedes the body of a response. It is lifted at first.
    pub head_limit: HeadLimit,
    /// The time that the TCP handshake took, which is one round trip.
    pub round_trip: Duration,
}

/// Opens a connection, from the local address `source` if given. The TCP handshake must complete within
/// `connect_timeout`.
///
/// `user_timeout` limits how long sent bytes may remain unacknowledged (`TCP_USER_TIMEOUT`). A peer that has lost power
/// sends no reset, and by default the kernel would retransmit for minutes.
///
/// # Errors
/// See [`ConnectError`].
pub async fn connect(
    source: Option<IpAddr>,
    address: SocketAddr,
    connect_timeout: Duration,
    user_timeout: Duration,
) -> Result<OpenConnection, ConnectError> {
    let started = Instant::now();
    let stream = match timeout(connect_timeout, connect_tcp(source, address, user_timeout)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(source)) => return Err(ConnectError::Failed { address, source }),
        Err(_) => return Err(ConnectError::TimedOut { address }),
    };
    let round_trip = started.elapsed();
    let mut builder = Builder::new();
    builder.read_buf_exact_size(Some(READ_BUFFER_BYTES));
    let head_limit = HeadLimit::default();
    let stream = ObservedStream::new(stream, head_limit.clone());
    let handshake = builder.handshake(TokioIo::new(stream)).await;
    let (sender, connection) =
        handshake.map_err(|source| ConnectError::Handshake { address, source })?;
    Ok(OpenConnection {
        sender,
        connection,
        head_limit,
        round_trip,
    })
}

async fn connect_tcp(
    source: Option<IpAddr>,
    address: SocketAddr,
    user_timeout: Duration,
) -> std::io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    if let Some(source) = source {
        socket.bind(SocketAddr::new(source, 0))?;
    }
    let stream = socket.connect(address).await?;
    stream.set_nodelay(true)?;
    // Where the option is not supported, the system's own retransmission timeout applies.
    let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(user_timeout));
    Ok(stream)
}
