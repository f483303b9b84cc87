//! HTTP handlers of the operator interface: they parse a request, run its call and render the reply or the error.

use std::{sync::Arc, time::Duration};

use sablehaven_http::CollectError;
use sablehaven_web::{ReadError, read_body};
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, Router, async_trait,
    http::{StatusCode, header},
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

/// The maximum size of a request body.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// The maximum time that a `wait` call may take; a longer timeout in the request is reduced to it.
const MAX_WAIT: Duration = Duration::from_secs(600);

/// The delay after which a caller should retry if no leader answered.
const RETRY_AFTER_MS: u64 = 250;

/// Why a call failed. The display text is the `error` field of the response body.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub(crate) enum CallError {
    /// this replica does not lead
    NotLeader,
    /// {reason}
    Unavailable {
        /// The step that failed, and the cause.
        reason: String,
    },
    /// {reason}
    Refused {
        /// The step that was refused, and the cause.
        reason: String,
    },
    /// read request: {reason}
    BadRequest {
        /// What is wrong with the request.
        reason: String,
    },
}

/// A call of the operator interface.
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

/// The HTTP routes of the operator interface.
pub(crate) fn router(context: &Arc<Context>) -> Router {
    let handler = |call| CallHandler {
        context: Arc::clone(context),
        call,
    };
    let route = |path: &'static str| Router::with_path(path.trim_start_matches('/'));
    Router::new()
        .push(route(paths::APPLY).post(handler(Call::Apply)))
        .push(route(paths::CONFIGURATION).get(handler(Call::Configuration)))
        .push(route(paths::HISTORY).get(handler(Call::History)))
        .push(route(paths::WAIT).get(handler(Call::Wait)))
        .push(route(paths::BACKENDS).get(handler(Call::Backends)))
        .push(route(paths::STATUS).get(handler(Call::Status)))
        .push(route(paths::QUOTAS).get(handler(Call::Quotas)))
        .push(route(paths::ADD).post(handler(Call::Add)))
        .push(route(paths::REMOVE).post(handler(Call::Remove)))
        .push(route(paths::REPLACE).post(handler(Call::Replace)))
        .push(route(paths::TRANSFER).post(handler(Call::Transfer)))
        .push(route(paths::LOOK_UP).post(handler(Call::LookUp)))
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
    /// Runs the call and renders its reply.
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

    /// Waits until the version in the query is in force, or until the timeout.
    async fn wait(&self, request: &mut Request, response: &mut Response) -> Result<(), CallError> {
        let version: u64 = query(request, "version")?;
        let timeout_ms: u64 = query(request, "timeout_ms")?;
        let timeout = Duration::from_millis(timeout_ms).min(MAX_WAIT);
        let reply = wait_until_in_force(&self.context, version, timeout).await;
        render(response, reply.ok_or(CallError::NotLeader)?);
        Ok(())
    }

    /// Renders an error as a status code and an [`OperatorError`] body.
    fn render_error(&self, error: &CallError, response: &mut Response) {
        let mut body = OperatorError {
            error: error.to_string(),
            ..OperatorError::default()
        };
        let status = match error {
            CallError::NotLeader => self.not_leader(&mut body),
            CallError::Unavailable { .. } => retry_later(&mut body),
            CallError::Refused { .. } => StatusCode::CONFLICT,
            CallError::BadRequest { .. } => StatusCode::BAD_REQUEST,
        };
        if let Some(retry_after_ms) = body.retry_after_ms {
            let seconds = retry_after_ms.div_ceil(1_000).to_string();
            // Cannot fail: a decimal number is a valid header value.
            let _ = response.add_header(header::RETRY_AFTER, seconds, true);
        }
        response.status_code(status);
        response.render(Json(body));
    }

    /// Directs the caller to the leader (421), or tells it to retry later (503) if no leader is known.
    fn not_leader(&self, body: &mut OperatorError) -> StatusCode {
        body.leader = self.context.leader_http_address();
        if body.leader.is_some() {
            StatusCode::MISDIRECTED_REQUEST
        } else {
            retry_later(body)
        }
    }
}

/// Tells the caller to retry later.
fn retry_later(body: &mut OperatorError) -> StatusCode {
    body.retry_after_ms = Some(RETRY_AFTER_MS);
    StatusCode::SERVICE_UNAVAILABLE
}

/// Renders a body as JSON.
fn render(response: &mut Response, body: impl Serialize + Send) {
    response.render(Json(body));
}

/// Reads the request body as JSON.
async fn body<Body: DeserializeOwned>(request: &mut Request) -> Result<Body, CallError> {
    let payload = match read_body(request, MAX_BODY_BYTES).await {
        Ok(payload) => payload,
        Err(ReadError::Body(CollectError::NoMemoryLeft(error))) => {
            return Err(CallError::Unavailable {
                reason: format!("read request: {error}"),
            });
        }
        Err(error) => return Err(bad_request(&error)),
    };
    serde_json::from_slice(payload.bytes()).map_err(|error| bad_request(&error))
}

/// Reads the query parameter `unconfirmed`. If it is `true`, the reply is the state that this replica has applied,
/// whether or not it leads.
fn confirmation(request: &Request) -> Confirmation {
    match request.query::<bool>("unconfirmed") {
        Some(true) => Confirmation::Waived,
        _ => Confirmation::Required,
    }
}

/// Reads a required numeric query parameter.
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
