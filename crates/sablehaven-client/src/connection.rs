//! Calls through an agent, over HTTP/2 with Protocol Buffers bodies.

use std::{net::SocketAddr, time::Duration};

use prost::Message;
use reqwest::{
    RequestBuilder, Response,
    header::{ACCEPT, CONTENT_TYPE},
};
use sablehaven_types::{
    Envelope,
    http::{CALLER, CONTENT_TYPE_PROTOBUF, DEADLINE_MS, ISSUED_AT_MS, REQUEST_ID, RESEND},
    protobuf::ProtobufEnvelope,
};

use crate::{CallError, CallOptions, MethodInfo, RequestKey};

/// Time after the deadline for which the client still waits for the response. The agent responds to
/// every call by its deadline, so the response only has to arrive.
const RESPONSE_GRACE: Duration = Duration::from_secs(1);
/// Timeout for opening a connection to the agent, which runs on the same host.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Value of the [`RESEND`] header on a resend.
const RESEND_VALUE: &str = "1";

/// Connection to the agent on the caller's host.
///
/// It is cheap to clone, and is opened again after it was lost.
#[derive(Clone, Debug)]
pub struct AgentConnection {
    agent: SocketAddr,
    client: reqwest::Client,
}

impl AgentConnection {
    /// Creates a connection to the agent at an address. It is opened by the first call.
    pub fn new(agent: SocketAddr) -> Result<Self, CallError> {
        let client = reqwest::Client::builder()
            .http2_prior_knowledge()
            .no_proxy()
            .connect_timeout(CONNECT_TIMEOUT)
            .build()
            .map_err(|source| CallError::CreateClient { agent, source })?;
        Ok(Self { agent, client })
    }

    /// Calls a method. This is used by the generated clients. An at-most-once method requires `key`.
    ///
    /// A response with outcome [`NotRun`](sablehaven_types::Outcome::NotRun) or
    /// [`Unknown`](sablehaven_types::Outcome::Unknown) is returned as `Ok`.
    pub async fn call<Request, Reply>(
        &self,
        method: MethodInfo,
        key: Option<&RequestKey>,
        request: &Request,
        options: CallOptions,
    ) -> Result<Envelope<Reply>, CallError>
    where
        Request: Message,
        Reply: Message + Default,
    {
        let builder = self.build_request(method, key, request, options);
        let response = builder
            .send()
            .await
            .map_err(|source| self.send_error(method, source))?;
        let envelope = self.read_envelope(method, response).await?;
        self.decode_body(method, envelope)
    }

    fn build_request<Request: Message>(
        &self,
        method: MethodInfo,
        key: Option<&RequestKey>,
        request: &Request,
        options: CallOptions,
    ) -> RequestBuilder {
        let deadline_ms = options.deadline_ms.unwrap_or(method.deadline_ms);
        let mut builder = self
            .client
            .post(format!("http://{}{}", self.agent, method.path))
            .timeout(Duration::from_millis(deadline_ms).saturating_add(RESPONSE_GRACE))
            .header(CONTENT_TYPE, CONTENT_TYPE_PROTOBUF)
            .header(ACCEPT, CONTENT_TYPE_PROTOBUF)
            .header(DEADLINE_MS, deadline_ms.to_string())
            .body(request.encode_to_vec());
        if let Some(key) = key {
            builder = builder
                .header(CALLER, key.caller.as_str())
                .header(REQUEST_ID, key.request.as_str())
                .header(ISSUED_AT_MS, key.issued_at_ms.to_string());
            if key.resend {
                builder = builder.header(RESEND, RESEND_VALUE);
            }
        }
        builder
    }

    fn send_error(&self, method: MethodInfo, source: reqwest::Error) -> CallError {
        let (agent, path) = (self.agent, method.path);
        if source.is_connect() {
            CallError::Connect {
                agent,
                path,
                source,
            }
        } else {
            CallError::NoResponse {
                agent,
                path,
                source,
            }
        }
    }

    async fn read_envelope(
        &self,
        method: MethodInfo,
        response: Response,
    ) -> Result<Envelope<Vec<u8>>, CallError> {
        let (agent, path) = (self.agent, method.path);
        let content_type = response.headers().get(CONTENT_TYPE);
        if content_type.is_none_or(|value| value != CONTENT_TYPE_PROTOBUF) {
            return Err(CallError::NotAnEnvelope {
                agent,
                path,
                status: response.status().as_u16(),
            });
        }
        let bytes = response
            .bytes()
            .await
            .map_err(|source| CallError::NoResponse {
                agent,
                path,
                source,
            })?;
        ProtobufEnvelope::read(&bytes).map_err(|source| CallError::Envelope {
            agent,
            path,
            source,
        })
    }

    fn decode_body<Reply: Message + Default>(
        &self,
        method: MethodInfo,
        envelope: Envelope<Vec<u8>>,
    ) -> Result<Envelope<Reply>, CallError> {
        let body = envelope
            .body
            .map(|bytes| Reply::decode(bytes.as_slice()))
            .transpose()
            .map_err(|source| CallError::Body {
                agent: self.agent,
                path: method.path,
                source,
            })?;
        Ok(Envelope {
            outcome: envelope.outcome,
            reason: envelope.reason,
            snapshot: envelope.snapshot,
            coverage: envelope.coverage,
            configuration: envelope.configuration,
            retry_after_ms: envelope.retry_after_ms,
            body,
        })
    }
}
