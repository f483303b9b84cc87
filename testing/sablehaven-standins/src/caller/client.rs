//! One call to an agent, and what the caller can tell of its answer.

use std::{
    error::Error,
    net::SocketAddr,
    sync::{PoisonError, RwLock},
    time::Duration,
};

use prost_reflect::DynamicMessage;
use reqwest::Client;
use sablehaven_history::{CallAnswer, CallResult, Mark};
use sablehaven_schema::{MethodKind, MethodSchema, encode_json};
use sablehaven_types::{CallerId, Envelope, LedgerKey, Outcome, Placement, ShardId, http};
use serde::{Deserialize, Serialize};

use crate::replies::{self, ReplyContext};

/// Added to a method's deadline before the caller gives a call up.
const PATIENCE: Duration = Duration::from_secs(10);

/// An agent that callers may call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentTarget {
    /// The process, by its name in the run.
    pub process: String,
    /// Where callers reach it.
    pub address: SocketAddr,
    /// Where it runs.
    pub placement: Placement,
}

/// Calls one agent over kept connections.
#[derive(Debug)]
pub struct AgentClient {
    target: AgentTarget,
    /// Where the agent is reached now; it may come back elsewhere after a restart.
    address: RwLock<SocketAddr>,
    client: Client,
}

/// One request to be sent.
#[derive(Clone, Debug)]
pub struct Asked {
    /// The method.
    pub method: MethodSchema,
    /// The request.
    pub request: DynamicMessage,
    /// Who asks.
    pub caller: CallerId,
    /// The ledger key, for methods that may not be repeated.
    pub once_key: Option<LedgerKey>,
    /// Whether it was sent before.
    pub is_resend: bool,
    /// Time for the whole call; `None` leaves it to the method's own deadline.
    pub deadline: Option<Duration>,
    /// Elements of each repeated field in back ends' replies, to know the answer that is due.
    pub items: u32,
}

impl AgentClient {
    /// A client of one agent; fails only where the system cannot give what HTTP needs.
    pub fn new(target: AgentTarget) -> Result<Self, reqwest::Error> {
        let client = Client::builder()
            .no_proxy()
            .http2_prior_knowledge()
            .tcp_nodelay(true)
            .build()?;
        Ok(Self {
            address: RwLock::new(target.address),
            target,
            client,
        })
    }

    /// Calls the agent at another address from now on.
    pub fn set_address(&self, address: SocketAddr) {
        *self.address.write().unwrap_or_else(PoisonError::into_inner) = address;
    }

    /// The agent.
    pub fn target(&self) -> &AgentTarget {
        &self.target
    }

    /// Sends a request and reads the answer to its end.
    pub async fn call(&self, asked: &Asked) -> CallResult {
        let process = &self.target.process;
        let response = match self.send(asked).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => {
                let error = format!("connect to {process}: {}", chain(&error));
                return CallResult::NotConnected { error };
            }
            Err(error) => {
                let error = format!("send to {process}: {}", chain(&error));
                return CallResult::Broken { error };
            }
        };
        let status = response.status().as_u16();
        let envelope = response.json::<Envelope<serde_json::Value>>().await;
        match envelope {
            Ok(envelope) => CallResult::Answered(answer(asked, status, envelope)),
            Err(error) => CallResult::Broken {
                error: format!(
                    "read answer from {process}, status {status}: {}",
                    chain(&error)
                ),
            },
        }
    }

    async fn send(&self, asked: &Asked) -> Result<reqwest::Response, reqwest::Error> {
        let address = *self.address.read().unwrap_or_else(PoisonError::into_inner);
        let url = format!("http://{address}{}", asked.method.path);
        // A request that was made from the schema can be written as JSON.
        let body = encode_json(&asked.request).unwrap_or_default();
        let deadline = asked.deadline;
        let deadline = deadline.unwrap_or(Duration::from_millis(asked.method.deadline_ms));
        let mut request = self
            .client
            .post(url)
            .timeout(deadline + PATIENCE)
            .header(http::CALLER, asked.caller.as_str())
            .json(&body);
        if let Some(deadline) = asked.deadline {
            request = request.header(http::DEADLINE_MS, deadline.as_millis().to_string());
        }
        if let Some(key) = &asked.once_key {
            request = request
                .header(http::REQUEST_ID, key.request.as_str())
                .header(http::ISSUED_AT_MS, key.issued_at_ms.to_string());
        }
        if asked.is_resend {
            request = request.header(http::RESEND, "1");
        }
        request.send().await
    }
}

fn answer(asked: &Asked, status: u16, envelope: Envelope<serde_json::Value>) -> CallAnswer {
    let marks = envelope
        .body
        .as_ref()
        .map(replies::marks)
        .unwrap_or_default();
    let is_expected = is_expected(asked, &envelope, &marks);
    CallAnswer {
        status,
        outcome: envelope.outcome,
        reason: envelope.reason,
        snapshot: envelope.snapshot,
        coverage: envelope.coverage,
        configuration: envelope.configuration,
        retry_after_ms: envelope.retry_after_ms,
        marks,
        is_expected,
    }
}

/// Whether the body is the merge of what the answered shards reply; `None` where the answer does not
/// say enough to tell.
fn is_expected(
    asked: &Asked,
    envelope: &Envelope<serde_json::Value>,
    marks: &[Mark],
) -> Option<bool> {
    if envelope.outcome != Outcome::Done {
        return None;
    }
    let snapshot = envelope
        .snapshot
        .or(marks.first().map(|mark| mark.snapshot))?;
    let context = ReplyContext {
        shard: ShardId(0),
        snapshot,
        question: replies::question(&asked.request),
        items: asked.items,
        run: marks.first().and_then(|mark| mark.run),
    };
    let shards = match asked.method.kind {
        MethodKind::Query { .. } => envelope.coverage.as_ref()?.answered.clone(),
        _ => vec![marks.first()?.shard],
    };
    let expected = replies::expected_answer(&asked.method, &asked.request, &shards, context)?;
    let body = envelope.body.as_ref()?;
    let body = DynamicMessage::deserialize(asked.method.output.clone(), body);
    Some(body.is_ok_and(|body| body == expected))
}

/// An error with its causes, which name what went wrong on the connection.
fn chain(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text.push_str(": ");
        text.push_str(&error.to_string());
        cause = error.source();
    }
    text
}
