//! The connections to one server: a few, kept for many requests.

use std::{
    cell::{Cell, RefCell},
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::{Duration, Instant},
};

use hyper::{client::conn::http1::SendRequest, header::HeaderMap};
use sablehaven_http::{ConnectError, WholeBody, open};
use tokio::{sync::Notify, task::spawn_local};

use super::connection_share::ConnectionShare;

/// Rest after which a connection is not used again when the server does not say how long it keeps
/// one.
const DEFAULT_REST: Duration = Duration::from_secs(8);
/// Part of the server's own time for which a connection is used: it may close a little early.
const REST_SHARE: f64 = 0.8;
/// What a pool may have before the gateways were counted.
const FIRST_SHARE: ConnectionShare = ConnectionShare {
    limit: 1,
    kept: 1.0,
};
/// Time that sent bytes may stay unacknowledged.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// The connections to one server.
pub(crate) struct ConnectionPool {
    address: SocketAddr,
    inner: Rc<Inner>,
}

struct Inner {
    resting: RefCell<Vec<Resting>>,
    /// Connections that are open or being opened.
    open: Cell<usize>,
    share: Cell<ConnectionShare>,
    freed: Notify,
    is_closed: Cell<bool>,
}

struct Resting {
    sender: SendRequest<WholeBody>,
    usable_until: Instant,
    place: Place,
}

/// A connection that one request uses; closed when it is dropped without [`Self::give_back`].
pub(crate) struct InUse {
    pub(crate) sender: SendRequest<WholeBody>,
    /// Whether it has carried a request before.
    pub(crate) is_reused: bool,
    /// The time that it took to open, where it is new.
    pub(crate) round_trip: Option<Duration>,
    place: Place,
}

/// One of the places that the limit allows.
struct Place {
    inner: Rc<Inner>,
}

impl Inner {
    /// Whether there are more connections than the share allows: it shrinks as more gateways come.
    fn is_over_limit(&self) -> bool {
        self.open.get() > self.share.get().limit
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.inner.open.set(self.inner.open.get() - 1);
        self.inner.freed.notify_one();
    }
}

impl ConnectionPool {
    pub(crate) fn new(address: SocketAddr) -> Self {
        let inner = Inner {
            resting: RefCell::default(),
            open: Cell::new(0),
            share: Cell::new(FIRST_SHARE),
            freed: Notify::new(),
            is_closed: Cell::new(false),
        };
        Self {
            address,
            inner: Rc::new(inner),
        }
    }

    /// Changes how many connections there may be, and how long they are kept.
    pub(super) fn set_share(&self, share: ConnectionShare) {
        let former = self.inner.share.replace(share);
        if share.limit > former.limit {
            self.inner.freed.notify_waiters();
        }
        // Those in use are closed when they are given back.
        while self.inner.is_over_limit() {
            let resting = self.inner.resting.borrow_mut().pop();
            if resting.is_none() {
                return;
            }
        }
    }

    /// How many connections there may be.
    pub(crate) fn limit(&self) -> u32 {
        u32::try_from(self.inner.share.get().limit).unwrap_or(u32::MAX)
    }

    /// A connection that rests, or a new one, or the next that becomes free.
    ///
    /// # Errors
    /// [`ConnectError`]; nothing was sent.
    pub(crate) async fn take(
        &self,
        source: Option<IpAddr>,
        connect_limit: Duration,
    ) -> Result<InUse, ConnectError> {
        loop {
            if let Some(resting) = self.take_resting().await {
                return Ok(resting);
            }
            if self.inner.open.get() < self.inner.share.get().limit {
                return self.open_new(source, connect_limit).await;
            }
            self.inner.freed.notified().await;
        }
    }

    async fn take_resting(&self) -> Option<InUse> {
        loop {
            let resting = self.inner.resting.borrow_mut().pop()?;
            let place = resting.place;
            let mut sender = resting.sender;
            let is_usable = resting.usable_until > Instant::now() && !sender.is_closed();
            if is_usable && sender.ready().await.is_ok() {
                return Some(InUse {
                    sender,
                    is_reused: true,
                    round_trip: None,
                    place,
                });
            }
        }
    }

    async fn open_new(
        &self,
        source: Option<IpAddr>,
        connect_limit: Duration,
    ) -> Result<InUse, ConnectError> {
        self.inner.open.set(self.inner.open.get() + 1);
        let place = Place {
            inner: Rc::clone(&self.inner),
        };
        let opened = open(source, self.address, connect_limit, USER_TIMEOUT).await?;
        let connection = opened.connection;
        spawn_local(async move {
            // What went wrong shows at the request that used it.
            let _ = connection.await;
        });
        Ok(InUse {
            sender: opened.sender,
            is_reused: false,
            round_trip: Some(opened.round_trip),
            place,
        })
    }

    /// Closes the connections that rest, and those in use after their answer.
    pub(crate) fn close_resting(&self) {
        self.inner.is_closed.set(true);
        let resting = std::mem::take(&mut *self.inner.resting.borrow_mut());
        drop(resting);
    }

    /// Closes connections that have rested too long to be used again.
    pub(crate) fn drop_stale(&self) {
        let now = Instant::now();
        let mut resting = self.inner.resting.borrow_mut();
        resting.retain(|each| each.usable_until > now && !each.sender.is_closed());
    }
}

impl InUse {
    /// Gives the connection back after an answer that ended as it must.
    pub(crate) fn give_back(self, answer: &HeaderMap) {
        let inner = Rc::clone(&self.place.inner);
        if inner.is_closed.get() || inner.is_over_limit() || self.sender.is_closed() {
            return;
        }
        let usual = keep_alive(answer).map_or(DEFAULT_REST, |time| time.mul_f64(REST_SHARE));
        let resting = inner.resting.borrow().len();
        let rest = inner.share.get().rest(usual, resting);
        // The place stays taken while the connection rests.
        inner.resting.borrow_mut().push(Resting {
            sender: self.sender,
            usable_until: Instant::now() + rest,
            place: self.place,
        });
        inner.freed.notify_one();
    }
}

/// The time for which a server keeps a resting connection, if it says so.
fn keep_alive(answer: &HeaderMap) -> Option<Duration> {
    let text = answer.get("keep-alive")?.to_str().ok()?;
    let parts = text.split(',').map(str::trim);
    let seconds = parts
        .filter_map(|part| part.split_once('='))
        .find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"))?
        .1;
    Some(Duration::from_secs(seconds.trim().parse().ok()?))
}
