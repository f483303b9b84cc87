//! The connections to the back ends of one service, limited to the subset chosen by the router.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, PoisonError, RwLock},
};

use sablehaven_types::BackendId;

use super::{BackendClient, ConnectionSettings, TransportError};

/// The clients of the back ends of one service. Each back end has at most one, and
/// [`reconcile`](Self::reconcile) removes those that are not in the subset.
#[derive(Debug)]
pub struct BackendConnections {
    settings: ConnectionSettings,
    clients: RwLock<HashMap<BackendId, Arc<BackendClient>>>,
}

impl BackendConnections {
    /// Creates a set without connections.
    pub fn new(settings: ConnectionSettings) -> Self {
        Self {
            settings,
            clients: RwLock::default(),
        }
    }

    /// Returns the client of a back end; creates one if there is none for this address.
    pub fn client(
        &self,
        backend: &BackendId,
        address: SocketAddr,
    ) -> Result<Arc<BackendClient>, TransportError> {
        if let Some(client) = self.find(backend, address) {
            return Ok(client);
        }
        let client = Arc::new(BackendClient::new(address, &self.settings)?);
        let mut clients = self.clients.write().unwrap_or_else(PoisonError::into_inner);
        clients.insert(backend.clone(), Arc::clone(&client));
        Ok(client)
    }

    /// Drops the clients of back ends that are not in `required`, and creates those that are missing.
    ///
    /// A dropped connection is closed once the attempts on it have ended. Returns the created clients,
    /// whose connections are not open yet.
    pub fn reconcile(&self, required: &[(BackendId, SocketAddr)]) -> Vec<Arc<BackendClient>> {
        let mut clients = self.clients.write().unwrap_or_else(PoisonError::into_inner);
        clients.retain(|backend, client| {
            let entry = required.iter().find(|(id, _)| id == backend);
            entry.is_some_and(|(_, address)| *address == client.address())
        });
        let mut created = Vec::new();
        for (backend, address) in required {
            if clients.contains_key(backend) {
                continue;
            }
            let Ok(client) = BackendClient::new(*address, &self.settings) else {
                continue;
            };
            let client = Arc::new(client);
            clients.insert(backend.clone(), Arc::clone(&client));
            created.push(client);
        }
        created
    }

    /// Returns the number of back ends with a client.
    pub fn len(&self) -> usize {
        let clients = self.clients.read().unwrap_or_else(PoisonError::into_inner);
        clients.len()
    }

    /// Returns whether no back end has a client.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn find(&self, backend: &BackendId, address: SocketAddr) -> Option<Arc<BackendClient>> {
        let clients = self.clients.read().unwrap_or_else(PoisonError::into_inner);
        let client = clients.get(backend)?;
        (client.address() == address).then(|| Arc::clone(client))
    }
}
