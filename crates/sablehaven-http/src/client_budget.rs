//! Accounts for what a process holds for its clients: connections, and the bytes of bodies. Free of I/O.
//!
//! When a limit is reached, the connection that has waited longest for its client is closed: one that sends a request or
//! takes a response more slowly than any other, or is idle. A connection whose request is being served is not closed. If
//! there is no other, what was asked for is refused.

mod held_bytes;

use std::{
    collections::HashMap,
    fmt::{Debug, Formatter},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
};

use tokio::sync::Notify;

pub use self::held_bytes::{HeldBytes, HeldFor, NoMemoryLeft};
use crate::{ClientLimits, activity::Activity};

/// The use of a budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BudgetUse {
    /// Number of open connections.
    pub connections: usize,
    /// Number of bytes of bodies that are held.
    pub body_bytes: usize,
    /// Number of connections that were closed so far to make room for others.
    pub closed_connections: u64,
    /// Number of connections that were refused so far.
    pub refused_connections: u64,
    /// Number of bodies for which no memory was left so far.
    pub refused_bodies: u64,
}

/// The limits on what a process holds for its clients, and what it holds. Cheap to clone; all listeners of a process
/// share one.
#[derive(Clone)]
pub struct ClientBudget {
    shared: Arc<Shared>,
}

/// The part of a budget that one listener may use. Cheap to clone.
#[derive(Clone)]
pub struct ListenerShare {
    shared: Arc<Shared>,
    /// Index in [`BudgetState::listeners`].
    index: usize,
    max_connections: usize,
}

struct Shared {
    limits: ClientLimits,
    state: Mutex<BudgetState>,
    /// Notified when a connection has closed or bytes are released.
    released: Notify,
}

#[derive(Default)]
struct BudgetState {
    /// The open connections, by the order in which they were opened.
    connections: HashMap<u64, Arc<Connection>>,
    listeners: Vec<ConnectionCount>,
    opened: u64,
    body_bytes: usize,
    closed_connections: u64,
    refused_connections: u64,
    refused_bodies: u64,
}

/// The connections of one listener.
#[derive(Clone, Copy, Default)]
struct ConnectionCount {
    open: usize,
    /// How many of the open ones are being closed to make room.
    closing: usize,
}

struct Connection {
    /// Index in [`BudgetState::listeners`].
    listener: usize,
    activity: Activity,
    held_bytes: AtomicUsize,
    is_evicted: AtomicBool,
    evicted: Notify,
}

/// An open connection of a client, which counts until this is dropped.
pub struct ConnectionSlot {
    client: ClientConnection,
    number: u64,
}

/// The connection of a client, for which bytes are held. Cheap to clone.
#[derive(Clone)]
pub struct ClientConnection {
    shared: Arc<Shared>,
    connection: Arc<Connection>,
}

/// What to do about a limit that is reached.
enum Room {
    Free,
    /// Connections are being closed.
    Awaited,
    None,
}

impl ClientBudget {
    /// Creates an unused budget.
    pub fn new(limits: ClientLimits) -> Self {
        Self {
            shared: Arc::new(Shared {
                limits,
                state: Mutex::default(),
                released: Notify::new(),
            }),
        }
    }

    /// The limits.
    pub fn limits(&self) -> ClientLimits {
        self.shared.limits
    }

    /// The share of a listener that accepts at most `max_connections`.
    pub fn listener(&self, max_connections: usize) -> ListenerShare {
        let mut state = self.shared.lock();
        state.listeners.push(ConnectionCount::default());
        ListenerShare {
            shared: Arc::clone(&self.shared),
            index: state.listeners.len() - 1,
            max_connections,
        }
    }

    /// What is held now, and what was closed or refused so far.
    pub fn usage(&self) -> BudgetUse {
        let state = self.shared.lock();
        BudgetUse {
            connections: state.connections.len(),
            body_bytes: state.body_bytes,
            closed_connections: state.closed_connections,
            refused_connections: state.refused_connections,
            refused_bodies: state.refused_bodies,
        }
    }
}

impl ListenerShare {
    /// Opens a connection whose requests have heads of at most `max_header_bytes`. If there are as many as allowed, the
    /// one that has waited longest for its client is closed first; `None` if all of them are being served.
    pub async fn open(&self, max_header_bytes: usize) -> Option<ConnectionSlot> {
        let limit = self.shared.limits.connections(max_header_bytes);
        self.open_up_to(limit).await
    }

    /// Like [`Self::open`], with a limit of the number of connections that does not depend on their memory.
    pub async fn open_up_to(&self, limit: usize) -> Option<ConnectionSlot> {
        let shared = &self.shared;
        let limit = limit.min(self.max_connections);
        loop {
            let mut released = std::pin::pin!(shared.released.notified());
            released.as_mut().enable();
            let room = shared.lock().room_for_connection(self.index, limit);
            match room {
                Room::Free => return Some(self.open_slot()),
                Room::Awaited => released.await,
                Room::None => return None,
            }
        }
    }

    fn open_slot(&self) -> ConnectionSlot {
        let connection = Arc::new(Connection {
            listener: self.index,
            activity: Activity::new(),
            held_bytes: AtomicUsize::new(0),
            is_evicted: AtomicBool::new(false),
            evicted: Notify::new(),
        });
        let mut state = self.shared.lock();
        state.opened += 1;
        state.listeners[self.index].open += 1;
        let number = state.opened;
        state.connections.insert(number, Arc::clone(&connection));
        ConnectionSlot {
            client: ClientConnection {
                shared: Arc::clone(&self.shared),
                connection,
            },
            number,
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, BudgetState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl BudgetState {
    fn room_for_connection(&mut self, listener: usize, limit: usize) -> Room {
        let count = self.listeners[listener];
        if count.open < limit {
            return Room::Free;
        }
        let is_awaited = count.open - count.closing < limit;
        if is_awaited || self.evict_slowest(|connection| connection.listener == listener) {
            return Room::Awaited;
        }
        self.refused_connections += 1;
        Room::None
    }

    /// Closes the connection that has waited longest for its client, among those that `can_evict` returns true for.
    fn evict_slowest(&mut self, can_evict: impl Fn(&Arc<Connection>) -> bool) -> bool {
        let open = self.connections.values();
        let candidates =
            open.filter(|connection| !connection.is_evicted() && can_evict(connection));
        let waiting = candidates.filter_map(|connection| {
            let since = connection.activity.waiting_since()?;
            Some((since, connection))
        });
        let Some((_, slowest)) = waiting.min_by_key(|(since, _)| *since) else {
            return false;
        };
        let slowest = Arc::clone(slowest);
        self.evict(&slowest);
        true
    }

    fn evict(&mut self, connection: &Connection) {
        if connection.is_evicted.swap(true, Ordering::Relaxed) {
            return;
        }
        connection.evicted.notify_one();
        self.listeners[connection.listener].closing += 1;
        self.closed_connections += 1;
    }
}

impl Connection {
    fn is_evicted(&self) -> bool {
        self.is_evicted.load(Ordering::Relaxed)
    }

    fn held_bytes(&self) -> usize {
        self.held_bytes.load(Ordering::Relaxed)
    }
}

impl ConnectionSlot {
    /// The connection.
    pub fn client(&self) -> &ClientConnection {
        &self.client
    }

    pub(crate) fn activity(&self) -> &Activity {
        &self.client.connection.activity
    }

    /// Waits until the connection must be closed to make room for others.
    pub async fn evicted(&self) {
        self.client.connection.evicted.notified().await;
    }
}

impl Debug for ClientConnection {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "a client with {} held bytes",
            self.connection.held_bytes()
        )
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let ClientConnection { shared, connection } = &self.client;
        let mut state = shared.lock();
        state.connections.remove(&self.number);
        let count = &mut state.listeners[connection.listener];
        count.open -= 1;
        count.closing -= usize::from(connection.is_evicted());
        drop(state);
        shared.released.notify_waiters();
    }
}

impl ClientConnection {
    /// Whether both are the same connection.
    pub fn is_same(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.connection, &other.connection)
    }

    /// Records that bytes have arrived.
    pub fn bytes_received(&self) {
        self.activity().bytes_received();
    }

    /// Records that a request is being served. The connection is not closed to make room for others meanwhile.
    pub fn request_started(&self) {
        self.activity().request_started();
    }

    /// Records that the response to the request is ready.
    pub fn response_ready(&self) {
        self.activity().response_ready();
    }

    pub(crate) fn activity(&self) -> &Activity {
        &self.connection.activity
    }
}

#[cfg(test)]
mod tests;
