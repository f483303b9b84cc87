//! One attempt at one server: sent, answered, checked.

mod exchange;

use std::{
    io::ErrorKind,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::{
    Method, StatusCode, Uri,
    header::{HeaderMap, HeaderValue},
};
use sablehaven_http::{ConnectError, open};
use tokio::{
    sync::oneshot,
    task::{AbortHandle, spawn_local},
};

use self::exchange::exchange;
use super::{
    Server,
    health::{Ending, Taken},
};
use crate::{
    caller::Caller, crashes::CrashWatch, gateway::Gateway, pace::ServiceTimeEstimate,
    route_table::RouteProfile,
};

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
    pub(crate) pace: ServiceTimeEstimate,
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
    ErrorReply(Box<ServerReply>),
    /// connection lost: {reason}
    ConnectionLost {
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
        let expected = profile.typical_service_time() + server.round_trip();
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
        let usual = profile.typical_service_time();
        let mut ending = self.ending;
        // An attempt that was cancelled after a long silence is a sign of its own.
        let patience = 4 * usual + self.server.round_trip() + Duration::from_millis(250);
        if ending == Ending::Cancelled && whole > patience {
            ending = Ending::Silent;
        }
        if ending == Ending::Answered {
            profile.record_service_time(taken);
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
        Ok(_) | Err(AttemptFailure::ErrorReply(_)) => request.crash_watch.answered(now),
        Err(AttemptFailure::ConnectionLost { is_server_gone, .. }) => {
            let usual = request.profile.typical_service_time();
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
        Err(AttemptFailure::ErrorReply(_)) => Ending::ServerFailed,
        Err(
            AttemptFailure::NotSent { .. }
            | AttemptFailure::ConnectionLost { .. }
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
