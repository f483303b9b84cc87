//! Requests that are answered by one server.

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

/// Asks one server of the service. The server's response is forwarded unchanged, even if it reports a failure.
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
        Ok(reply) => return Ok((forward_reply(reply), Outcome::Whole)),
        Err(PartFailure::Attempt(AttemptFailure::ErrorReply(reply)))
            if !promises_not_run(reply.status) =>
        {
            return Ok((forward_reply(reply), Outcome::ServerFailed));
        }
        Err(failure) => (refusal(&part, failure), failure),
    };
    log::warn!(
        event = "failed", request:% = accepted.id(), route = accepted.planned.route().name.as_str(),
        version = accepted.planned.version, status = refusal.status().as_u16(),
        after_ms = accepted.arrived.elapsed().as_millis() as u64,
        target = accepted.outgoing.crash_watch.fingerprint_text().as_str(),
        lost = accepted.outgoing.crash_watch.lost_servers_text().as_str(),
        reason:% = failure;
        "request"
    );
    Err(refusal)
}

/// Maps a failure to a refusal. Status code 503 promises that the request has not run and never will, so it is only
/// used if no server may have run it.
fn refusal(part: &PartResult, failure: &PartFailure) -> Refusal {
    match failure {
        PartFailure::DeadlineExceeded => Refusal::DeadlineExceeded,
        PartFailure::Stopping if part.may_have_run => Refusal::DeadlineExceeded,
        PartFailure::Stopping => Refusal::Stopping,
        PartFailure::NoServerAvailable => Refusal::NoServerAvailable,
        _ if part.may_have_run => Refusal::Failed,
        _ => Refusal::NotRun,
    }
}

/// Status codes by which a gateway promises that a request has not run. A server's response with such a code, but
/// without the header that says that the request was not executed, promises nothing; so it is not forwarded.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    )
}

fn forward_reply(reply: &ServerReply) -> Response<WholeBody> {
    let mut response = Response::new(WholeBody::new(reply.body.bytes().clone()));
    *response.status_mut() = reply.status;
    *response.headers_mut() = headers::response_headers_to_forward(&reply.headers);
    response
}
