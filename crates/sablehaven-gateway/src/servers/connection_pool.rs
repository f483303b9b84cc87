//! The connection pool of one server: a few connections that are reused for many requests.

use std::{
    cell::{Cell, RefCell},
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::{Duration, Instant},
};

use hyper::{client::conn::http1::SendRequest, header::HeaderMap};
use sablehaven_http::{ConnectError, HeadLimit, WholeBody, connect};
use tokio::{sync::Notify, task::spawn_local};

use super::connection_share::ConnectionShare;

/// Idle timeout of a connection if the server does not announce its own with `keep-alive`.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// Fraction of the server's announced idle timeout after which a connection is no longer reused, because the server may
/// close it a little early.
const KEEP_ALIVE_FRACTION: f64 = 0.8;
/// Maximum time for which an idle connection is kept, whatever the server announces.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(60 * 60);
/// The share of a pool before the number of gateways is known.
const INITIAL_SHARE: ConnectionShare = ConnectionShare {
    limit: 1,
    idle_fraction: 1.0,
};
/// How long sent bytes may stay unacknowledged before the connection fails.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(3);

/// The connection pool of one server.
pub(crate) struct ConnectionPool {
    address: SocketAddr,
    state: Rc<PoolState>,
}

struct PoolState {
    idle: RefCell<Vec<IdleConnection>>,
    /// Number of connections that are open or being opened.
    open: Cell<usize>,
    share: Cell<ConnectionShare>,
    /// Notified when a connection becomes idle or its permit is returned.
    released: Notify,
    is_closed: Cell<bool>,
}

struct IdleConnection {
    sender: SendRequest<WholeBody>,
    head_limit: HeadLimit,
    usable_until: Instant,
    permit: Permit,
}

/// A connection in use by one request. Dropping it without [`Self::release`] closes it.
pub(crate) struct PooledConnection {
    pub(crate) sender: SendRequest<WholeBody>,
    /// Limits what precedes the body of a reply.
    pub(crate) head_limit: HeadLimit,
    /// Whether it has carried an earlier request.
    pub(crate) is_reused: bool,
    /// The measured round trip, if the connection is new.
    pub(crate) round_trip: Option<Duration>,
    permit: Permit,
}

/// Permission for one connection within the limit; dropping it lets another one be opened.
struct Permit {
    state: Rc<PoolState>,
}

impl PoolState {
    /// Whether more connections are open than the share allows. The share shrinks when gateways join.
    fn is_over_limit(&self) -> bool {
        self.open.get() > self.share.get().limit
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.state.open.set(self.state.open.get() - 1);
        self.state.released.notify_one();
    }
}

impl ConnectionPool {
    pub(crate) fn new(address: SocketAddr) -> Self {
        let state = PoolState {
            idle: RefCell::default(),
            open: Cell::new(0),
            share: Cell::new(INITIAL_SHARE),
            released: Notify::new(),
            is_closed: Cell::new(false),
        };
        Self {
            address,
            state: Rc::new(state),
        }
    }

    /// Changes the number of allowed connections and their idle timeout.
    pub(super) fn set_share(&self, share: ConnectionShare) {
        let previous = self.state.share.replace(share);
        if share.limit > previous.limit {
            self.state.released.notify_waiters();
        }
        // Connections in use are closed when they are released.
        while self.state.is_over_limit() {
            let idle = self.state.idle.borrow_mut().pop();
            if idle.is_none() {
                return;
            }
        }
    }

    /// The number of allowed connections.
    pub(crate) fn limit(&self) -> u32 {
        u32::try_from(self.state.share.get().limit).unwrap_or(u32::MAX)
    }

    /// Returns an idle connection or opens a new one; at the limit, waits for the next that is released.
    ///
    /// # Errors
    /// [`ConnectError`] if a new connection cannot be opened. Nothing has been sent then.
    pub(crate) async fn acquire(
        &self,
        source: Option<IpAddr>,
        connect_timeout: Duration,
    ) -> Result<PooledConnection, ConnectError> {
        loop {
            if let Some(idle) = self.take_idle().await {
                return Ok(idle);
            }
            if self.state.open.get() < self.state.share.get().limit {
                return self.open_new(source, connect_timeout).await;
            }
            self.state.released.notified().await;
        }
    }

    async fn take_idle(&self) -> Option<PooledConnection> {
        loop {
            let idle = self.state.idle.borrow_mut().pop()?;
            let permit = idle.permit;
            let mut sender = idle.sender;
            let is_usable = idle.usable_until > Instant::now() && !sender.is_closed();
            if is_usable && sender.ready().await.is_ok() {
                return Some(PooledConnection {
                    sender,
                    head_limit: idle.head_limit,
                    is_reused: true,
                    round_trip: None,
                    permit,
                });
            }
        }
    }

    async fn open_new(
        &self,
        source: Option<IpAddr>,
        connect_timeout: Duration,
    ) -> Result<PooledConnection, ConnectError> {
        self.state.open.set(self.state.open.get() + 1);
        let permit = Permit {
            state: Rc::clone(&self.state),
        };
        let opened = connect(source, self.address, connect_timeout, TCP_USER_TIMEOUT).await?;
        let connection = opened.connection;
        spawn_local(async move {
            // The request that uses the connection reports its errors.
            let _ = connection.await;
        });
        Ok(PooledConnection {
            sender: opened.sender,
            head_limit: opened.head_limit,
            is_reused: false,
            round_trip: Some(opened.round_trip),
            permit,
        })
    }

    /// Closes the idle connections now and those in use after their replies.
    pub(crate) fn close_idle(&self) {
        self.state.is_closed.set(true);
        let idle = std::mem::take(&mut *self.state.idle.borrow_mut());
        drop(idle);
    }

    /// Closes the connections that have been idle for too long to be reused.
    pub(crate) fn close_expired(&self) {
        let now = Instant::now();
        let mut idle = self.state.idle.borrow_mut();
        idle.retain(|connection| connection.usable_until > now && !connection.sender.is_closed());
    }
}

impl PooledConnection {
    /// Returns the connection to the pool after a complete and valid reply.
    pub(crate) fn release(self, reply_headers: &HeaderMap) {
        let state = Rc::clone(&self.permit.state);
        if state.is_closed.get() || state.is_over_limit() || self.sender.is_closed() {
            return;
        }
        let base = keep_alive_timeout(reply_headers).map_or(DEFAULT_IDLE_TIMEOUT, |timeout| {
            timeout.mul_f64(KEEP_ALIVE_FRACTION)
        });
        let idle_count = state.idle.borrow().len();
        let idle_timeout = state.share.get().idle_timeout(base, idle_count);
        // An idle connection keeps its permit.
        state.idle.borrow_mut().push(IdleConnection {
            sender: self.sender,
            head_limit: self.head_limit,
            usable_until: Instant::now() + idle_timeout,
            permit: self.permit,
        });
        state.released.notify_one();
    }
}

/// The idle timeout that the server announces in the `keep-alive` header, at most [`MAX_IDLE_TIMEOUT`].
fn keep_alive_timeout(reply_headers: &HeaderMap) -> Option<Duration> {
    let text = reply_headers.get("keep-alive")?.to_str().ok()?;
    let parts = text.split(',').map(str::trim);
    let seconds = parts
        .filter_map(|part| part.split_once('='))
        .find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"))?
        .1;
    let timeout = Duration::from_secs(seconds.trim().parse().ok()?);
    Some(timeout.min(MAX_IDLE_TIMEOUT))
}
