//! A request that one server answers.

use hyper::{Response, StatusCode};
use sablehaven_http::WholeBody;
use sablehaven_types::ServiceName;

use super::{
    Accepted, headers,
    refusal::Refusal,
    sub_request::{PartFailure, PartResult, SubRequest},
};
use crate::{
    metrics::Outcome,
    servers::{AttemptFailure, ServerReply},
};

/// Answers from one server of the service. A server's own answer, a failure too, is handed back as it
/// came.
pub(super) async fn answer(
    accepted: &Accepted,
    service: &ServiceName,
) -> Result<(Response<WholeBody>, Outcome), Refusal> {
    let service = accepted.gateway.registry.service(service);
    let part = SubRequest::new(accepted, service, None).run().await;
    let (refusal, failure) = match &part.result {
        Err(failure @ PartFailure::Quarantined) => {
            (Refusal::after_crashes(accepted, part.may_have_run), failure)
        }
        Ok(reply) => return Ok((hand_back(reply), Outcome::Whole)),
        Err(PartFailure::Attempt(AttemptFailure::Answered(reply))) if !is_promise(reply.status) => {
            return Ok((hand_back(reply), Outcome::ServerFailed));
        }
        Err(failure) => (refusal(&part, failure), failure),
    };
    log::warn!(
        event = "failed", request:% = accepted.id(), route = accepted.planned.route().name.as_str(),
        version = accepted.planned.version, status = refusal.status().as_u16(),
        after_ms = accepted.arrived.elapsed().as_millis() as u64,
        target = accepted.outgoing.crash_watch.fingerprint_text().as_str(),
        lost = accepted.outgoing.crash_watch.lost_text().as_str(),
        reason:% = failure;
        "request"
    );
    Err(refusal)
}

/// 503 promises that the request has not run and never will, so it needs that no server has it.
fn refusal(part: &PartResult, failure: &PartFailure) -> Refusal {
    match failure {
        PartFailure::OutOfTime => Refusal::OutOfTime,
        PartFailure::NoServer => Refusal::NoServers,
        _ if part.may_have_run => Refusal::Failed,
        _ => Refusal::NotRun,
    }
}

/// Statuses by which a gateway promises that a request has not run. A server that gives one without
/// its word that it did not run the request promises nothing.
fn is_promise(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

fn hand_back(reply: &ServerReply) -> Response<WholeBody> {
    let mut response = Response::new(WholeBody::new(reply.body.clone()));
    *response.status_mut() = reply.status;
    *response.headers_mut() = headers::handed_back(&reply.headers);
    response
}
