//! One attempt to send a request to one server.
//!
//! An attempt runs in its own task. When it ends or is cancelled, its outcome and timing are recorded in the server's
//! health and in the attempt metrics.

mod exchange;

use std::{
    io::ErrorKind,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use hyper::{
    Method, StatusCode, Uri,
    header::{HeaderMap, HeaderValue},
};
use sablehaven_http::{ClientConnection, ConnectError, HeldBody, connect};
use tokio::{
    sync::oneshot,
    task::{AbortHandle, spawn_local},
};

use self::exchange::exchange;
use super::{
    Server,
    health::{AttemptOutcome, AttemptTiming},
};
use crate::{
    caller::Caller, crashes::CrashWatch, gateway::Gateway, pace::ServiceTimeEstimate,
    route_table::RouteProfile,
};

/// Lower bound of the connect timeout.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Connect timeout in round trips, where that exceeds [`MIN_CONNECT_TIMEOUT`].
const CONNECT_ROUND_TRIPS: u32 = 5;
/// TCP user timeout of a connection that is opened only to see whether the server still listens.
const PROBE_USER_TIMEOUT: Duration = Duration::from_secs(1);

/// The request as it is sent to servers; all attempts of one caller's request share it.
pub(crate) struct OutgoingRequest {
    pub(crate) caller: Caller,
    pub(crate) method: Method,
    pub(crate) target: Uri,
    /// The caller's headers, without the hop-by-hop ones.
    pub(crate) headers: HeaderMap,
    pub(crate) request_id: HeaderValue,
    /// The connection of the caller.
    pub(crate) client: ClientConnection,
    pub(crate) body: HeldBody,
    /// The earlier of the caller's deadline and the route's.
    pub(crate) deadline: Instant,
    /// Statistics of the route, such as its typical service time.
    pub(crate) profile: Rc<RouteProfile>,
    /// Estimated from the parts of the query that have arrived.
    pub(crate) service_time_estimate: ServiceTimeEstimate,
    pub(crate) crash_watch: Rc<CrashWatch>,
}

/// A complete reply of a server.
#[derive(Clone, Debug)]
pub(crate) struct ServerReply {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: HeldBody,
    /// The server's signature of the reply.
    pub(crate) stamp: Option<HeaderValue>,
}

/// Why an attempt did not succeed.
#[derive(Clone, Debug, displaydoc::Display)]
pub(crate) enum AttemptFailure {
    /// not sent: {reason}
    NotSent {
        /// The step, the server and the cause.
        reason: String,
    },
    /// the server did not execute the request, status {status}
    NotExecuted {
        /// The status of the server's reply.
        status: StatusCode,
    },
    /// the server returned an error reply
    ErrorReply(Box<ServerReply>),
    /// connection lost: {reason}
    ConnectionLost {
        /// The step, the server and the cause.
        reason: String,
        /// Whether the server was found to have exited. Checked only for attempts with `check_for_crash`.
        is_server_gone: bool,
    },
    /// replied, but no memory is left for the reply: {reason}
    NoMemoryLeft {
        /// The step, the server and the cause.
        reason: String,
    },
    /// outcome unknown: {reason}
    Unknown {
        /// The step, the server and the cause.
        reason: String,
    },
}

/// An attempt in progress. Dropping it cancels it and closes its connection. An overloaded server then skips the
/// request, which saves it more work than opening the next connection costs.
pub(crate) struct Attempt {
    pub(crate) server: Rc<Server>,
    result: oneshot::Receiver<Result<ServerReply, AttemptFailure>>,
    task: AbortHandle,
}

impl Attempt {
    /// Starts an attempt. With `check_for_crash`, a lost connection is followed by a check whether the server has
    /// exited.
    pub(crate) fn start(
        gateway: &Rc<Gateway>,
        server: Rc<Server>,
        request: Rc<OutgoingRequest>,
        check_for_crash: bool,
    ) -> Self {
        gateway.load.count_attempt();
        let (respond, result) = oneshot::channel();
        let running = run(
            Rc::clone(gateway),
            Rc::clone(&server),
            request,
            check_for_crash,
        );
        let task = spawn_local(async move {
            // The receiver may have been dropped. The server's health has been updated regardless.
            let _ = respond.send(running.await);
        });
        Self {
            server,
            result,
            task: task.abort_handle(),
        }
    }

    /// Polls for the result of the attempt.
    pub(crate) fn poll_result(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Result<ServerReply, AttemptFailure>> {
        Pin::new(&mut self.result).poll(context).map(|received| {
            received.unwrap_or_else(|_| {
                Err(AttemptFailure::Unknown {
                    reason: format!("attempt at {}: cancelled", self.server.address),
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

/// Records the outcome and timing of an attempt when it is dropped, so that cancelled attempts are recorded too.
struct AttemptRecorder {
    gateway: Rc<Gateway>,
    server: Rc<Server>,
    request: Rc<OutgoingRequest>,
    attempt_number: u64,
    sent_at: Duration,
    outcome: AttemptOutcome,
}

impl AttemptRecorder {
    fn start(gateway: Rc<Gateway>, server: Rc<Server>, request: Rc<OutgoingRequest>) -> Self {
        let now = gateway.clock.now();
        let profile = &request.profile;
        let expected = profile.typical_service_time() + server.round_trip();
        let mut health = server.health.borrow_mut();
        let attempt_number = health.record_sent(now, expected);
        drop(health);
        Self {
            gateway,
            server,
            request,
            attempt_number,
            sent_at: now,
            outcome: AttemptOutcome::Cancelled,
        }
    }

    fn finish(mut self, outcome: AttemptOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for AttemptRecorder {
    fn drop(&mut self) {
        let now = self.gateway.clock.now();
        let elapsed = now.saturating_sub(self.sent_at);
        let service_time = elapsed.saturating_sub(self.server.round_trip());
        let profile = &self.request.profile;
        let typical = profile.typical_service_time();
        let mut outcome = self.outcome;
        // An attempt that was cancelled only after a long wait without a reply counts against the server.
        let silence_limit = 4 * typical + self.server.round_trip() + Duration::from_millis(250);
        if outcome == AttemptOutcome::Cancelled && elapsed > silence_limit {
            outcome = AttemptOutcome::TimedOut;
        }
        if outcome == AttemptOutcome::Succeeded {
            profile.record_service_time(service_time);
        }
        self.gateway.metrics.attempt_ended(outcome.metric_label());
        let timing = AttemptTiming {
            service_time,
            typical,
            query_median: self.request.service_time_estimate.median(),
        };
        let mut health = self.server.health.borrow_mut();
        health.record_end(now, self.attempt_number, outcome, &timing);
    }
}

async fn run(
    gateway: Rc<Gateway>,
    server: Rc<Server>,
    request: Rc<OutgoingRequest>,
    check_for_crash: bool,
) -> Result<ServerReply, AttemptFailure> {
    let recorder =
        AttemptRecorder::start(Rc::clone(&gateway), Rc::clone(&server), Rc::clone(&request));
    let _running = request.crash_watch.start_attempt();
    let mut result = exchange(&gateway, &server, &request).await;
    let now = gateway.clock.now();
    match &mut result {
        Ok(_) | Err(AttemptFailure::ErrorReply(_) | AttemptFailure::NoMemoryLeft { .. }) => {
            request.crash_watch.record_reply(now);
        }
        Err(AttemptFailure::ConnectionLost { is_server_gone, .. }) => {
            let typical = request.profile.typical_service_time();
            request
                .crash_watch
                .record_lost_connection(now, &server.id, typical);
            if check_for_crash {
                *is_server_gone = is_gone(&gateway, &server).await;
            }
        }
        Err(_) => {}
    }
    let outcome = match &result {
        Ok(_) => AttemptOutcome::Succeeded,
        Err(AttemptFailure::NotExecuted { .. }) => AttemptOutcome::Rejected,
        Err(AttemptFailure::ErrorReply(_)) => AttemptOutcome::ErrorReply,
        // Not the server's fault.
        Err(AttemptFailure::NoMemoryLeft { .. }) => AttemptOutcome::Cancelled,
        Err(
            AttemptFailure::NotSent { .. }
            | AttemptFailure::ConnectionLost { .. }
            | AttemptFailure::Unknown { .. },
        ) => AttemptOutcome::TransportFailed,
    };
    recorder.finish(outcome);
    result
}

/// Whether the server has exited, that is, its address refuses connections. A lost connection alone does not show
/// that: networks reset connections too, and so do servers that keep running.
async fn is_gone(gateway: &Gateway, server: &Server) -> bool {
    let source = gateway.config.connect_from;
    match connect(
        source,
        server.address,
        connect_timeout(server),
        PROBE_USER_TIMEOUT,
    )
    .await
    {
        Err(ConnectError::Failed { source, .. }) => source.kind() == ErrorKind::ConnectionRefused,
        Ok(_) | Err(ConnectError::TimedOut { .. } | ConnectError::Handshake { .. }) => false,
    }
}

/// The connect timeout for a server.
fn connect_timeout(server: &Server) -> Duration {
    MIN_CONNECT_TIMEOUT.max(server.round_trip() * CONNECT_ROUND_TRIPS)
}
