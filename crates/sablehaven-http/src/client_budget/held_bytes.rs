//! The bytes of bodies that are held for clients.

use std::{
    fmt::{Debug, Formatter},
    sync::{Arc, atomic::Ordering},
};

use super::{BudgetState, ClientConnection, Connection, Room, Shared};
use crate::activity::Activity;

/// Fraction of [`crate::ClientLimits::body_bytes`] that requests may use, in quarters. The rest is for replies, so that work
/// that servers have done is not lost to requests that have not begun.
const REQUEST_QUARTERS: usize = 3;

/// What is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeldFor {
    /// The body of a request.
    Request,
    /// The reply of a server.
    Reply,
}

/// The process already holds as many bytes for its clients as it may, and none of them is waiting for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
#[displaydoc("no memory is left for another {length} bytes of bodies")]
pub struct NoMemoryLeft {
    /// The number of bytes that were asked for.
    pub length: usize,
}

/// Bytes that are held for a client, until this is dropped.
pub struct HeldBytes {
    client: ClientConnection,
    length: usize,
}

/// The time during which the body of a request is read.
pub(crate) struct BodyReading<'a>(&'a Activity);

impl Drop for BodyReading<'_> {
    fn drop(&mut self) {
        self.0.body_ended();
    }
}

impl Shared {
    /// The limit of all held bytes for holding more of them.
    fn byte_limit(&self, held_for: HeldFor) -> usize {
        match held_for {
            HeldFor::Request => self.limits.body_bytes / 4 * REQUEST_QUARTERS,
            HeldFor::Reply => self.limits.body_bytes,
        }
    }
}

impl BudgetState {
    /// Room for `length` more bytes of `client`, within `limit` for all.
    fn room_for_bytes(&mut self, client: &Arc<Connection>, length: usize, limit: usize) -> Room {
        let missing = (self.body_bytes + length).saturating_sub(limit);
        if missing == 0 {
            self.add_bytes(client, length);
            return Room::Free;
        }
        if self.evict_bytes(client, missing) {
            return Room::Awaited;
        }
        self.refused_bodies += 1;
        Room::None
    }

    fn add_bytes(&mut self, client: &Connection, length: usize) {
        self.body_bytes += length;
        client.held_bytes.fetch_add(length, Ordering::Relaxed);
    }

    /// Closes connections other than `client` until those that are being closed hold at least `length` bytes. Returns
    /// whether there are enough of them.
    fn evict_bytes(&mut self, client: &Arc<Connection>, length: usize) -> bool {
        let can_evict = |other: &Arc<Connection>| {
            let is_other = !Arc::ptr_eq(other, client);
            is_other && other.held_bytes() > 0
        };
        while self.evicted_bytes() < length {
            if !self.evict_slowest(can_evict) {
                return false;
            }
        }
        true
    }

    /// Number of bytes that are held for connections that are being closed.
    fn evicted_bytes(&self) -> usize {
        let evicted = self.connections.values().filter(|other| other.is_evicted());
        evicted.map(|other| other.held_bytes()).sum()
    }
}

impl ClientConnection {
    /// Holds bytes for this client. If too many are held, connections that hold some and have waited longest for their
    /// clients are closed first.
    ///
    /// # Errors
    /// [`NoMemoryLeft`] if that does not suffice.
    pub async fn hold(&self, length: usize, held_for: HeldFor) -> Result<HeldBytes, NoMemoryLeft> {
        let mut held = self.hold_nothing();
        held.grow(length, held_for).await?;
        Ok(held)
    }

    fn release(&self, length: usize) {
        let Self { shared, connection } = self;
        connection.held_bytes.fetch_sub(length, Ordering::Relaxed);
        shared.lock().body_bytes -= length;
        shared.released.notify_waiters();
    }

    pub(crate) fn hold_nothing(&self) -> HeldBytes {
        HeldBytes {
            client: self.clone(),
            length: 0,
        }
    }

    /// Marks the connection as waiting for its client to send the body of a request, until the returned value is
    /// dropped.
    pub(crate) fn start_reading(&self) -> BodyReading<'_> {
        self.activity().body_started();
        BodyReading(self.activity())
    }

    /// Holds the bytes of a response that exists already. If too many are held then, connections that have waited
    /// longest for their clients are closed, in the last place this one.
    pub fn hold_response(&self, length: usize) -> HeldBytes {
        let ClientConnection { shared, connection } = self;
        let mut state = shared.lock();
        state.add_bytes(connection, length);
        let excess = state.body_bytes.saturating_sub(shared.limits.body_bytes);
        if excess > 0 && !state.evict_bytes(connection, excess) {
            state.evict(connection);
        }
        HeldBytes {
            client: self.clone(),
            length,
        }
    }
}

impl HeldBytes {
    /// Number of bytes.
    pub fn length(&self) -> usize {
        self.length
    }

    /// Releases what is held beyond `length` bytes.
    pub(crate) fn shrink(&mut self, length: usize) {
        let released = self.length.saturating_sub(length);
        self.length -= released;
        self.client.release(released);
    }

    /// Holds `additional` more bytes if no other connection has to be closed for it and what only replies may use remains.
    /// Returns whether it does.
    pub(crate) fn try_grow(&mut self, additional: usize) -> bool {
        let ClientConnection { shared, connection } = &self.client;
        let mut state = shared.lock();
        if state.body_bytes + additional > shared.byte_limit(HeldFor::Request) {
            return false;
        }
        state.add_bytes(connection, additional);
        self.length += additional;
        true
    }

    /// Holds `additional` more bytes; see [`ClientConnection::hold`].
    ///
    /// # Errors
    /// [`NoMemoryLeft`]; what was held before still is.
    pub async fn grow(&mut self, additional: usize, held_for: HeldFor) -> Result<(), NoMemoryLeft> {
        let ClientConnection { shared, connection } = &self.client;
        let limit = shared.byte_limit(held_for);
        loop {
            let mut released = std::pin::pin!(shared.released.notified());
            released.as_mut().enable();
            let room = shared.lock().room_for_bytes(connection, additional, limit);
            match room {
                Room::Free => break,
                Room::Awaited => released.await,
                Room::None => return Err(NoMemoryLeft { length: additional }),
            }
        }
        self.length += additional;
        Ok(())
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.client.release(self.length);
    }
}

impl Debug for HeldBytes {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{} held bytes", self.length)
    }
}
