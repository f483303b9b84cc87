//! A plain HTTP caller, as a service without generated clients would write it.

use std::net::SocketAddr;

use sablehaven_types::{Envelope, http};
use serde_json::Value;

use crate::HarnessError;

/// Deadline of the harness's own requests, in milliseconds. Generous, so that a verdict does not
/// depend on the machine's speed.
const DEADLINE_MS: u64 = 30_000;

/// Sends JSON requests to one agent.
#[derive(Clone, Debug)]
pub struct HttpCaller {
    client: reqwest::Client,
    agent: SocketAddr,
}

/// An answer with its HTTP status.
#[derive(Clone, Debug)]
pub struct HttpAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The envelope.
    pub envelope: Envelope<Value>,
}

impl HttpCaller {
    /// A caller beside the agent at this address.
    pub fn new(agent: SocketAddr) -> Self {
        Self {
            client: reqwest::Client::new(),
            agent,
        }
    }

    /// Sends a request that may be repeated.
    pub async fn query(&self, path: &str, body: &Value) -> Result<HttpAnswer, HarnessError> {
        let request = self.client.post(self.url(path)).json(body);
        self.send(path, request).await
    }

    /// Sends a request that may not be repeated for the first time.
    pub async fn once(
        &self,
        path: &str,
        request_id: &str,
        issued_at_ms: u64,
        body: &Value,
    ) -> Result<HttpAnswer, HarnessError> {
        let request = self.once_request(path, request_id, issued_at_ms, body);
        self.send(path, request).await
    }

    /// Sends a request that may not be repeated again.
    pub async fn resend(
        &self,
        path: &str,
        request_id: &str,
        issued_at_ms: u64,
        body: &Value,
    ) -> Result<HttpAnswer, HarnessError> {
        let request = self.once_request(path, request_id, issued_at_ms, body);
        self.send(path, request.header(http::RESEND, "1")).await
    }

    fn once_request(
        &self,
        path: &str,
        request_id: &str,
        issued_at_ms: u64,
        body: &Value,
    ) -> reqwest::RequestBuilder {
        self.client
            .post(self.url(path))
            .header(http::CALLER, "integration")
            .header(http::REQUEST_ID, request_id)
            .header(http::ISSUED_AT_MS, issued_at_ms.to_string())
            .json(body)
    }

    async fn send(
        &self,
        path: &str,
        request: reqwest::RequestBuilder,
    ) -> Result<HttpAnswer, HarnessError> {
        let error = |reason: reqwest::Error| HarnessError::Peer {
            step: path.to_owned(),
            peer: format!("agent {}", self.agent),
            reason: reason.to_string(),
        };
        let request = request.header(http::DEADLINE_MS, DEADLINE_MS.to_string());
        let response = request.send().await.map_err(error)?;
        let status = response.status().as_u16();
        let envelope = response.json().await.map_err(error)?;
        Ok(HttpAnswer { status, envelope })
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.agent)
    }
}
