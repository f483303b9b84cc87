//! Calls that put and read the routes, and that direct callers to gateways.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use sablehaven_types::{Placement, RouteDocument, RouteError};

use super::PutRoutes;
use crate::{
    driver::read,
    quorum_call::{QuorumCallError, propose_as_leader, prove_leadership},
    server::Context,
    shared::SharedCommand,
};

/// Why a call about the routes failed.
#[derive(Clone, Debug, PartialEq, displaydoc::Display, thiserror::Error)]
pub enum RoutesCallError {
    /// put routes: {0}
    Invalid(RouteError),
    /// routes: {0}
    Quorum(#[from] QuorumCallError),
}

/// Puts and reads the routes through one control replica. Cheap to clone.
#[derive(Clone)]
pub struct RoutesService {
    context: Arc<Context>,
}

impl RoutesService {
    pub(crate) fn new(context: Arc<Context>) -> Self {
        Self { context }
    }

    /// Puts routes in force, unless the same or a newer version is in force already. The document is validated first, on
    /// its own and whatever its version.
    ///
    /// # Errors
    /// See [`RoutesCallError`]. After [`QuorumCallError::Unavailable`] the routes may or may not come into force; the
    /// caller should send the same document again, to any replica.
    pub async fn put(&self, document: RouteDocument, source: Bytes) -> Result<(), RoutesCallError> {
        document.validate().map_err(RoutesCallError::Invalid)?;
        let current = read(&self.context.state, |state| state.routes().version());
        // Applied entries are committed, so this check is correct on every replica, including followers.
        if current >= document.version && current > 0 {
            return Ok(());
        }
        let document = Arc::new(document);
        let command = SharedCommand::Routes(PutRoutes { document, source });
        propose_as_leader(&self.context, command).await?;
        Ok(())
    }

    /// The newest routes as the operator sent them, or `None` before the first. A linearizable read: a quorum confirms
    /// that this replica leads.
    ///
    /// # Errors
    /// See [`RoutesCallError`]. An older version is never returned instead.
    pub async fn newest(&self) -> Result<Option<Bytes>, RoutesCallError> {
        prove_leadership(&self.context).await?;
        Ok(read(&self.context.state, |state| {
            state
                .routes()
                .current()
                .map(|current| current.source.clone())
        }))
    }

    /// The addresses of the gateways that a caller at this placement should use for a host, the nearest first. Empty until
    /// gateways have had time to connect to this replica after its start.
    pub fn gateway_addresses(&self, host: &str, caller: &Placement) -> Vec<SocketAddr> {
        if !self.context.gateways.is_settled() {
            return Vec::new();
        }
        let allowed = read(&self.context.state, |state| {
            let current = state.routes().current();
            current.map(|current| current.document.allowed_regions_of_host(host))
        });
        self.context
            .gateways
            .resolve(caller, &allowed.unwrap_or_default())
    }
}
