//! One request-reply exchange with a server: connects, sends the request, reads the reply and validates it.

use std::{
    net::SocketAddr,
    ops::Range,
    time::{Duration, Instant},
};

use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_ENCODING, HeaderMap, HeaderValue},
    http::response::Parts,
};
use sablehaven_http::{ClientConnection, CollectError, HeldBody, HeldFor, WholeBody, collect_body};

use super::{AttemptFailure, OutgoingRequest, Server, ServerReply, connect_timeout};
use crate::{
    caller::CallerValidity, gateway::Gateway, planned_stop::expected_reply_time,
    servers::connection_pool::PooledConnection,
};

/// Size limit for the body of a reply.
const MAX_REPLY_BYTES: usize = 8 * 1024 * 1024;

/// Final status codes that HTTP defines (RFC 9110, section 15). hyper accepts larger ones as well, and returns a 101, which
/// no request here asks for, as if it were final.
const FINAL_STATUS_CODES: Range<u16> = 200..600;

/// Sends the request and reads the reply in four phases: connect, read the head, read the body, validate. The
/// connection returns to the pool only after a complete and valid reply.
pub(super) async fn exchange(
    gateway: &Gateway,
    server: &Server,
    request: &OutgoingRequest,
) -> Result<ServerReply, AttemptFailure> {
    let address = server.address;
    let mut connection = connect_unless_stopping(gateway, server, request).await?;
    check_still_sendable(gateway, server, request)?;
    let Some(outgoing) = build_request(gateway, server, request) else {
        return Err(not_sent(format!(
            "send to {address}: the deadline has passed"
        )));
    };
    let response = send(address, &mut connection, outgoing).await?;
    let (head, body) = response.into_parts();
    let body = read_body(&request.client, address, body).await?;
    let validated = validate(gateway, server, request, &head.headers, head.status);
    validated.map_err(|reason| outcome_unknown(format!("reply from {address}: {reason}")))?;
    connection.release(&head.headers);
    into_result(gateway, server, head, body)
}

fn not_sent(reason: String) -> AttemptFailure {
    AttemptFailure::NotSent { reason }
}

fn connection_lost(reason: String) -> AttemptFailure {
    AttemptFailure::ConnectionLost {
        reason,
        is_server_gone: false,
    }
}

fn outcome_unknown(reason: String) -> AttemptFailure {
    AttemptFailure::Unknown { reason }
}

/// Like [`connect`], but fails once the gateway stops too soon for a reply of the server.
async fn connect_unless_stopping(
    gateway: &Gateway,
    server: &Server,
    request: &OutgoingRequest,
) -> Result<PooledConnection, AttemptFailure> {
    let reply_time = || server_reply_time(gateway, server, request);
    let stops_too_soon = || {
        let address = server.address;
        not_sent(format!(
            "send to {address}: the gateway stops before a reply is due"
        ))
    };
    let connection = tokio::select! {
        biased;
        connection = connect(gateway, server) => connection?,
        () = gateway.planned_stop.wait_until_left(reply_time) => return Err(stops_too_soon()),
    };
    // The connection may have become free too late, and the server may have been slow in the meantime.
    if gateway.planned_stop.leaves_less_than(reply_time) {
        return Err(stops_too_soon());
    }
    Ok(connection)
}

/// Time that this server is expected to need for its reply, including the network round trip.
fn server_reply_time(gateway: &Gateway, server: &Server, request: &OutgoingRequest) -> Duration {
    let health = server.health.borrow();
    let ratio = health.service_time_ratio(gateway.clock.now()).max(1.0);
    expected_reply_time(&request.profile).mul_f64(ratio) + server.round_trip()
}

/// Takes a connection from the server's pool, which may open a new one.
async fn connect(gateway: &Gateway, server: &Server) -> Result<PooledConnection, AttemptFailure> {
    let source = gateway.config.connect_from;
    let acquired = server.pool.acquire(source, connect_timeout(server)).await;
    let connection = acquired.map_err(|error| not_sent(error.to_string()))?;
    if let Some(round_trip) = connection.round_trip {
        server.record_round_trip(round_trip);
    }
    Ok(connection)
}

/// Fails if the request must no longer be sent. While it waited for a connection the server may have started to drain,
/// its zone may have been evacuated, or the caller's key may have been revoked.
fn check_still_sendable(
    gateway: &Gateway,
    server: &Server,
    request: &OutgoingRequest,
) -> Result<(), AttemptFailure> {
    let address = server.address;
    if !server.accepts_requests() {
        return Err(not_sent(format!(
            "send to {address}: the server no longer accepts new requests"
        )));
    }
    if gateway.caller_validity(&request.caller) != CallerValidity::Valid {
        return Err(not_sent(format!(
            "send to {address}: the caller's key is no longer valid"
        )));
    }
    Ok(())
}

/// Sends the request and waits for the head of the reply.
async fn send(
    address: SocketAddr,
    connection: &mut PooledConnection,
    outgoing: Request<WholeBody>,
) -> Result<Response<Incoming>, AttemptFailure> {
    let is_reused = connection.is_reused;
    connection.head_limit.arm();
    let result = connection.sender.try_send_request(outgoing).await;
    connection.head_limit.lift();
    result.map_err(|mut error| {
        // hyper returns the request if it has not started to write it.
        let reason = format!(
            "send to {address} (reused connection: {is_reused}): {}",
            error.error()
        );
        let was_sent = error.take_message().is_none();
        if was_sent {
            connection_lost(reason)
        } else {
            not_sent(reason)
        }
    })
}

async fn read_body(
    client: &ClientConnection,
    address: SocketAddr,
    body: Incoming,
) -> Result<HeldBody, AttemptFailure> {
    let collected = collect_body(client, HeldFor::Reply, body, MAX_REPLY_BYTES).await;
    collected.map_err(|error| {
        let reason = format!("reply body from {address}: {error}");
        match error {
            CollectError::TooLarge { .. } => outcome_unknown(reason),
            CollectError::NoMemoryLeft(_) => AttemptFailure::NoMemoryLeft { reason },
            CollectError::Failed(_) => connection_lost(reason),
        }
    })
}

/// Converts a complete and valid reply into the result of the attempt.
fn into_result(
    gateway: &Gateway,
    server: &Server,
    head: Parts,
    body: HeldBody,
) -> Result<ServerReply, AttemptFailure> {
    let names = &gateway.names;
    let is_misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
    if is_misdirected || head.headers.contains_key(&names.not_executed) {
        if is_misdirected {
            // Another server uses the address now.
            server.start_draining();
        }
        return Err(AttemptFailure::NotExecuted {
            status: head.status,
        });
    }
    let reply = ServerReply {
        status: head.status,
        stamp: head.headers.get(&names.stamp).cloned(),
        headers: head.headers,
        body,
    };
    if reply.status.is_success() {
        Ok(reply)
    } else {
        Err(AttemptFailure::ErrorReply(Box::new(reply)))
    }
}

/// Builds the request for a server; `None` if the deadline has passed.
fn build_request(
    gateway: &Gateway,
    server: &Server,
    request: &OutgoingRequest,
) -> Option<Request<WholeBody>> {
    let remaining = request.deadline.checked_duration_since(Instant::now())?;
    let remaining_ms = remaining.as_millis();
    if remaining_ms == 0 {
        return None;
    }
    let mut outgoing = Request::new(WholeBody::new(request.body.bytes().clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.target.clone();
    let headers = outgoing.headers_mut();
    *headers = request.headers.clone();
    let names = &gateway.names;
    headers.insert(&names.request_id, request.request_id.clone());
    let remaining_ms = HeaderValue::from_str(&remaining_ms.to_string()).ok()?;
    headers.insert(&names.deadline_ms, remaining_ms);
    let instance = HeaderValue::from_str(server.id.as_str()).ok()?;
    headers.insert(&names.expect_instance, instance);
    Some(outgoing)
}

/// Validates that a reply is this server's reply to this request.
fn validate(
    gateway: &Gateway,
    server: &Server,
    request: &OutgoingRequest,
    headers: &HeaderMap,
    status: StatusCode,
) -> Result<(), String> {
    if !FINAL_STATUS_CODES.contains(&status.as_u16()) {
        return Err(format!("the status code {} is not final", status.as_u16()));
    }
    let names = &gateway.names;
    // Bytes that follow an earlier answer may arrive after this request was sent. Only the ID tells them from its answer.
    match headers.get(&names.request_id) {
        Some(echoed) if *echoed == request.request_id => {}
        Some(_) => return Err("the request ID does not match".to_owned()),
        None => return Err("the request ID is missing".to_owned()),
    }
    if let Some(instance) = headers.get(&names.instance)
        && status != StatusCode::MISDIRECTED_REQUEST
        && instance.as_bytes() != server.id.as_str().as_bytes()
    {
        return Err("the instance ID does not match".to_owned());
    }
    if !status.is_success() {
        return Ok(());
    }
    if headers.contains_key(CONTENT_ENCODING) {
        return Err("the body has a content encoding".to_owned());
    }
    if !headers.contains_key(&names.stamp) {
        return Err("the signature of the server is missing".to_owned());
    }
    Ok(())
}
