//! Admits the connections of a salvo server, and observes them.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use sablehaven_http::{ClientConnection, ConnectionSlot, ListenerShare};
use salvo::{
    async_trait,
    conn::{ConnCtrl, SocketAddr},
    fuse::{ArcConnObserver, ConnObserver, FuseAction, FuseConfig, FuseInfo, FusePolicy},
};
use tokio::task::AbortHandle;

use crate::MAX_HEADER_BYTES;

/// Timeout for receiving the head of a request, and maximum time for which a client takes no byte of a response.
const STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// The open connections of a server, by the address of the client. Cheap to clone.
#[derive(Clone, Default)]
pub(crate) struct OpenConnections(Arc<Mutex<ConnectionMap>>);

type ConnectionMap = HashMap<std::net::SocketAddr, ClientConnection>;

/// Admits connections within a share of the budget.
pub(crate) struct ConnectionPolicy {
    share: ListenerShare,
    open: OpenConnections,
    /// The connection that was admitted last, until it is observed.
    admitted: Mutex<Option<ConnectionSlot>>,
}

/// Observes a connection, which counts until this is dropped.
struct ConnectionObserver {
    client: ClientConnection,
    address: std::net::SocketAddr,
    open: OpenConnections,
    /// Holds the slot, and closes the connection to make room for others.
    closer: AbortHandle,
}

impl OpenConnections {
    /// The connection from an address.
    pub(crate) fn find(&self, address: &SocketAddr) -> Option<ClientConnection> {
        let address = address.clone().into_std()?;
        self.lock().get(&address).cloned()
    }

    fn lock(&self) -> MutexGuard<'_, ConnectionMap> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ConnectionPolicy {
    pub(crate) fn new(share: ListenerShare, open: OpenConnections) -> Self {
        Self {
            share,
            open,
            admitted: Mutex::default(),
        }
    }

    fn admitted(&self) -> MutexGuard<'_, Option<ConnectionSlot>> {
        self.admitted.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[async_trait]
impl FusePolicy for ConnectionPolicy {
    async fn decide(&self, _: &FuseInfo) -> FuseAction {
        let Some(slot) = self.share.open(MAX_HEADER_BYTES).await else {
            return FuseAction::Reject;
        };
        *self.admitted() = Some(slot);
        let config = FuseConfig::default().with_http1_header_timeout(STALL_TIMEOUT);
        FuseAction::Accept(config.with_write_stall_timeout(STALL_TIMEOUT))
    }

    /// Called for the connection that was admitted last: the server accepts one at a time.
    fn observe(&self, info: &FuseInfo, control: &ConnCtrl) -> Option<ArcConnObserver> {
        let slot = self.admitted().take()?;
        let client = slot.client().clone();
        let address = info.remote_addr.clone().into_std()?;
        self.open.lock().insert(address, client.clone());
        let control = control.clone();
        let closer = tokio::spawn(async move {
            slot.evicted().await;
            control.abort();
            // The slot is released when the connection has closed, which ends this task.
            std::future::pending::<()>().await;
        });
        Some(Arc::new(ConnectionObserver {
            client,
            address,
            open: self.open.clone(),
            closer: closer.abort_handle(),
        }))
    }
}

impl ConnObserver for ConnectionObserver {
    fn on_read(&self, _: usize) {
        self.client.bytes_received();
    }
}

impl Drop for ConnectionObserver {
    fn drop(&mut self) {
        let mut open = self.open.lock();
        // The client may have opened its next connection from the same port already.
        if open
            .get(&self.address)
            .is_some_and(|client| client.is_same(&self.client))
        {
            open.remove(&self.address);
        }
        drop(open);
        self.closer.abort();
    }
}
