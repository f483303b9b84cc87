//! One attempt of a sub-request: sending it, decoding the reply and reporting the result to the
//! router.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Instant,
};

use bytes::Bytes;
use prost_reflect::DynamicMessage;
use sablehaven_http::{ClientConnection, HeldBytes, HeldFor, PARSED_FACTOR};
use sablehaven_routing::{AttemptOutcome, ChosenBackend};
use sablehaven_schema::{MethodSchema, decode_reply};
use sablehaven_types::{AttemptId, IndexSnapshot, ShardId};

use super::{crashes::CrashWatch, sub_request::AttemptFailure};
use crate::{
    metrics::Metrics,
    plan::ServicePlan,
    routing::AttemptGuard,
    transport::{
        AttemptEnd, AttemptIdentity, AttemptMessage, AttemptReport, DiscardReason, TransportError,
    },
};

/// Data shared by all sub-requests of one request.
#[derive(Clone, Copy)]
pub struct SharedRequest<'a> {
    /// The connection of the caller.
    pub client: &'a ClientConnection,
    /// The memory of the decoded replies.
    pub held_replies: &'a Mutex<Vec<HeldBytes>>,
    /// The service that the method belongs to.
    pub service: &'a ServicePlan,
    /// The method.
    pub method: &'a MethodSchema,
    /// The request message, encoded as protobuf.
    pub body: &'a Bytes,
    /// The snapshot pinned by the request.
    pub pinned: &'a IndexSnapshot,
    /// The request's deadline.
    pub deadline: Instant,
    /// The agent's metrics.
    pub metrics: &'a Metrics,
    /// Tracks the attempts of the request whose back ends may have crashed.
    pub crash_watch: &'a CrashWatch<'a>,
}

/// Sends one attempt and waits for its result. The router must have counted the attempt as sent.
pub async fn run_attempt(
    shared: SharedRequest<'_>,
    shard: ShardId,
    chosen: ChosenBackend,
) -> Result<DynamicMessage, AttemptFailure> {
    let router = Arc::clone(&shared.service.router);
    let attempt_guard = AttemptGuard::new(router, chosen.backend.clone(), shared.deadline);
    shared.metrics.sub_requests.inc();
    let _running = shared.crash_watch.begin();
    let identity = AttemptIdentity {
        attempt: AttemptId(rand::random()),
        shard,
        snapshot: shared.pinned.id,
    };
    let report = send(shared, identity, &chosen).await;
    let draining = report.signals.draining;
    let signals = report.signals;
    let result = decode_result(shared, report.end).await;
    let now = shared.service.router.now();
    match &result {
        Ok(_) | Err(AttemptFailure::Failed | AttemptFailure::BadReply) => {
            shared.crash_watch.replied(now)
        }
        Err(AttemptFailure::Lost) => shared.crash_watch.lost(now),
        Err(_) => {}
    }
    let outcome = match &result {
        // The reply is used, but the router is told that the back end is draining, so that it sends
        // no new work there.
        Ok(_) if draining => AttemptOutcome::Draining,
        Ok(_) => AttemptOutcome::Replied,
        Err(failure) => failure.outcome(),
    };
    attempt_guard.finish(outcome, signals);
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
        client: shared.client,
        identity,
        path: &shared.method.path,
        body: shared.body.clone(),
        deadline: shared.deadline,
        accept_until: shared.deadline,
        ledger_key: None,
    };
    client.attempt(message).await
}

async fn decode_result(
    shared: SharedRequest<'_>,
    end: AttemptEnd,
) -> Result<DynamicMessage, AttemptFailure> {
    match end {
        AttemptEnd::Replied(body) => decode(shared, &body).await,
        AttemptEnd::Discarded(reason) => Err(reason),
        AttemptEnd::Refused { refusal, .. } => {
            shared.metrics.record_refusal(refusal);
            return Err(AttemptFailure::from(refusal));
        }
        AttemptEnd::NotConnected(_) => return Err(AttemptFailure::NotConnected),
        AttemptEnd::Failed(TransportError::Exchange { .. }) => return Err(AttemptFailure::Lost),
        AttemptEnd::Failed(_) => return Err(AttemptFailure::Failed),
    }
    .map_err(|reason| {
        shared.metrics.record_discarded_reply(reason);
        AttemptFailure::BadReply
    })
}

/// Decodes a reply, and holds the memory that it takes until the request is answered.
async fn decode(shared: SharedRequest<'_>, body: &Bytes) -> Result<DynamicMessage, DiscardReason> {
    let length = PARSED_FACTOR * body.len();
    let held = shared.client.hold(length, HeldFor::Reply).await;
    let held = held.map_err(|_| DiscardReason::NoMemoryLeft)?;
    let held_replies = shared.held_replies.lock();
    held_replies
        .unwrap_or_else(PoisonError::into_inner)
        .push(held);
    decode_reply(&shared.method.output, body).map_err(|_| DiscardReason::Undecodable)
}

/// Returns whether the process of a back end has ended, which shows by its address refusing
/// connections. A lost connection alone is not sufficient evidence.
pub async fn is_terminated(shared: SharedRequest<'_>, chosen: &ChosenBackend) -> bool {
    let connections = &shared.service.connections;
    match connections.client(&chosen.backend, chosen.address) {
        Ok(client) => client.refuses_connections().await,
        Err(_) => false,
    }
}
