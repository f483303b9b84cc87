//! Answers of the gateway's own.

use std::time::Duration;

use bytes::Bytes;
use hyper::{
    Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE},
};
use sablehaven_http::WholeBody;
use sablehaven_routing::crash_table::CrashStatus;

use super::Accepted;

/// Time that a gateway usually needs from its start until it has routes and servers: an election of
/// the control replicas, when all of them were stopped too.
const USUAL_START: Duration = Duration::from_millis(1_100);
/// The least time after which to come back while the gateway has no routes yet.
const LEAST_START_PAUSE: Duration = Duration::from_millis(250);
/// When to come back after a refusal under pressure.
const PRESSURE_PAUSE: Duration = Duration::from_millis(200);
/// When to come back when no server may take the request: about when the list of servers is read again.
const NO_SERVER_PAUSE: Duration = Duration::from_millis(1_000);
/// When to come back when no server ran the request.
const NOT_RUN_PAUSE: Duration = Duration::from_millis(100);

/// Why a request has no answer of a server. 429 and 503 are a promise that it has not run and never will;
/// 502 and 504 promise nothing.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub(super) enum Refusal {
    /// this gateway has no routes yet
    NoRoutes {
        /// Time since its start.
        age: Duration,
    },
    /// the request names no host
    NoHost,
    /// no route has this host and path
    UnknownRoute,
    /// no key of a tenant is presented, or one that is not known
    UnknownKey,
    /// the request has no id
    NoRequestId,
    /// the body is larger than allowed
    BodyTooLarge,
    /// the body ended early
    BodyCutOff,
    /// too many requests
    TooMany,
    /// the tenant's quota is used up
    OverQuota {
        /// Until a token is there for this caller.
        left: Duration,
    },
    /// no control replica says in time whether the tenant's quota bears the request
    NoTokens,
    /// no server may take the request; it has not run
    NoServers,
    /// no server took the request; it has not run
    NotRun,
    /// the servers failed; whether the request has run is not known
    Failed,
    /// too few shards answered
    TooFewShards,
    /// servers ended when they ran the request; it is tried again later
    CrashesServers {
        /// Until it may be tried.
        left: Duration,
    },
    /// the request has crashed servers and is not sent to any for a while; it has not run
    Quarantined {
        /// Until it may be tried.
        left: Duration,
    },
    /// the time is over
    OutOfTime,
}

impl Refusal {
    /// The refusal of a request that ends the servers that run it, whether or not one has run it this time.
    pub(super) fn after_crashes(accepted: &Accepted, may_have_run: bool) -> Self {
        let now = accepted.gateway.clock.now();
        let left = match accepted.outgoing.crash_watch.standing(now) {
            CrashStatus::Quarantined { left } => left,
            CrashStatus::Clear | CrashStatus::Suspect => Duration::ZERO,
        };
        if may_have_run {
            Self::CrashesServers { left }
        } else {
            Self::Quarantined { left }
        }
    }

    pub(super) fn status(&self) -> StatusCode {
        match self {
            Self::NoHost | Self::NoRequestId | Self::BodyCutOff => StatusCode::BAD_REQUEST,
            Self::UnknownRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::OverQuota { .. } => StatusCode::TOO_MANY_REQUESTS,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoRoutes { .. }
            | Self::TooMany
            | Self::NoTokens
            | Self::NoServers
            | Self::NotRun
            | Self::Quarantined { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::Failed | Self::TooFewShards | Self::CrashesServers { .. } => {
                StatusCode::BAD_GATEWAY
            }
            Self::OutOfTime => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::NoRoutes { age } => Some(USUAL_START.saturating_sub(*age).max(LEAST_START_PAUSE)),
            Self::TooMany | Self::NoTokens => Some(PRESSURE_PAUSE),
            Self::OverQuota { left } => Some(*left),
            Self::NoServers => Some(NO_SERVER_PAUSE),
            Self::NotRun | Self::Failed | Self::TooFewShards => Some(NOT_RUN_PAUSE),
            Self::CrashesServers { left } | Self::Quarantined { left } => {
                Some((*left).max(NOT_RUN_PAUSE))
            }
            _ => None,
        }
    }

    /// The least part of the pause after which a caller is told to come back. Pauses are spread, so that callers that
    /// were refused together do not come back together; before its token is there, a caller would be refused again.
    fn least_spread(&self) -> f64 {
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
            // A 401 must say how to do better (RFC 9110, section 11.6.1).
            headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        if let Some(pause) = self.retry_after() {
            let spread = self.least_spread() + 0.5 * rand::random::<f64>();
            let hundredths = (pause.as_secs_f64() * spread * 100.0).ceil();
            let seconds = format!("{:.2}", hundredths / 100.0);
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        response
    }
}
