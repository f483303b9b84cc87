//! HTTP around the calls.

use std::{sync::Arc, time::Duration};

use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, Router, async_trait,
    http::{ParseError, StatusCode, header},
    writing::Json,
};
use serde::{Serialize, de::DeserializeOwned};

use super::{
    changes,
    reads::{self, Confirmation},
    types::{OperatorError, paths},
    wait::wait_until_in_force,
};
use crate::server::Context;

/// The largest request body, in bytes.
const MAXIMUM_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Longest time that `wait` may take.
const MAXIMUM_WAIT: Duration = Duration::from_secs(600);

/// When to come back when no leader answered, in milliseconds.
const RETRY_AFTER_MS: u64 = 250;

/// Why a call has no answer.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub(crate) enum CallError {
    /// this replica does not lead
    NotLeader,
    /// {reason}
    Unavailable {
        /// The step and why.
        reason: String,
    },
    /// {reason}
    Refused {
        /// The step and why.
        reason: String,
    },
    /// read request: {reason}
    BadRequest {
        /// What is wrong with it.
        reason: String,
    },
}

/// The calls.
#[derive(Clone, Copy, Debug)]
enum Call {
    Apply,
    Configuration,
    History,
    Wait,
    Backends,
    Status,
    Quotas,
    Add,
    Remove,
    Replace,
    Transfer,
    LookUp,
}

struct CallHandler {
    context: Arc<Context>,
    call: Call,
}

/// Routes of the operators' interface.
pub(crate) fn router(context: &Arc<Context>) -> Router {
    let handler = |call| CallHandler {
        context: Arc::clone(context),
        call,
    };
    let at = |path: &'static str| Router::with_path(path.trim_start_matches('/'));
    Router::new()
        .push(at(paths::APPLY).post(handler(Call::Apply)))
        .push(at(paths::CONFIGURATION).get(handler(Call::Configuration)))
        .push(at(paths::HISTORY).get(handler(Call::History)))
        .push(at(paths::WAIT).get(handler(Call::Wait)))
        .push(at(paths::BACKENDS).get(handler(Call::Backends)))
        .push(at(paths::STATUS).get(handler(Call::Status)))
        .push(at(paths::QUOTAS).get(handler(Call::Quotas)))
        .push(at(paths::ADD).post(handler(Call::Add)))
        .push(at(paths::REMOVE).post(handler(Call::Remove)))
        .push(at(paths::REPLACE).post(handler(Call::Replace)))
        .push(at(paths::TRANSFER).post(handler(Call::Transfer)))
        .push(at(paths::LOOK_UP).post(handler(Call::LookUp)))
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
        if let Err(error) = self.answer(request, response).await {
            self.render_error(&error, response);
        }
    }
}

impl CallHandler {
    async fn answer(
        &self,
        request: &mut Request,
        response: &mut Response,
    ) -> Result<(), CallError> {
        let context = &*self.context;
        match self.call {
            Call::Apply => render(
                response,
                changes::apply(context, body(request).await?).await?,
            ),
            Call::Configuration => {
                let confirmation = confirmation(request);
                render(response, reads::configuration(context, confirmation).await?);
            }
            Call::History => {
                let confirmation = confirmation(request);
                render(response, reads::history(context, confirmation).await?);
            }
            Call::Wait => self.wait(request, response).await?,
            Call::Backends => {
                let confirmation = confirmation(request);
                render(response, reads::backends(context, confirmation).await?);
            }
            Call::Status => render(response, reads::status(context).await?),
            Call::Quotas => render(response, reads::quotas(context)),
            Call::Add => render(response, changes::add(context, body(request).await?).await?),
            Call::Remove => {
                render(
                    response,
                    changes::remove(context, body(request).await?).await?,
                );
            }
            Call::Replace => {
                render(
                    response,
                    changes::replace(context, body(request).await?).await?,
                );
            }
            Call::Transfer => {
                render(
                    response,
                    changes::transfer(context, body(request).await?).await?,
                );
            }
            Call::LookUp => {
                render(
                    response,
                    changes::look_up(context, body(request).await?).await?,
                );
            }
        }
        Ok(())
    }

    async fn wait(&self, request: &mut Request, response: &mut Response) -> Result<(), CallError> {
        let version: u64 = query(request, "version")?;
        let timeout_ms: u64 = query(request, "timeout_ms")?;
        let limit = Duration::from_millis(timeout_ms).min(MAXIMUM_WAIT);
        let reply = wait_until_in_force(&self.context, version, limit).await;
        render(response, reply.ok_or(CallError::NotLeader)?);
        Ok(())
    }

    fn render_error(&self, error: &CallError, response: &mut Response) {
        let mut body = OperatorError {
            error: error.to_string(),
            ..OperatorError::default()
        };
        let status = match error {
            CallError::NotLeader => self.not_leader(&mut body),
            CallError::Unavailable { .. } => come_back(&mut body),
            CallError::Refused { .. } => StatusCode::CONFLICT,
            CallError::BadRequest { .. } => StatusCode::BAD_REQUEST,
        };
        if let Some(retry_after_ms) = body.retry_after_ms {
            let seconds = retry_after_ms.div_ceil(1_000).to_string();
            // A number of seconds is a valid header value.
            let _ = response.add_header(header::RETRY_AFTER, seconds, true);
        }
        response.status_code(status);
        response.render(Json(body));
    }

    /// Without a known leader there is nowhere to go: the caller comes back.
    fn not_leader(&self, body: &mut OperatorError) -> StatusCode {
        body.leader = self.context.leader_http_address();
        if body.leader.is_some() {
            StatusCode::MISDIRECTED_REQUEST
        } else {
            come_back(body)
        }
    }
}

fn come_back(body: &mut OperatorError) -> StatusCode {
    body.retry_after_ms = Some(RETRY_AFTER_MS);
    StatusCode::SERVICE_UNAVAILABLE
}

fn render(response: &mut Response, body: impl Serialize + Send) {
    response.render(Json(body));
}

async fn body<Body: DeserializeOwned>(request: &mut Request) -> Result<Body, CallError> {
    let payload = request.payload_with_max_size(MAXIMUM_BODY_BYTES).await;
    let payload = payload.map_err(|error: ParseError| bad_request(&error))?;
    serde_json::from_slice(payload).map_err(|error| bad_request(&error))
}

/// `unconfirmed=true` asks for what this replica has applied, whoever leads.
fn confirmation(request: &Request) -> Confirmation {
    match request.query::<bool>("unconfirmed") {
        Some(true) => Confirmation::Waived,
        _ => Confirmation::Required,
    }
}

fn query<Value: std::str::FromStr>(request: &Request, name: &str) -> Result<Value, CallError> {
    let text: Option<String> = request.query(name);
    let value = text.and_then(|text| text.parse().ok());
    value.ok_or_else(|| CallError::BadRequest {
        reason: format!("query parameter '{name}' is missing or no number"),
    })
}

fn bad_request(error: &dyn std::error::Error) -> CallError {
    CallError::BadRequest {
        reason: error.to_string(),
    }
}
