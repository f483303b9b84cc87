//! The open connections to one service's back ends, bounded by the router's subset.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, PoisonError, RwLock},
};

use sablehaven_types::BackendId;

use super::{BackendClient, ConnectionSettings, TransportError};

/// Connections by back end. A back end has at most one, and only members of the subset keep one.
#[derive(Debug)]
pub struct BackendConnections {
    settings: ConnectionSettings,
    clients: RwLock<HashMap<BackendId, Arc<BackendClient>>>,
}

impl BackendConnections {
    /// No connection yet.
    pub fn new(settings: ConnectionSettings) -> Self {
        Self {
            settings,
            clients: RwLock::default(),
        }
    }

    /// The connection to a back end; made if there is none to this address yet.
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

    /// Closes the connections to back ends that are not wanted any more, once the attempts on them
    /// have ended, and gives those that have to be opened.
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

    /// The number of back ends with a connection.
    pub fn len(&self) -> usize {
        let clients = self.clients.read().unwrap_or_else(PoisonError::into_inner);
        clients.len()
    }

    /// Whether no back end has a connection.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn find(&self, backend: &BackendId, address: SocketAddr) -> Option<Arc<BackendClient>> {
        let clients = self.clients.read().unwrap_or_else(PoisonError::into_inner);
        let client = clients.get(backend)?;
        (client.address() == address).then(|| Arc::clone(client))
    }
}
