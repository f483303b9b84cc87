//! The single dispatch of an at-most-once request.

use std::{sync::Arc, time::Instant};

use sablehaven_routing::{AttemptOutcome, ChosenBackend};
use sablehaven_schema::encode_protobuf;

use super::flow::OnceRequest;
use crate::{
    metrics::Metrics,
    query::AttemptFailure,
    routing::AttemptGuard,
    transport::{AttemptEnd, AttemptIdentity, AttemptMessage, AttemptReport},
};

/// The dispatch permitted by a granted claim.
pub struct Dispatch {
    /// The back end to send to.
    pub chosen: ChosenBackend,
    /// The identifiers that the reply must echo.
    pub identity: AttemptIdentity,
}

/// Sends the request to the back end and waits for the end of the attempt.
///
/// No other function sends an at-most-once request to a back end.
pub async fn send_dispatch(
    request: &OnceRequest,
    metrics: &Metrics,
    dispatch: Dispatch,
    accept_until: Instant,
) -> AttemptEnd {
    let Dispatch { chosen, identity } = dispatch;
    let service = &request.service;
    let now = service.router.now();
    service.router.lock().policy.sent(now, &chosen.backend);
    let router = Arc::clone(&service.router);
    let attempt_guard = AttemptGuard::new(router, chosen.backend.clone(), request.deadline());
    metrics.sub_requests.inc();
    let report = match service.connections.client(&chosen.backend, chosen.address) {
        Err(error) => AttemptReport::not_connected(error),
        Ok(client) => {
            let message = AttemptMessage {
                client: &request.client,
                identity,
                path: &request.method.path,
                body: encode_protobuf(&request.message).into(),
                deadline: request.deadline(),
                accept_until,
                ledger_key: Some(&request.headers.key),
            };
            client.attempt(message).await
        }
    };
    attempt_guard.finish(attempt_outcome(&report), report.signals);
    report.end
}

fn attempt_outcome(report: &AttemptReport) -> AttemptOutcome {
    match &report.end {
        AttemptEnd::Replied(_) if report.signals.draining => AttemptOutcome::Draining,
        AttemptEnd::Replied(_) => AttemptOutcome::Replied,
        AttemptEnd::Refused { refusal, .. } => AttemptFailure::from(*refusal).outcome(),
        AttemptEnd::NotConnected(_) | AttemptEnd::Discarded(_) | AttemptEnd::Failed(_) => {
            AttemptOutcome::Failed
        }
    }
}
