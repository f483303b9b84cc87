//! The HTTP handler: reads an attempt, admits or refuses it, runs it, replies.

use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use prost_reflect::DynamicMessage;
use sablehaven_history::{CallKind, ExecutionEnd, ExecutionRecord};
use sablehaven_schema::MethodSchema;
use sablehaven_types::{AttemptId, CallerId, LedgerKey, RequestId, ShardId, SnapshotId, http};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait, http::StatusCode};

use super::{in_flight::InFlight, server::Shared, settings::BadReply};
use crate::{
    clock, methods,
    replies::{self, ReplyContext},
};

/// The largest request body that is read, in bytes.
const MAXIMUM_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Time left where an attempt names none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);

/// Handles `POST /<package>.<Service>/<Method>`.
pub(crate) struct AttemptHandler {
    pub shared: Arc<Shared>,
}

/// An attempt as its headers and body describe it.
struct Attempt {
    method: MethodSchema,
    shard: ShardId,
    snapshot: SnapshotId,
    id: AttemptId,
    once_key: Option<LedgerKey>,
    deadline: Instant,
    request: DynamicMessage,
    question: u64,
}

#[async_trait]
impl Handler for AttemptHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _control: &mut FlowCtrl,
    ) {
        let source = request.remote_addr().ip();
        let place = &self.shared.settings.placement;
        let one_way = self.shared.network.one_way(source, place);
        match self.read(request).await {
            Ok(attempt) => {
                pass(one_way).await;
                self.serve(attempt, response).await;
                pass(one_way).await;
            }
            Err(problem) => {
                response.status_code(StatusCode::BAD_REQUEST);
                response.render(problem);
            }
        }
    }
}

impl AttemptHandler {
    async fn read(&self, request: &mut Request) -> Result<Attempt, String> {
        let received = Instant::now();
        let path = request.uri().path();
        let method = self.shared.schema.method_at(path);
        let method = method.ok_or_else(|| format!("no method {path}"))?;
        let left: Option<u64> = optional(request, http::DEADLINE_MS);
        let body = request.payload_with_max_size(MAXIMUM_BODY_BYTES).await;
        let body = body.map_err(|error| format!("read body: {error}"))?.clone();
        let message = DynamicMessage::decode(method.input.clone(), body)
            .map_err(|error| format!("decode body: {error}"))?;
        Ok(Attempt {
            shard: ShardId(required(request, http::SHARD)?),
            snapshot: required(request, http::SNAPSHOT)?,
            id: AttemptId(required(request, http::ATTEMPT)?),
            once_key: once_key(request),
            deadline: received + left.map_or(DEFAULT_DEADLINE, Duration::from_millis),
            question: replies::question(&message),
            request: message,
            method: method.clone(),
        })
    }

    async fn serve(&self, attempt: Attempt, response: &mut Response) {
        let state = &self.shared.state;
        state.received.fetch_add(1, Ordering::Relaxed);
        let record = self.record(&attempt);
        let mut in_flight = InFlight::new(Arc::clone(state), self.shared.log.clone(), record);
        let end = match self.run(&attempt, &mut in_flight).await {
            Ok(()) => ExecutionEnd::Replied,
            Err(end) => end,
        };
        // The load that is reported still counts this request, as a server's own count would.
        self.write_common_headers(&attempt, response);
        match end {
            ExecutionEnd::Replied => self.write_reply(&attempt, in_flight.record(), response),
            refused => write_refusal(refused, response),
        }
        in_flight.end(end);
    }

    /// Waits for a slot and does the work; an error says why there is no reply.
    async fn run(&self, attempt: &Attempt, in_flight: &mut InFlight) -> Result<(), ExecutionEnd> {
        self.admit(attempt)?;
        in_flight.wait();
        let deadline = attempt.deadline.into();
        let permit = tokio::time::timeout_at(deadline, self.shared.slots.acquire()).await;
        let _permit = permit.map_err(|_| ExecutionEnd::RefusedDeadline)?;
        // Checked again: the snapshot may have gone while the request waited.
        if !self.shared.state.holds(attempt.snapshot, attempt.shard) {
            return Err(ExecutionEnd::RefusedSnapshot);
        }
        in_flight.run();
        let work = self.work();
        let done = tokio::time::timeout_at(deadline, work).await;
        done.map_err(|_| ExecutionEnd::DeadlinePassed)
    }

    fn admit(&self, attempt: &Attempt) -> Result<(), ExecutionEnd> {
        let state = &self.shared.state;
        let grace = Duration::from_millis(self.shared.settings.drain_grace_ms);
        if state.draining_for().is_some_and(|since| since >= grace) {
            return Err(ExecutionEnd::RefusedDraining);
        }
        if !state.holds(attempt.snapshot, attempt.shard) {
            return Err(ExecutionEnd::RefusedSnapshot);
        }
        if attempt.deadline <= Instant::now() {
            return Err(ExecutionEnd::RefusedDeadline);
        }
        let is_full = state.waiting.load(Ordering::Relaxed) >= self.shared.settings.queue_limit;
        if is_full || state.happens(state.behaviour().shed_per_mille) {
            return Err(ExecutionEnd::RefusedShed);
        }
        Ok(())
    }

    async fn work(&self) {
        if self.shared.state.behaviour().stuck {
            std::future::pending::<()>().await;
        }
        let time = self.shared.state.draw_service_time(&self.shared.settings);
        tokio::time::sleep(time).await;
    }

    fn record(&self, attempt: &Attempt) -> ExecutionRecord {
        let now = clock::now();
        ExecutionRecord {
            sequence: self.shared.state.received.load(Ordering::Relaxed),
            backend: self.shared.settings.id.clone(),
            incarnation: self.shared.state.incarnation.load(Ordering::Relaxed),
            service: attempt.method.service.clone(),
            method: attempt.method.name.clone(),
            shard: attempt.shard,
            snapshot: attempt.snapshot,
            attempt: attempt.id,
            once_key: attempt.once_key.clone(),
            question: attempt.question,
            received_at: now,
            started_at: None,
            finished_at: now,
            end: ExecutionEnd::Cancelled,
        }
    }

    fn write_common_headers(&self, attempt: &Attempt, response: &mut Response) {
        let Shared {
            state, settings, ..
        } = &*self.shared;
        let load = state.running.load(Ordering::Relaxed) + state.waiting.load(Ordering::Relaxed);
        let report = self
            .shared
            .load
            .report(&state.behaviour(), load, Instant::now());
        set(response, http::ATTEMPT, &attempt.id.to_string());
        set(response, http::BACKEND, settings.id.as_str());
        set(response, http::LOAD, &report.load.to_string());
        set(
            response,
            http::LOAD_AGE_MS,
            &report.age.as_millis().to_string(),
        );
        let incarnation = state.incarnation.load(Ordering::Relaxed);
        set(response, http::INCARNATION, &incarnation.to_string());
        if state.draining_for().is_some() {
            set(response, http::DRAINING, "1");
        }
    }

    fn write_reply(&self, attempt: &Attempt, record: &ExecutionRecord, response: &mut Response) {
        let behaviour = self.shared.state.behaviour();
        let is_bad = self.shared.state.happens(behaviour.bad_reply_per_mille);
        let bad = is_bad.then_some(behaviour.bad_reply);
        let (mut id, mut shard, mut snapshot) = (record.attempt, record.shard, record.snapshot);
        match bad {
            Some(BadReply::WrongAttempt) => id.0 ^= 1,
            Some(BadReply::WrongShard) => shard.0 += 1,
            Some(BadReply::WrongSnapshot) => snapshot.generation += 1,
            _ => {}
        }
        set(response, http::ATTEMPT, &id.to_string());
        set(response, http::SHARD, &shard.to_string());
        set(response, http::SNAPSHOT, &snapshot.to_string());
        set(response, "content-type", http::CONTENT_TYPE_PROTOBUF);
        let body = self.body(attempt, shard, snapshot);
        let body = match bad {
            Some(BadReply::TruncatedBody) => body[..body.len() / 2].to_vec(),
            Some(BadReply::Garbage) => vec![u8::MAX; body.len().max(8)],
            _ => body,
        };
        response.status_code(StatusCode::OK);
        // Writing a body that is in memory cannot fail.
        let _ = response.write_body(body);
    }

    fn body(&self, attempt: &Attempt, shard: ShardId, snapshot: SnapshotId) -> Vec<u8> {
        let is_once = methods::call_kind(&attempt.method) == CallKind::Once;
        let run = is_once.then(|| self.shared.state.runs.fetch_add(1, Ordering::Relaxed) + 1);
        let context = ReplyContext {
            shard,
            snapshot,
            question: attempt.question,
            items: self.shared.settings.items,
            run,
        };
        let reply = replies::synthesise(&attempt.method.output, &attempt.request, context);
        prost::Message::encode_to_vec(&reply)
    }
}

/// Waits for the time that bytes are on their way.
async fn pass(one_way: Duration) {
    if !one_way.is_zero() {
        tokio::time::sleep(one_way).await;
    }
}

fn write_refusal(end: ExecutionEnd, response: &mut Response) {
    let (status, word) = match end {
        ExecutionEnd::RefusedDraining => (StatusCode::SERVICE_UNAVAILABLE, http::REFUSED_DRAINING),
        ExecutionEnd::RefusedShed => (StatusCode::SERVICE_UNAVAILABLE, http::REFUSED_SHED),
        ExecutionEnd::RefusedDeadline => (StatusCode::SERVICE_UNAVAILABLE, http::REFUSED_DEADLINE),
        ExecutionEnd::RefusedSnapshot => (StatusCode::CONFLICT, http::REFUSED_SNAPSHOT),
        // The work had begun: this is no refusal, and the caller must not take it for one.
        _ => {
            response.status_code(StatusCode::GATEWAY_TIMEOUT);
            response.render("deadline passed while running");
            return;
        }
    };
    response.status_code(status);
    set(response, http::REFUSED, word);
    response.render(word);
}

fn set(response: &mut Response, name: &'static str, value: &str) {
    // Names and values come from this program and are valid; a missing header would show at once.
    let _ = response.add_header(name, value, true);
}

fn optional<T: std::str::FromStr>(request: &Request, name: &str) -> Option<T> {
    let text = request.headers().get(name)?.to_str().ok()?;
    text.parse().ok()
}

fn required<T: std::str::FromStr>(request: &Request, name: &str) -> Result<T, String> {
    optional(request, name).ok_or_else(|| format!("header {name} is missing or malformed"))
}

fn once_key(request: &Request) -> Option<LedgerKey> {
    Some(LedgerKey {
        caller: CallerId(optional(request, http::CALLER)?),
        request: RequestId(optional(request, http::REQUEST_ID)?),
        issued_at_ms: optional(request, http::ISSUED_AT_MS)?,
    })
}
