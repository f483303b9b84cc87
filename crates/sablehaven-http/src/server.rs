//! Server side: accepts and serves HTTP/1.1 connections from callers.

use std::{convert::Infallible, io, net::SocketAddr, pin::pin, time::Duration};

use hyper::{
    Request, Response,
    body::{Body, Incoming},
    header::{CONNECTION, HeaderValue},
    server::conn::http1::Builder,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    time::{Instant, sleep, sleep_until},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    activity::{Activity, ConnectionState},
    client_budget::{ClientConnection, ConnectionSlot, ListenerShare},
    client_limits::MIN_READ_BUFFER_BYTES,
    held_response::HeldResponse,
    observed_stream::{ObservedStream, StreamObserver},
    send_buffer::{DRAIN_CHECK_INTERVAL, SendBuffer},
};

/// The delay after a failed accept, so that the loop does not spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum time between two checks of a connection whose client takes its response slowly.
const BLOCKED_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The maximum number of new connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// Limits on the header section of requests and on the idle time of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// The maximum size of the header section, in bytes. A larger one is answered with status 431.
    pub max_header_bytes: usize,
    /// The timeout for receiving a header section, from its first byte.
    pub header_timeout: Duration,
    /// The maximum idle time between two requests, and the maximum time for which a client takes no byte of a response.
    pub idle_timeout: Duration,
}

/// Signals for the two steps of a graceful shutdown, and the connections that it waits for. Cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct ServerSignals {
    /// First step: every response from now on asks the caller to close its connection (`Connection: close`).
    pub leaving: CancellationToken,
    /// Second step: no more connections are accepted, idle ones are closed, and the others close after their response.
    pub closing: CancellationToken,
    /// The accepted connections that are open.
    connections: TaskTracker,
}

impl ServerSignals {
    /// Number of accepted connections that are open.
    pub fn open_connections(&self) -> usize {
        self.connections.len()
    }

    /// Waits until all accepted connections have closed, each after its last response is written. Meant to follow
    /// [`Self::closing`], without which idle connections stay open.
    pub async fn wait_until_closed(&self) {
        self.connections.close();
        self.connections.wait().await;
    }
}

/// Listens on an address. Sets `SO_REUSEADDR`, so that the address can be reused immediately after a previous process
/// has ended. The system buffers `buffer_bytes` of what each accepted connection receives, and as much of what it sends.
///
/// # Errors
/// Returns the operating system's error if the socket cannot be bound.
pub fn listen(address: SocketAddr, buffer_bytes: usize) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit it. Otherwise the body of a response waits until the client has acknowledged the
    // head, which it delays by up to 40 ms (RFC 1122, section 4.2.3.4).
    socket.set_nodelay(true)?;
    // Accepted connections inherit the sizes. Otherwise the system enlarges the buffers of each to several megabytes.
    let buffer_bytes = u32::try_from(buffer_bytes).unwrap_or(u32::MAX);
    socket.set_recv_buffer_size(buffer_bytes)?;
    socket.set_send_buffer_size(buffer_bytes)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts connections until [`ServerSignals::closing`] and serves each in a local task of its own. `limits` is called
/// for each connection, since the limits may change while the process runs. If as many connections are open as `share`
/// allows, one that waits for its client is closed; if there is none, the new one is.
///
/// The handler receives the connection of the client with each of its requests.
pub async fn accept_connections<Handler, ResponseFuture, ResponseBody>(
    listener: TcpListener,
    limits: impl Fn() -> ConnectionLimits,
    share: ListenerShare,
    signals: ServerSignals,
    handler: Handler,
) where
    Handler: Fn(ClientConnection, Request<Incoming>) -> ResponseFuture + Clone + 'static,
    ResponseFuture: Future<Output = Response<ResponseBody>> + 'static,
    ResponseBody: Body<Error = Infallible> + Unpin + 'static,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = signals.closing.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else {
            // Most likely the process is out of file descriptors. Connections that close free some.
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let limits = limits();
        let Some(slot) = share.open(limits.max_header_bytes).await else {
            continue;
        };
        let connection = serve_connection(stream, slot, limits, signals.clone(), handler.clone());
        signals.connections.spawn_local(connection);
    }
}

/// Observes a connection's stream, and adjusts its send buffer.
struct ActivityObserver {
    client: ClientConnection,
    send_buffer: SendBuffer,
}

impl StreamObserver for ActivityObserver {
    fn bytes_read(&self, _: usize) -> io::Result<()> {
        self.client.activity().bytes_received();
        Ok(())
    }

    fn write_polled(&mut self, stream: &TcpStream, is_written: bool) {
        self.client.activity().write_polled(is_written);
        self.send_buffer.write_polled(stream, is_written);
    }

    fn flushed(&mut self, stream: &TcpStream) {
        self.send_buffer.response_written(stream);
    }

    fn is_drained(&mut self, stream: &TcpStream) -> bool {
        self.send_buffer.is_drained(stream)
    }

    fn discards_rest(&self) -> bool {
        self.client.activity().is_discarded() && !self.send_buffer.is_usual()
    }
}

/// Serves one connection until it closes or must make room for others. The handler's future is dropped if the caller
/// disconnects.
async fn serve_connection<Handler, ResponseFuture, ResponseBody>(
    stream: TcpStream,
    slot: ConnectionSlot,
    limits: ConnectionLimits,
    signals: ServerSignals,
    handler: Handler,
) where
    Handler: Fn(ClientConnection, Request<Incoming>) -> ResponseFuture,
    ResponseFuture: Future<Output = Response<ResponseBody>>,
    ResponseBody: Body<Error = Infallible> + Unpin + 'static,
{
    let client = slot.client();
    let activity = slot.activity();
    let observer = ActivityObserver {
        client: client.clone(),
        send_buffer: SendBuffer::new(client.clone()),
    };
    let stream = TokioIo::new(ObservedStream::new(stream, observer));
    let service = service_fn(|request: Request<Incoming>| {
        activity.request_started();
        let response = handler(client.clone(), request);
        let leaving = signals.leaving.clone();
        async move {
            let mut response = response.await;
            if leaving.is_cancelled() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            activity.response_ready();
            let response = response.map(|body| HeldResponse::new(body, client));
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = Builder::new();
    builder
        .max_buf_size(limits.max_header_bytes.max(MIN_READ_BUFFER_BYTES))
        .auto_date_header(false);
    let mut connection = pin!(builder.serve_connection(stream, service));
    let mut is_closing = false;
    loop {
        tokio::select! {
            // An error is the caller's: it disconnected or sent an invalid request.
            _ = connection.as_mut() => return,
            () = signals.closing.cancelled(), if !is_closing => {
                is_closing = true;
                connection.as_mut().graceful_shutdown();
            }
            () = slot.evicted() => {
                activity.discard_rest();
                return;
            }
            () = activity.check_requested() => {}
            () = sleep_until(next_check(activity, limits)) => match activity.state() {
                ConnectionState::ReadingHeader(since) if since.elapsed() >= limits.header_timeout => return,
                ConnectionState::Blocked(since) if since.elapsed() >= limits.idle_timeout => {
                    activity.discard_rest();
                    return;
                }
                ConnectionState::Idle(_) if is_drain_stalled(activity, limits) => {
                    activity.discard_rest();
                    return;
                }
                ConnectionState::Idle(since) if since.elapsed() >= limits.idle_timeout => {
                    is_closing = true;
                    connection.as_mut().graceful_shutdown();
                }
                _ => {}
            },
        }
    }
}

/// Whether the client takes too little of what the system has yet to send.
fn is_drain_stalled(activity: &Activity, limits: ConnectionLimits) -> bool {
    let since = activity.draining_since();
    since.is_some_and(|since| since.elapsed() >= limits.idle_timeout)
}

/// Returns when the connection's timeouts must be checked next.
fn next_check(activity: &Activity, limits: ConnectionLimits) -> Instant {
    if activity.draining_since().is_some() {
        return Instant::now() + DRAIN_CHECK_INTERVAL;
    }
    let at = match activity.state() {
        ConnectionState::Busy => std::time::Instant::now() + limits.header_timeout,
        ConnectionState::Idle(since) => {
            // A header section may begin to arrive in the meantime, so the next check is no later than its timeout.
            let latest_check = std::time::Instant::now() + limits.header_timeout;
            (since + limits.idle_timeout).min(latest_check)
        }
        ConnectionState::ReadingHeader(since) => since + limits.header_timeout,
        // The send buffer of a slow client is reduced in the meantime.
        ConnectionState::Blocked(since) => {
            (since + limits.idle_timeout).min(std::time::Instant::now() + BLOCKED_CHECK_INTERVAL)
        }
    };
    let earliest_check = std::time::Instant::now() + Duration::from_millis(10);
    Instant::from_std(at.max(earliest_check))
}
