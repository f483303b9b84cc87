//! One attempt at one server: sent, answered, checked.

use std::{
    io::ErrorKind,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{
    Method, Request, StatusCode, Uri,
    header::{CONTENT_ENCODING, HeaderMap, HeaderValue},
};
use sablehaven_http::{ConnectError, WholeBody, open};
use tokio::{
    sync::oneshot,
    task::{AbortHandle, spawn_local},
};

use super::{
    Server,
    health::{Ending, Taken},
};
use crate::{
    caller::{Caller, CallerStanding},
    crashes::CrashWatch,
    gateway::Gateway,
    pace::Pace,
    route_table::RouteProfile,
};

/// The largest body of an answer, in bytes.
const MAXIMUM_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// The least time that opening a connection may take.
const LEAST_CONNECT_LIMIT: Duration = Duration::from_millis(150);
/// Round trips that opening a connection may take.
const CONNECT_ROUND_TRIPS: u32 = 5;
/// Time that sent bytes may stay unacknowledged on a connection that only shows whether the server is there.
const LOOK_TIMEOUT: Duration = Duration::from_secs(1);

/// What is sent to servers for one request of a caller; shared by its attempts.
pub(crate) struct OutgoingRequest {
    pub(crate) caller: Caller,
    pub(crate) method: Method,
    pub(crate) target: Uri,
    /// The caller's headers but for those of its connection.
    pub(crate) headers: HeaderMap,
    pub(crate) request_id: HeaderValue,
    pub(crate) body: Bytes,
    /// When the caller or the route gives up.
    pub(crate) deadline: Instant,
    pub(crate) profile: Rc<RouteProfile>,
    pub(crate) pace: Pace,
    pub(crate) crash_watch: Rc<CrashWatch>,
}

/// A server's whole answer.
#[derive(Clone, Debug)]
pub(crate) struct ServerReply {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) stamp: Option<HeaderValue>,
}

/// Why an attempt gave no success.
#[derive(Clone, Debug, displaydoc::Display)]
pub(crate) enum AttemptFailure {
    /// not sent: {reason}
    NotSent {
        /// The step, the server and the cause.
        reason: String,
    },
    /// the server did not run it, status {status}
    NotExecuted {
        /// The server's status.
        status: StatusCode,
    },
    /// the server failed
    Answered(Box<ServerReply>),
    /// connection lost: {reason}
    Lost {
        /// The step, the server and the cause.
        reason: String,
        /// Whether the server was found to have ended; looked for only where that was asked for.
        is_server_gone: bool,
    },
    /// not known: {reason}
    Unknown {
        /// The step, the server and the cause.
        reason: String,
    },
}

/// An attempt under way. Dropping it cancels it and closes its connection: a server that is behind then
/// leaves the request out, which saves it more work than the next connection costs.
pub(crate) struct Attempt {
    pub(crate) server: Rc<Server>,
    result: oneshot::Receiver<Result<ServerReply, AttemptFailure>>,
    task: AbortHandle,
}

impl Attempt {
    /// Starts an attempt. `looks_for_crash` when a lost connection must be told from a server that has ended.
    pub(crate) fn start(
        gateway: &Rc<Gateway>,
        server: Rc<Server>,
        request: Rc<OutgoingRequest>,
        looks_for_crash: bool,
    ) -> Self {
        gateway.load.count_attempt();
        let (respond, result) = oneshot::channel();
        let running = run(
            Rc::clone(gateway),
            Rc::clone(&server),
            request,
            looks_for_crash,
        );
        let task = spawn_local(async move {
            // Whoever asked may have gone; the server's health has been noted all the same.
            let _ = respond.send(running.await);
        });
        Self {
            server,
            result,
            task: task.abort_handle(),
        }
    }

    /// Looks whether the attempt has a result.
    pub(crate) fn poll_result(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Result<ServerReply, AttemptFailure>> {
        Pin::new(&mut self.result).poll(context).map(|received| {
            received.unwrap_or_else(|_| {
                Err(AttemptFailure::Unknown {
                    reason: format!("attempt at {}: it was cancelled", self.server.address),
                })
            })
        })
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Notes the end of an attempt in the server's health, also when it is cancelled.
struct Noted {
    gateway: Rc<Gateway>,
    server: Rc<Server>,
    request: Rc<OutgoingRequest>,
    attempt: u64,
    sent_at: Duration,
    ending: Ending,
}

impl Noted {
    fn begin(gateway: Rc<Gateway>, server: Rc<Server>, request: Rc<OutgoingRequest>) -> Self {
        let now = gateway.clock.now();
        let profile = &request.profile;
        let expected = profile.typical() + server.round_trip();
        let mut health = server.health.borrow_mut();
        let attempt = health.sent(now, expected);
        drop(health);
        Self {
            gateway,
            server,
            request,
            attempt,
            sent_at: now,
            ending: Ending::Cancelled,
        }
    }

    fn end(mut self, ending: Ending) {
        self.ending = ending;
    }
}

impl Drop for Noted {
    fn drop(&mut self) {
        let now = self.gateway.clock.now();
        let whole = now.saturating_sub(self.sent_at);
        let taken = whole.saturating_sub(self.server.round_trip());
        let profile = &self.request.profile;
        let usual = profile.typical();
        let mut ending = self.ending;
        // An attempt that was cancelled after a long silence is a sign of its own.
        let patience = 4 * usual + self.server.round_trip() + Duration::from_millis(250);
        if ending == Ending::Cancelled && whole > patience {
            ending = Ending::Silent;
        }
        if ending == Ending::Answered {
            profile.record(taken);
        }
        self.gateway.metrics.attempt_ended(ending.name());
        let taken = Taken {
            taken,
            usual,
            pace: self.request.pace.median(),
        };
        let mut health = self.server.health.borrow_mut();
        health.ended(now, self.attempt, ending, &taken);
    }
}

async fn run(
    gateway: Rc<Gateway>,
    server: Rc<Server>,
    request: Rc<OutgoingRequest>,
    looks_for_crash: bool,
) -> Result<ServerReply, AttemptFailure> {
    let noted = Noted::begin(Rc::clone(&gateway), Rc::clone(&server), Rc::clone(&request));
    let _running = request.crash_watch.begin();
    let mut result = exchange(&gateway, &server, &request).await;
    let now = gateway.clock.now();
    match &mut result {
        Ok(_) | Err(AttemptFailure::Answered(_)) => request.crash_watch.answered(now),
        Err(AttemptFailure::Lost { is_server_gone, .. }) => {
            let usual = request.profile.typical();
            request.crash_watch.lost(now, &server.id, usual);
            if looks_for_crash {
                *is_server_gone = is_gone(&gateway, &server).await;
            }
        }
        Err(_) => {}
    }
    let ending = match &result {
        Ok(_) => Ending::Answered,
        Err(AttemptFailure::NotExecuted { .. }) => Ending::TurnedAway,
        Err(AttemptFailure::Answered(_)) => Ending::ServerFailed,
        Err(
            AttemptFailure::NotSent { .. }
            | AttemptFailure::Lost { .. }
            | AttemptFailure::Unknown { .. },
        ) => Ending::Failed,
    };
    noted.end(ending);
    result
}

/// Whether a server has ended: its address refuses connections. A lost connection alone does not show that, since
/// networks and servers that go on reset connections too.
async fn is_gone(gateway: &Gateway, server: &Server) -> bool {
    let source = gateway.config.connect_from;
    match open(source, server.address, connect_limit(server), LOOK_TIMEOUT).await {
        Err(ConnectError::Failed { source, .. }) => source.kind() == ErrorKind::ConnectionRefused,
        Ok(_) | Err(ConnectError::TimedOut { .. } | ConnectError::Handshake { .. }) => false,
    }
}

/// Time that opening a connection to a server may take.
fn connect_limit(server: &Server) -> Duration {
    LEAST_CONNECT_LIMIT.max(server.round_trip() * CONNECT_ROUND_TRIPS)
}

/// Sends the request and takes the answer in four phases: a connection, the head, the body, the
/// checks. Only an answer that ended as it must gives its connection back.
async fn exchange(
    gateway: &Gateway,
    server: &Server,
    request: &OutgoingRequest,
) -> Result<ServerReply, AttemptFailure> {
    let not_sent = |reason: String| AttemptFailure::NotSent { reason };
    let lost = |reason: String| AttemptFailure::Lost {
        reason,
        is_server_gone: false,
    };
    let unknown = |reason: String| AttemptFailure::Unknown { reason };
    let address = server.address;
    let connect_limit = connect_limit(server);
    let source = gateway.config.connect_from;
    let mut connection = server
        .pool
        .take(source, connect_limit)
        .await
        .map_err(|error| not_sent(error.to_string()))?;
    if let Some(round_trip) = connection.round_trip {
        server.record_round_trip(round_trip);
    }
    // The order must hold: a server that began to leave, or whose zone was evacuated, while this waited
    // gets nothing any more.
    if !server.takes_work() {
        return Err(not_sent(format!(
            "send to {address}: the server is to get nothing new"
        )));
    }
    // So must this one: a key that was taken away while this waited reaches no server.
    if gateway.standing(&request.caller) != CallerStanding::Holds {
        return Err(not_sent(format!(
            "send to {address}: the caller's key does not hold any more"
        )));
    }
    let Some(outgoing) = build(gateway, server, request) else {
        return Err(not_sent(format!("send to {address}: no time is left")));
    };
    let is_reused = connection.is_reused;
    let response = match connection.sender.try_send_request(outgoing).await {
        Ok(response) => response,
        Err(mut error) => {
            // hyper gives the request back when it has not begun to write it.
            let reason = format!("send to {address} (reused {is_reused}): {}", error.error());
            let was_sent = error.take_message().is_none();
            return Err(if was_sent {
                lost(reason)
            } else {
                not_sent(reason)
            });
        }
    };
    let (head, body) = response.into_parts();
    let body = Limited::new(body, MAXIMUM_ANSWER_BYTES).collect().await;
    let body = match body {
        Ok(body) => body.to_bytes(),
        Err(error) if error.is::<LengthLimitError>() => {
            return Err(unknown(format!("body of {address}: {error}")));
        }
        Err(error) => return Err(lost(format!("body of {address}: {error}"))),
    };
    let checked = check(gateway, server, request, &head.headers, head.status);
    if let Err(reason) = checked {
        return Err(unknown(format!("answer of {address}: {reason}")));
    }
    connection.give_back(&head.headers);
    let names = &gateway.names;
    let is_not_executed = head.headers.contains_key(&names.not_executed)
        || head.status == StatusCode::MISDIRECTED_REQUEST;
    if is_not_executed {
        if head.status == StatusCode::MISDIRECTED_REQUEST {
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
        Err(AttemptFailure::Answered(Box::new(reply)))
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
