//! HTTP client for the operator API of the control replicas.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use reqwest::{Client, RequestBuilder, StatusCode};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::error::CommandError;

/// Delay between two rounds over all addresses while no leader responds.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time that a single request may take in addition to the client's timeout, for which the request may
/// ask control to wait.
const REQUEST_TIMEOUT_MARGIN: Duration = Duration::from_secs(5);

/// Timeout of a connection attempt. It is short so that an unreachable replica does not delay requests
/// to the others.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Sends operator requests to the control replica that is the leader.
///
/// While no leader responds, a request is retried at the same or another replica. This is safe because
/// operator requests are idempotent: each is identified by a command id, a replica or an address and
/// takes effect once, however often it is sent.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    http: Client,
    control: Vec<SocketAddr>,
    timeout: Duration,
}

/// Response body with status 421, sent by a replica that is not the leader.
#[derive(Debug, Deserialize)]
struct NotLeaderBody {
    leader: Option<SocketAddr>,
}

/// Response body of an error.
#[derive(Debug, Deserialize)]
struct ErrorBody {
    error: String,
}

/// Result of sending a request to one replica.
enum SendResult<Response> {
    /// The replica handled the request.
    Success(Response),
    /// The replica is not the leader and names the one that is.
    Redirect(SocketAddr),
    /// Another replica should be tried, for this reason.
    TryNext(String),
}

impl OperatorClient {
    /// Creates a client for the control replicas with these HTTP addresses. It looks for a leader for
    /// at most `timeout`.
    pub fn new(control: Vec<SocketAddr>, timeout: Duration) -> Result<Self, CommandError> {
        let http = Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .build()
            .map_err(|error| CommandError::Operator {
                operation: "creating the HTTP client".to_owned(),
                peer: "this process".to_owned(),
                reason: error.to_string(),
            })?;
        Ok(Self {
            http,
            control,
            timeout,
        })
    }

    /// Returns the time for which the client looks for a leader.
    pub fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Sends a GET request to the leader.
    pub async fn get<Response: DeserializeOwned>(
        &self,
        path: &str,
    ) -> Result<Response, CommandError> {
        self.send(path, |address| self.http.get(url(address, path)))
            .await
    }

    /// Sends a POST request with a JSON body to the leader.
    pub async fn post<Request: Serialize, Response: DeserializeOwned>(
        &self,
        path: &str,
        body: &Request,
    ) -> Result<Response, CommandError> {
        self.send(path, |address| {
            self.http.post(url(address, path)).json(body)
        })
        .await
    }

    /// Sends a request to the addresses in turn, and to the leader that they name, until one of them
    /// handles it or the timeout has passed.
    async fn send<Response: DeserializeOwned>(
        &self,
        path: &str,
        request: impl Fn(SocketAddr) -> RequestBuilder,
    ) -> Result<Response, CommandError> {
        let deadline = Instant::now() + self.timeout;
        loop {
            let mut reasons = Vec::new();
            for &address in &self.control {
                match self.send_to(address, path, &request).await? {
                    SendResult::Success(response) => return Ok(response),
                    SendResult::TryNext(reason) => reasons.push(reason),
                    SendResult::Redirect(leader) => {
                        match self.send_to(leader, path, &request).await? {
                            SendResult::Success(response) => return Ok(response),
                            SendResult::TryNext(reason) => reasons.push(reason),
                            SendResult::Redirect(_) => {
                                reasons.push(format!("{leader}: is not the leader"))
                            }
                        }
                    }
                }
            }
            if Instant::now() + RETRY_DELAY >= deadline {
                return Err(CommandError::Unavailable {
                    operation: path.to_owned(),
                    reasons: reasons.join("; "),
                });
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Sends a request to one replica.
    async fn send_to<Response: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        request: &impl Fn(SocketAddr) -> RequestBuilder,
    ) -> Result<SendResult<Response>, CommandError> {
        let result = request(address)
            .timeout(self.timeout + REQUEST_TIMEOUT_MARGIN)
            .send()
            .await;
        let response = match result {
            Ok(response) => response,
            Err(error) => return Ok(SendResult::TryNext(describe(address, &error))),
        };
        let status = response.status();
        let body = match response.bytes().await {
            Ok(body) => body,
            Err(error) => return Ok(SendResult::TryNext(describe(address, &error))),
        };
        if status.is_success() {
            return serde_json::from_slice(&body)
                .map(SendResult::Success)
                .map_err(|error| operator_error(path, address, error.to_string()));
        }
        match status {
            StatusCode::MISDIRECTED_REQUEST => Ok(not_leader(address, &body)),
            StatusCode::SERVICE_UNAVAILABLE => Ok(SendResult::TryNext(format!(
                "{address}: {}",
                error_text(&body)
            ))),
            _ => Err(operator_error(path, address, error_text(&body))),
        }
    }
}

/// Interprets the body of a response with status 421.
fn not_leader<Response>(address: SocketAddr, body: &[u8]) -> SendResult<Response> {
    let body = serde_json::from_slice::<NotLeaderBody>(body);
    match body.ok().and_then(|body| body.leader) {
        Some(leader) => SendResult::Redirect(leader),
        None => SendResult::TryNext(format!(
            "{address}: not the leader, and the leader is unknown"
        )),
    }
}

/// Returns the error in a response body, or the body itself if it is not a JSON error.
fn error_text(body: &[u8]) -> String {
    match serde_json::from_slice::<ErrorBody>(body) {
        Ok(body) => body.error,
        Err(_) => String::from_utf8_lossy(body).trim().to_owned(),
    }
}

fn operator_error(path: &str, address: SocketAddr, reason: String) -> CommandError {
    CommandError::Operator {
        operation: path.to_owned(),
        peer: address.to_string(),
        reason,
    }
}

/// Formats an error with its sources, which the display text of a reqwest error leaves out.
fn describe(address: SocketAddr, error: &reqwest::Error) -> String {
    let mut text = format!("{address}: {error}");
    let mut source = std::error::Error::source(error);
    while let Some(error) = source {
        text.push_str(&format!(": {error}"));
        source = error.source();
    }
    text
}

fn url(address: SocketAddr, path: &str) -> String {
    format!("http://{address}{path}")
}
