//! Connections that callers open.

use std::{convert::Infallible, net::SocketAddr, pin::pin, time::Duration};

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
    task::spawn_local,
    time::{Instant, sleep, sleep_until},
};
use tokio_util::sync::CancellationToken;

use crate::watched_stream::{Activity, Waiting, WatchedStream};

/// The least buffer that hyper takes, in bytes.
const LEAST_BUFFER_BYTES: usize = 8 * 1024;
/// Pause after a failed accept, so that the loop does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// New connections that may wait to be accepted.
const BACKLOG: u32 = 1024;

/// How long a caller may take and rest, and how much it may send before its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Largest head, in bytes; a larger one is answered 431.
    pub max_header_bytes: usize,
    /// Longest time for a head, from its first byte.
    pub header_timeout: Duration,
    /// Longest rest between two requests.
    pub idle_timeout: Duration,
}

/// The two steps of a planned stop; cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct ServerSignals {
    /// Every answer from now on asks the caller to close its connection.
    pub leaving: CancellationToken,
    /// Resting connections are closed, and the others after their answer.
    pub closing: CancellationToken,
}

/// Listens on an address; one that a former process has only just left is taken over.
///
/// # Errors
/// The system's.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts connections and serves each in a task of its own on this thread, until they are closing.
/// `bounds` is asked for each connection, since they may change while the process runs.
pub async fn accept_connections<Handler, Answering, Answer>(
    listener: TcpListener,
    bounds: impl Fn() -> ConnectionLimits,
    signals: ServerSignals,
    handler: Handler,
) where
    Handler: Fn(Request<Incoming>) -> Answering + Clone + 'static,
    Answering: Future<Output = Response<Answer>> + 'static,
    Answer: Body<Error = Infallible> + 'static,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = signals.closing.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else {
            // Out of file descriptors: connections that end free some.
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let serving = serve_connection(stream, bounds(), signals.clone(), handler.clone());
        spawn_local(serving);
    }
}

/// Serves one connection until it ends. The handler's future is dropped when the caller leaves.
pub async fn serve_connection<Handler, Answering, Answer>(
    stream: TcpStream,
    bounds: ConnectionLimits,
    signals: ServerSignals,
    handler: Handler,
) where
    Handler: Fn(Request<Incoming>) -> Answering,
    Answering: Future<Output = Response<Answer>>,
    Answer: Body<Error = Infallible> + 'static,
{
    // Without the option small answers are only late.
    let _ = stream.set_nodelay(true);
    let activity = Activity::new();
    let stream = TokioIo::new(WatchedStream::new(stream, activity.clone()));
    let service = service_fn(|request| {
        activity.begin();
        let answering = handler(request);
        let activity = activity.clone();
        let leaving = signals.leaving.clone();
        async move {
            let mut response = answering.await;
            if leaving.is_cancelled() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            activity.finish();
            Ok::<_, Infallible>(response)
        }
    });
    let mut builder = Builder::new();
    builder
        .max_buf_size(bounds.max_header_bytes.max(LEAST_BUFFER_BYTES))
        .auto_date_header(false);
    let mut connection = pin!(builder.serve_connection(stream, service));
    let mut is_closing = false;
    loop {
        tokio::select! {
            // Errors here are the caller's own: it left, or what it sent is no request.
            _ = connection.as_mut() => return,
            () = signals.closing.cancelled(), if !is_closing => {
                is_closing = true;
                connection.as_mut().graceful_shutdown();
            }
            () = sleep_until(next_look(&activity, bounds)) => match activity.waiting() {
                Waiting::Reading(since) if since.elapsed() >= bounds.header_timeout => return,
                Waiting::Resting(since) if since.elapsed() >= bounds.idle_timeout => {
                    is_closing = true;
                    connection.as_mut().graceful_shutdown();
                }
                _ => {}
            },
        }
    }
}

fn next_look(activity: &Activity, bounds: ConnectionLimits) -> Instant {
    let at = match activity.waiting() {
        Waiting::Busy => std::time::Instant::now() + bounds.header_timeout,
        Waiting::Resting(since) => {
            // A head may begin to arrive meanwhile, so no look is farther away than its time.
            let head = std::time::Instant::now() + bounds.header_timeout;
            (since + bounds.idle_timeout).min(head)
        }
        Waiting::Reading(since) => since + bounds.header_timeout,
    };
    let soonest = std::time::Instant::now() + Duration::from_millis(10);
    Instant::from_std(at.max(soonest))
}
