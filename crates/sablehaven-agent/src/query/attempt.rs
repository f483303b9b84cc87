//! One attempt of a sub-request: sent, judged, decoded and reported to the router.

use std::{sync::Arc, time::Instant};

use bytes::Bytes;
use prost_reflect::DynamicMessage;
use sablehaven_routing::{AttemptOutcome, ChosenBackend};
use sablehaven_schema::{MethodSchema, decode_reply};
use sablehaven_types::{AttemptId, IndexSnapshot, ShardId};

use super::{crashes::QueryWatch, sub_request::AttemptFailure};
use crate::{
    metrics::Metrics,
    plan::ServicePlan,
    routing::AttemptTicket,
    transport::{
        AttemptEnd, AttemptIdentity, AttemptMessage, AttemptReport, DiscardReason, TransportError,
    },
};

/// What all sub-requests of one request share.
#[derive(Clone, Copy)]
pub struct SharedRequest<'a> {
    /// The service that is asked.
    pub service: &'a ServicePlan,
    /// The method.
    pub method: &'a MethodSchema,
    /// The request message as protobuf.
    pub body: &'a Bytes,
    /// The snapshot that the request pinned.
    pub pinned: &'a IndexSnapshot,
    /// The request's deadline.
    pub deadline: Instant,
    /// The agent's metrics.
    pub metrics: &'a Metrics,
    /// What becomes of its back ends.
    pub watch: &'a QueryWatch<'a>,
}

/// Sends one attempt, which the router already counts as sent, and waits for its end.
pub async fn run_attempt(
    shared: SharedRequest<'_>,
    shard: ShardId,
    chosen: ChosenBackend,
) -> Result<DynamicMessage, AttemptFailure> {
    let router = Arc::clone(&shared.service.router);
    let ticket = AttemptTicket::new(router, chosen.backend.clone(), shared.deadline);
    shared.metrics.sub_requests.inc();
    let _running = shared.watch.begin();
    let identity = AttemptIdentity {
        attempt: AttemptId(rand::random()),
        shard,
        snapshot: shared.pinned.id,
    };
    let report = send(shared, identity, &chosen).await;
    let draining = report.signals.draining;
    let signals = report.signals;
    let result = judge(shared, report.end);
    let now = shared.service.router.now();
    match &result {
        Ok(_) | Err(AttemptFailure::Failed | AttemptFailure::BadReply) => shared.watch.replied(now),
        Err(AttemptFailure::Lost) => shared.watch.lost(now),
        Err(_) => {}
    }
    let outcome = match &result {
        // The reply is used, and the router learns what matters more: no new work for this one.
        Ok(_) if draining => AttemptOutcome::Draining,
        Ok(_) => AttemptOutcome::Replied,
        Err(failure) => failure.outcome(),
    };
    ticket.finish(outcome, signals);
    result
}

async fn send(
    shared: SharedRequest<'_>,
    identity: AttemptIdentity,
    chosen: &ChosenBackend,
) -> AttemptReport {
    let connections = &shared.service.connections;
    let client = match connections.client(&chosen.backend, chosen.address) {
        Ok(client) => client,
        Err(error) => return AttemptReport::not_connected(error),
    };
    let message = AttemptMessage {
        identity,
        path: &shared.method.path,
        body: shared.body.clone(),
        deadline: shared.deadline,
        accept_until: shared.deadline,
        once_key: None,
    };
    client.attempt(message).await
}

fn judge(shared: SharedRequest<'_>, end: AttemptEnd) -> Result<DynamicMessage, AttemptFailure> {
    match end {
        AttemptEnd::Replied(body) => {
            decode_reply(&shared.method.output, &body).map_err(|_| DiscardReason::Undecodable)
        }
        AttemptEnd::Discarded(reason) => Err(reason),
        AttemptEnd::Refused { refusal, .. } => {
            shared.metrics.refused(refusal);
            return Err(AttemptFailure::from(refusal));
        }
        AttemptEnd::NotConnected(_) => return Err(AttemptFailure::NotConnected),
        AttemptEnd::Failed(TransportError::Exchange { .. }) => return Err(AttemptFailure::Lost),
        AttemptEnd::Failed(_) => return Err(AttemptFailure::Failed),
    }
    .map_err(|reason| {
        shared.metrics.discarded(reason);
        AttemptFailure::BadReply
    })
}

/// Whether a back end has ended: its address refuses connections. A lost connection alone does not show that.
pub async fn is_gone(shared: SharedRequest<'_>, chosen: &ChosenBackend) -> bool {
    let connections = &shared.service.connections;
    match connections.client(&chosen.backend, chosen.address) {
        Ok(client) => client.refuses_connections().await,
        Err(_) => false,
    }
}
