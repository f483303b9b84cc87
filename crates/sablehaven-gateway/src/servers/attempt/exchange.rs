//! One exchange with a server: its connection, the request, the answer and its checks.

use std::{net::SocketAddr, time::Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_ENCODING, HeaderMap, HeaderValue},
    http::response::Parts,
};
use sablehaven_http::WholeBody;

use super::{AttemptFailure, OutgoingRequest, Server, ServerReply, connect_limit};
use crate::{caller::CallerValidity, gateway::Gateway, servers::connection_pool::InUse};

/// The largest body of an answer, in bytes.
const MAXIMUM_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Sends the request and takes the answer in four phases: a connection, the head, the body, the
/// checks. Only an answer that ended as it must gives its connection back.
pub(super) async fn exchange(
    gateway: &Gateway,
    server: &Server,
    request: &OutgoingRequest,
) -> Result<ServerReply, AttemptFailure> {
    let address = server.address;
    let mut connection = connect(gateway, server).await?;
    check_still_wanted(gateway, server, request)?;
    let Some(outgoing) = build(gateway, server, request) else {
        return Err(not_sent(format!("send to {address}: no time is left")));
    };
    let response = send(address, &mut connection, outgoing).await?;
    let (head, body) = response.into_parts();
    let body = read_body(address, body).await?;
    let checked = check(gateway, server, request, &head.headers, head.status);
    checked.map_err(|reason| unknown(format!("answer of {address}: {reason}")))?;
    connection.give_back(&head.headers);
    reply(gateway, server, head, body)
}

fn not_sent(reason: String) -> AttemptFailure {
    AttemptFailure::NotSent { reason }
}

fn lost(reason: String) -> AttemptFailure {
    AttemptFailure::ConnectionLost {
        reason,
        is_server_gone: false,
    }
}

fn unknown(reason: String) -> AttemptFailure {
    AttemptFailure::Unknown { reason }
}

/// A connection to the server, of its pool or a new one.
async fn connect(gateway: &Gateway, server: &Server) -> Result<InUse, AttemptFailure> {
    let source = gateway.config.connect_from;
    let taken = server.pool.take(source, connect_limit(server)).await;
    let connection = taken.map_err(|error| not_sent(error.to_string()))?;
    if let Some(round_trip) = connection.round_trip {
        server.record_round_trip(round_trip);
    }
    Ok(connection)
}

/// Refuses to send what must not reach the server any more, since things changed while it waited for a connection: the
/// server began to leave, its zone was evacuated, or the caller's key was taken away.
fn check_still_wanted(
    gateway: &Gateway,
    server: &Server,
    request: &OutgoingRequest,
) -> Result<(), AttemptFailure> {
    let address = server.address;
    if !server.takes_work() {
        return Err(not_sent(format!(
            "send to {address}: the server is to get nothing new"
        )));
    }
    if gateway.caller_validity(&request.caller) != CallerValidity::Valid {
        return Err(not_sent(format!(
            "send to {address}: the caller's key does not hold any more"
        )));
    }
    Ok(())
}

/// Sends the request, and waits for the head of the answer.
async fn send(
    address: SocketAddr,
    connection: &mut InUse,
    outgoing: Request<WholeBody>,
) -> Result<Response<Incoming>, AttemptFailure> {
    let is_reused = connection.is_reused;
    let sent = connection.sender.try_send_request(outgoing).await;
    sent.map_err(|mut error| {
        // hyper gives the request back when it has not begun to write it.
        let reason = format!("send to {address} (reused {is_reused}): {}", error.error());
        let was_sent = error.take_message().is_none();
        if was_sent {
            lost(reason)
        } else {
            not_sent(reason)
        }
    })
}

async fn read_body(address: SocketAddr, body: Incoming) -> Result<Bytes, AttemptFailure> {
    match Limited::new(body, MAXIMUM_ANSWER_BYTES).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            Err(unknown(format!("body of {address}: {error}")))
        }
        Err(error) => Err(lost(format!("body of {address}: {error}"))),
    }
}

/// What a whole and checked answer comes to.
fn reply(
    gateway: &Gateway,
    server: &Server,
    head: Parts,
    body: Bytes,
) -> Result<ServerReply, AttemptFailure> {
    let names = &gateway.names;
    let is_misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
    if is_misdirected || head.headers.contains_key(&names.not_executed) {
        if is_misdirected {
            // Another server has the address by now.
            server.leave();
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

/// The request as it goes to a server; `None` when no time is left.
fn build(
    gateway: &Gateway,
    server: &Server,
    request: &OutgoingRequest,
) -> Option<Request<WholeBody>> {
    let left = request.deadline.checked_duration_since(Instant::now())?;
    let left_ms = left.as_millis();
    if left_ms == 0 {
        return None;
    }
    let mut outgoing = Request::new(WholeBody::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.target.clone();
    let headers = outgoing.headers_mut();
    *headers = request.headers.clone();
    let names = &gateway.names;
    headers.insert(&names.request_id, request.request_id.clone());
    let left_ms = HeaderValue::from_str(&left_ms.to_string()).ok()?;
    headers.insert(&names.deadline_ms, left_ms);
    let instance = HeaderValue::from_str(server.id.as_str()).ok()?;
    headers.insert(&names.expect_instance, instance);
    Some(outgoing)
}

/// Whether an answer can be this server's answer to this request.
fn check(
    gateway: &Gateway,
    server: &Server,
    request: &OutgoingRequest,
    headers: &HeaderMap,
    status: StatusCode,
) -> Result<(), String> {
    let names = &gateway.names;
    if let Some(echoed) = headers.get(&names.request_id)
        && *echoed != request.request_id
    {
        return Err("it is to another request".to_owned());
    }
    if let Some(instance) = headers.get(&names.instance)
        && status != StatusCode::MISDIRECTED_REQUEST
        && instance.as_bytes() != server.id.as_str().as_bytes()
    {
        return Err("it is of another start of the server".to_owned());
    }
    if !status.is_success() {
        return Ok(());
    }
    if headers.contains_key(CONTENT_ENCODING) {
        return Err("its body is encoded".to_owned());
    }
    if !headers.contains_key(&names.stamp) {
        return Err("it is not signed".to_owned());
    }
    Ok(())
}
