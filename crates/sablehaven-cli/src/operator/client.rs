//! The operators' connection to the control replicas.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use reqwest::{Client, RequestBuilder, StatusCode};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::error::CommandError;

/// Pause between two rounds over all addresses while no leader answers.
const ROUND_PAUSE: Duration = Duration::from_millis(100);

/// Time that one request may take beyond what it asks control to wait.
const REQUEST_LIMIT: Duration = Duration::from_secs(5);

/// Time that a connection attempt may take, so that a cut-off replica does not hold up the others.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// Sends operators' requests to whichever control replica leads.
///
/// A request is sent again, to the same or another replica, while no leader answers; that is safe
/// because every operator request takes effect once however often it is sent (a command id, a
/// replica or an address names it).
#[derive(Clone, Debug)]
pub struct OperatorClient {
    http: Client,
    control: Vec<SocketAddr>,
    limit: Duration,
}

/// A control replica's word that another one leads (status 421).
#[derive(Debug, Deserialize)]
struct NotLeaderBody {
    leader: Option<SocketAddr>,
}

/// A refusal with its reason, as control words it.
#[derive(Debug, Deserialize)]
struct ErrorBody {
    error: String,
}

/// What one replica answered.
enum Answer<Response> {
    Done(Response),
    Follow(SocketAddr),
    TryAnother(String),
}

impl OperatorClient {
    /// A client of the control replicas with these HTTP addresses that looks for a leader for at
    /// most `limit`.
    pub fn new(control: Vec<SocketAddr>, limit: Duration) -> Result<Self, CommandError> {
        let http = Client::builder()
            .connect_timeout(CONNECT_LIMIT)
            .build()
            .map_err(|error| CommandError::Operator {
                step: "set up the HTTP client".to_owned(),
                peer: "this process".to_owned(),
                reason: error.to_string(),
            })?;
        Ok(Self {
            http,
            control,
            limit,
        })
    }

    /// The time for which the client looks for a leader.
    pub fn limit(&self) -> Duration {
        self.limit
    }

    /// Sends a GET request.
    pub async fn get<Response: DeserializeOwned>(
        &self,
        path: &str,
    ) -> Result<Response, CommandError> {
        self.send(path, |address| self.http.get(url(address, path)))
            .await
    }

    /// Sends a POST request with a JSON body.
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

    async fn send<Response: DeserializeOwned>(
        &self,
        path: &str,
        request: impl Fn(SocketAddr) -> RequestBuilder,
    ) -> Result<Response, CommandError> {
        let end = Instant::now() + self.limit;
        loop {
            let mut reasons = Vec::new();
            for &address in &self.control {
                match self.ask(address, path, &request).await? {
                    Answer::Done(response) => return Ok(response),
                    Answer::TryAnother(reason) => reasons.push(reason),
                    Answer::Follow(leader) => match self.ask(leader, path, &request).await? {
                        Answer::Done(response) => return Ok(response),
                        Answer::TryAnother(reason) => reasons.push(reason),
                        Answer::Follow(_) => reasons.push(format!("{leader}: does not lead")),
                    },
                }
            }
            if Instant::now() + ROUND_PAUSE >= end {
                return Err(CommandError::Unavailable {
                    step: path.to_owned(),
                    reasons: reasons.join("; "),
                });
            }
            tokio::time::sleep(ROUND_PAUSE).await;
        }
    }

    async fn ask<Response: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        request: &impl Fn(SocketAddr) -> RequestBuilder,
    ) -> Result<Answer<Response>, CommandError> {
        let sent = request(address)
            .timeout(self.limit + REQUEST_LIMIT)
            .send()
            .await;
        let response = match sent {
            Ok(response) => response,
            Err(error) => return Ok(Answer::TryAnother(describe(address, &error))),
        };
        let status = response.status();
        let body = match response.bytes().await {
            Ok(body) => body,
            Err(error) => return Ok(Answer::TryAnother(describe(address, &error))),
        };
        if status.is_success() {
            return serde_json::from_slice(&body)
                .map(Answer::Done)
                .map_err(|error| refused(path, address, error.to_string()));
        }
        match status {
            StatusCode::MISDIRECTED_REQUEST => Ok(not_leader(address, &body)),
            StatusCode::SERVICE_UNAVAILABLE => Ok(Answer::TryAnother(format!(
                "{address}: {}",
                error_text(&body)
            ))),
            _ => Err(refused(path, address, error_text(&body))),
        }
    }
}

fn not_leader<Response>(address: SocketAddr, body: &[u8]) -> Answer<Response> {
    let named = serde_json::from_slice::<NotLeaderBody>(body);
    match named.ok().and_then(|named| named.leader) {
        Some(leader) => Answer::Follow(leader),
        None => Answer::TryAnother(format!("{address}: knows no leader")),
    }
}

fn error_text(body: &[u8]) -> String {
    match serde_json::from_slice::<ErrorBody>(body) {
        Ok(body) => body.error,
        Err(_) => String::from_utf8_lossy(body).trim().to_owned(),
    }
}

fn refused(path: &str, address: SocketAddr, reason: String) -> CommandError {
    CommandError::Operator {
        step: path.to_owned(),
        peer: address.to_string(),
        reason,
    }
}

/// The error with its causes, which reqwest leaves out of its own text.
fn describe(address: SocketAddr, error: &reqwest::Error) -> String {
    let mut text = format!("{address}: {error}");
    let mut cause = std::error::Error::source(error);
    while let Some(error) = cause {
        text.push_str(&format!(": {error}"));
        cause = error.source();
    }
    text
}

fn url(address: SocketAddr, path: &str) -> String {
    format!("http://{address}{path}")
}
