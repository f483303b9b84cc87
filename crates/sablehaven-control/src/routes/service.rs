//! Calls that put and read the routes, and answer callers where to go.

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

/// Why a call about the routes has no answer.
#[derive(Clone, Debug, PartialEq, displaydoc::Display, thiserror::Error)]
pub enum RoutesCallError {
    /// put routes: {0}
    Invalid(RouteError),
    /// routes: {0}
    Quorum(#[from] QuorumCallError),
}

/// Puts and reads the routes of one control replica; cheap to clone.
#[derive(Clone)]
pub struct RoutesService {
    context: Arc<Context>,
}

impl RoutesService {
    pub(crate) fn new(context: Arc<Context>) -> Self {
        Self { context }
    }

    /// Puts routes in force, unless a version that is not older is in force already. Validity is
    /// looked at first and from the document alone, whatever its version.
    ///
    /// # Errors
    /// See [`RoutesCallError`]. After [`QuorumCallError::Unavailable`] the routes may or may not
    /// come into force; send the same again, to any replica.
    pub async fn put(&self, document: RouteDocument, source: Bytes) -> Result<(), RoutesCallError> {
        document.validate().map_err(RoutesCallError::Invalid)?;
        let held = read(&self.context.state, |state| state.routes().version());
        // What is applied is committed, so this is true on every replica, a follower too.
        if held >= document.version && held > 0 {
            return Ok(());
        }
        let document = Arc::new(document);
        let command = SharedCommand::Routes(PutRoutes { document, source });
        propose_as_leader(&self.context, command).await?;
        Ok(())
    }

    /// The newest routes as the operator sent them, proved by a quorum; `None` before the first.
    ///
    /// # Errors
    /// See [`RoutesCallError`]; never an older version.
    pub async fn newest(&self) -> Result<Option<Bytes>, RoutesCallError> {
        prove_leadership(&self.context).await?;
        Ok(read(&self.context.state, |state| {
            state.routes().current().map(|held| held.source.clone())
        }))
    }

    /// Where a caller of a place is to go for a host: near gateways first. Empty while this replica cannot
    /// tell.
    pub fn gateway_addresses(&self, host: &str, caller: &Placement) -> Vec<SocketAddr> {
        if !self.context.gateways.is_settled() {
            return Vec::new();
        }
        let allowed = read(&self.context.state, |state| {
            let held = state.routes().current();
            held.map(|held| held.document.regions_of(host))
        });
        self.context
            .gateways
            .entry(caller, &allowed.unwrap_or_default())
    }
}
