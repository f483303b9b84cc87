//! The HTTP handler for requests of callers.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use prost_reflect::DynamicMessage;
use sablehaven_http::{ClientConnection, CollectError};
use sablehaven_schema::{BodyError, MethodKind, MethodSchema, decode_json, decode_protobuf};
use sablehaven_web::{ReadError, RequestBody, client_of, read_body};
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, async_trait,
    http::{
        HeaderValue, Version,
        header::{CONNECTION, CONTENT_TYPE, RETRY_AFTER},
    },
};
use tokio::sync::oneshot;

use super::{
    request::{Encoding, answer_encoding, request_encoding, time_allowed},
    response::{EncodedAnswer, encode_answer},
};
use crate::{
    agent::Agent,
    answer::Answer,
    metrics::RequestKind,
    once::{ClockReading, OnceHeaders, OnceRequest, is_resend},
    plan::{AgentPlan, ServicePlan},
    query::ReadRequest,
    reason::Reason,
};

/// Handles `POST /<package>.<Service>/<Method>`.
pub struct CallHandler {
    /// The agent that serves the requests.
    pub agent: Arc<Agent>,
}

/// A request whose body was decoded and matches the schema.
struct DecodedCall<'a> {
    client: ClientConnection,
    /// Held until the call ends.
    body: RequestBody,
    service: &'a Arc<ServicePlan>,
    method: &'a MethodSchema,
    message: DynamicMessage,
    time_allowed: Duration,
    arrived: ClockReading,
}

#[async_trait]
impl Handler for CallHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _control: &mut FlowCtrl,
    ) {
        let arrived = ClockReading::now();
        let encoding = answer_encoding(request.headers());
        let agent = &self.agent;
        let plan = agent.current_plan().await;
        let (kind, answer) = self.serve(request, &plan, arrived).await;
        let latency = arrived.monotonic.elapsed();
        agent.metrics.record_answer(kind, answer.outcome, latency);
        let configuration = plan.age(agent.subscription.lease());
        let encoded = encode_answer(answer, configuration, encoding);
        write_response(encoded, response);
        if agent.is_stopping() && request.version() < Version::HTTP_2 {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
    }
}

impl CallHandler {
    async fn serve(
        &self,
        request: &mut Request,
        plan: &AgentPlan,
        arrived: ClockReading,
    ) -> (RequestKind, Answer) {
        if plan.schema.is_none() {
            let answer = self.agent.refusal_with_retry_after(Reason::NotReady);
            return (RequestKind::Unrecognised, answer);
        }
        let resend = is_resend(request.headers());
        let path = request.uri().path().to_owned();
        let Some((method, service)) = plan.method(&path) else {
            let answer = refusal(Reason::UnknownMethod(path), resend);
            return (RequestKind::Unrecognised, answer);
        };
        let kind = request_kind(method);
        let call = self.decode_call(request, service, method, arrived).await;
        let answer = match call {
            Ok(call) if kind == RequestKind::Once => self.serve_once(call, request).await,
            Ok(call) => self.serve_read(call).await,
            Err(reason @ Reason::NoMemoryLeft(_)) => {
                let retry_after = self.agent.config.timing.retry_after();
                let answer = refusal(reason, resend && kind == RequestKind::Once);
                answer.with_retry_after(retry_after)
            }
            Err(reason) => refusal(reason, resend && kind == RequestKind::Once),
        };
        (kind, answer)
    }

    async fn decode_call<'a>(
        &self,
        request: &mut Request,
        service: &'a Arc<ServicePlan>,
        method: &'a MethodSchema,
        arrived: ClockReading,
    ) -> Result<DecodedCall<'a>, Reason> {
        let encoding = request_encoding(request.headers())?;
        let time_allowed = time_allowed(request.headers(), method.deadline_ms)?;
        let limit_bytes = self.agent.config.limits.request_body_bytes;
        let client = client_of(request).cloned();
        let body = read_body(request, limit_bytes).await;
        let body = body.map_err(|error| unreadable(error, limit_bytes))?;
        let client = client.ok_or_else(|| unreadable(ReadError::NoClient, limit_bytes))?;
        let message = decode(method, encoding, body.bytes()).map_err(Reason::InvalidBody)?;
        Ok(DecodedCall {
            client,
            body,
            service,
            method,
            message,
            time_allowed,
            arrived,
        })
    }

    async fn serve_read(&self, call: DecodedCall<'_>) -> Answer {
        let deadline: Instant = call.arrived.monotonic + call.time_allowed;
        let read = ReadRequest {
            client: &call.client,
            service: call.service,
            method: call.method,
            message: &call.message,
            deadline,
            limits: &self.agent.config.limits,
            metrics: &self.agent.metrics,
            crashes: &self.agent.crashes,
        };
        read.run().await
    }

    /// Runs the request in a separate task. If the caller disconnects, the task still records the
    /// outcome of the claim in the ledger.
    async fn serve_once(&self, call: DecodedCall<'_>, request: &Request) -> Answer {
        let headers = match OnceHeaders::parse(request.headers()) {
            Ok(headers) => headers,
            Err(reason) => return Answer::without_reply(reason),
        };
        let once = OnceRequest {
            client: call.client,
            body: call.body,
            service: Arc::clone(call.service),
            method: call.method.clone(),
            message: call.message,
            headers,
            arrived: call.arrived,
            time_allowed: call.time_allowed,
        };
        let (sender, receiver) = oneshot::channel();
        let environment = self.agent.once_environment();
        self.agent.once_tasks.spawn(once.run(environment, sender));
        let answer = receiver.await;
        // The task ends without an answer only if it panicked. Where it panicked is not known, so
        // the request may have been sent.
        answer.unwrap_or_else(|_| Answer::without_reply(Reason::SentWithoutReply))
    }
}

/// The reason why a call's body was not read.
fn unreadable(error: ReadError, limit_bytes: usize) -> Reason {
    match error {
        ReadError::Body(CollectError::NoMemoryLeft(error)) => Reason::NoMemoryLeft(error),
        error => Reason::BodyUnreadable {
            limit_bytes,
            cause: error.to_string(),
        },
    }
}

fn refusal(reason: Reason, resend: bool) -> Answer {
    let reason = if resend { reason.for_resend() } else { reason };
    Answer::without_reply(reason)
}

fn request_kind(method: &MethodSchema) -> RequestKind {
    match method.kind {
        MethodKind::Query { .. } => RequestKind::Query,
        MethodKind::Lookup { .. } => RequestKind::Lookup,
        MethodKind::Once { .. } => RequestKind::Once,
    }
}

fn decode(
    method: &MethodSchema,
    encoding: Encoding,
    body: &[u8],
) -> Result<DynamicMessage, BodyError> {
    let message = match encoding {
        Encoding::Json => decode_json(&method.input, body),
        Encoding::Protobuf => decode_protobuf(&method.input, body),
    }?;
    method.check_request(&message)?;
    Ok(message)
}

fn write_response(answer: EncodedAnswer, response: &mut Response) {
    response.status_code(answer.status);
    let headers = response.headers_mut();
    let content_type = HeaderValue::from_static(answer.content_type);
    headers.insert(CONTENT_TYPE, content_type);
    if let Some(seconds) = answer.retry_after_seconds {
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    // Writing the body fails only if a body was set before, and none was.
    let _ = response.write_body(answer.body);
}
