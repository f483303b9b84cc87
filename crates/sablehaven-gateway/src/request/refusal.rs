//! Refusals: responses that the gateway makes itself.

use std::time::Duration;

use bytes::Bytes;
use hyper::{
    Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE},
};
use sablehaven_http::WholeBody;
use sablehaven_routing::crash_table::CrashStatus;

use super::Accepted;

/// Typical time from a gateway's start until it has routes and servers. It includes an election of the control
/// replicas, in case all of them were stopped too.
const TYPICAL_STARTUP: Duration = Duration::from_millis(1_100);
/// Minimum retry delay while the gateway has no routes yet.
const MIN_STARTUP_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Retry delay after a refusal under overload.
const OVERLOAD_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Retry delay when no server is available: about the time until the list of servers is read again.
const NO_SERVER_RETRY_DELAY: Duration = Duration::from_millis(1_000);
/// Retry delay when no server ran the request.
const NOT_RUN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Why a request gets no response from a server. Status codes 408, 429 and 503 promise that the request has not run and
/// never will; 502 and 504 promise nothing.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub(super) enum Refusal {
    /// this gateway has no routes yet
    NoRoutes {
        /// Time since the gateway started.
        age: Duration,
    },
    /// the request names no host
    MissingHost,
    /// no route has this host and path
    UnknownRoute,
    /// no key of a tenant is presented, or one that is not known
    UnknownKey,
    /// the request has no id
    MissingRequestId,
    /// the body is larger than allowed
    BodyTooLarge,
    /// the body ended early
    IncompleteBody,
    /// the body was not complete in time; the request has not run
    BodyTooLate,
    /// too many bodies are held; the request has not run
    NoMemoryLeft,
    /// too many requests
    TooManyRequests,
    /// the tenant's quota is used up
    OverQuota {
        /// Time until a token is available for this caller.
        retry_in: Duration,
    },
    /// no control replica says in time whether the tenant's quota bears the request
    NoTokens,
    /// no server may take the request; it has not run
    NoServerAvailable,
    /// no server took the request; it has not run
    NotRun,
    /// this gateway is stopping; the request has not run
    Stopping,
    /// the servers failed; whether the request has run is not known
    Failed,
    /// too few shards answered
    TooFewShards,
    /// servers ended when they ran the request; it is tried again later
    CrashesServers {
        /// Time until the request may be retried.
        retry_in: Duration,
    },
    /// the request has crashed servers and is not sent to any for a while; it has not run
    Quarantined {
        /// Time until the request may be retried.
        retry_in: Duration,
    },
    /// the time is over
    DeadlineExceeded,
}

impl Refusal {
    /// The refusal of a request that crashes servers, depending on whether a server may have run it this time.
    pub(super) fn after_crashes(accepted: &Accepted, may_have_run: bool) -> Self {
        let now = accepted.gateway.clock.now();
        let retry_in = match accepted.outgoing.crash_watch.status(now) {
            CrashStatus::Quarantined { left } => left,
            CrashStatus::Clear | CrashStatus::Suspect => Duration::ZERO,
        };
        if may_have_run {
            Self::CrashesServers { retry_in }
        } else {
            Self::Quarantined { retry_in }
        }
    }

    pub(super) fn status(&self) -> StatusCode {
        match self {
            Self::MissingHost | Self::MissingRequestId | Self::IncompleteBody => {
                StatusCode::BAD_REQUEST
            }
            Self::UnknownRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::OverQuota { .. } => StatusCode::TOO_MANY_REQUESTS,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTooLate => StatusCode::REQUEST_TIMEOUT,
            Self::NoRoutes { .. }
            | Self::TooManyRequests
            | Self::NoMemoryLeft
            | Self::NoTokens
            | Self::NoServerAvailable
            | Self::NotRun
            | Self::Stopping
            | Self::Quarantined { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::Failed | Self::TooFewShards | Self::CrashesServers { .. } => {
                StatusCode::BAD_GATEWAY
            }
            Self::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::NoRoutes { age } => Some(
                TYPICAL_STARTUP
                    .saturating_sub(*age)
                    .max(MIN_STARTUP_RETRY_DELAY),
            ),
            Self::TooManyRequests | Self::NoMemoryLeft | Self::NoTokens => {
                Some(OVERLOAD_RETRY_DELAY)
            }
            Self::OverQuota { retry_in } => Some(*retry_in),
            Self::NoServerAvailable => Some(NO_SERVER_RETRY_DELAY),
            Self::NotRun | Self::Stopping | Self::Failed | Self::TooFewShards => {
                Some(NOT_RUN_RETRY_DELAY)
            }
            Self::CrashesServers { retry_in } | Self::Quarantined { retry_in } => {
                Some((*retry_in).max(NOT_RUN_RETRY_DELAY))
            }
            _ => None,
        }
    }

    /// The minimum jitter factor for the retry delay. Delays are jittered so that callers that were refused together
    /// do not retry together. For an exhausted quota the factor is at least 1, since a caller that retries before its
    /// token is available would be refused again.
    fn min_jitter_factor(&self) -> f64 {
        match self {
            Self::OverQuota { .. } => 1.0,
            _ => 0.75,
        }
    }

    pub(super) fn response(&self) -> Response<WholeBody> {
        let mut response = Response::new(WholeBody::new(Bytes::from(format!("{self}\n"))));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if *self == Self::UnknownKey {
            // A 401 response must name an authentication scheme (RFC 9110, section 11.6.1).
            headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        if let Some(delay) = self.retry_after() {
            let jitter_factor = self.min_jitter_factor() + 0.5 * rand::random::<f64>();
            let hundredths = (delay.as_secs_f64() * jitter_factor * 100.0).ceil();
            let seconds = format!("{:.2}", hundredths / 100.0);
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        response
    }
}
