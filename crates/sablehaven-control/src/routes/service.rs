//! Calls that put and read the routes, and answer callers where to go.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use sablehaven_types::{Placement, RouteDocument, RouteError};
use tokio::time::timeout;

use super::PutRoutes;
use crate::{
    driver::{ProposeError, read},
    replicas::ReplicaAddresses,
    server::Context,
    shared::SharedCommand,
};

/// Longest time that a call waits for a quorum: a caller moves on after a second.
const QUORUM_LIMIT: Duration = Duration::from_millis(850);

/// Why a call about the routes has no answer.
#[derive(Clone, Debug, PartialEq, displaydoc::Display, thiserror::Error)]
pub enum RoutesCallError {
    /// put routes: {0}
    Invalid(RouteError),
    /// routes: this replica does not lead
    NotLeader {
        /// The leader's addresses, where known.
        leader: Option<ReplicaAddresses>,
    },
    /// {reason}
    Unavailable {
        /// The step and why.
        reason: &'static str,
    },
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
    /// See [`RoutesCallError`]. After [`RoutesCallError::Unavailable`] the routes may or may not
    /// come into force; send the same again, to any replica.
    pub async fn put(&self, document: RouteDocument, source: Bytes) -> Result<(), RoutesCallError> {
        document.validate().map_err(RoutesCallError::Invalid)?;
        let held = read(&self.context.state, |state| state.routes().version());
        // What is applied is committed, so this is true on every replica, a follower too.
        if held >= document.version && held > 0 {
            return Ok(());
        }
        if !self.context.is_leader() {
            return Err(self.not_leader());
        }
        let document = Arc::new(document);
        let command = SharedCommand::Routes(PutRoutes { document, source });
        match timeout(QUORUM_LIMIT, self.context.driver.propose(command)).await {
            Ok(Ok(_)) => Ok(()),
            Ok(Err(ProposeError::NotLeader)) => Err(self.not_leader()),
            Ok(Err(_)) => Err(unavailable("put routes: leadership was lost")),
            Err(_) => Err(unavailable("put routes: no quorum answered in time")),
        }
    }

    /// The newest routes as the operator sent them, proved by a quorum; `None` before the first.
    ///
    /// # Errors
    /// See [`RoutesCallError`]; never an older version.
    pub async fn newest(&self) -> Result<Option<Bytes>, RoutesCallError> {
        if !self.context.is_leader() {
            return Err(self.not_leader());
        }
        let proof = timeout(QUORUM_LIMIT, self.context.driver.prove_leadership()).await;
        match proof {
            Ok(Some(_)) => {}
            Ok(None) => return Err(self.not_leader()),
            Err(_) => return Err(unavailable("read routes: no quorum answered in time")),
        }
        Ok(read(&self.context.state, |state| {
            state.routes().held().map(|held| held.source.clone())
        }))
    }

    /// Where a caller of a place is to go for a host: near gateways first. Empty while this replica cannot
    /// tell.
    pub fn entry(&self, host: &str, caller: &Placement) -> Vec<SocketAddr> {
        if !self.context.gateways.is_settled() {
            return Vec::new();
        }
        let allowed = read(&self.context.state, |state| {
            let held = state.routes().held();
            held.map(|held| held.document.regions_of(host))
        });
        self.context
            .gateways
            .entry(caller, &allowed.unwrap_or_default())
    }

    fn not_leader(&self) -> RoutesCallError {
        RoutesCallError::NotLeader {
            leader: self.context.other_leader(),
        }
    }
}

fn unavailable(reason: &'static str) -> RoutesCallError {
    RoutesCallError::Unavailable { reason }
}
