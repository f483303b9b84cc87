//! The HTTP interface of the baseline.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use sablehaven_schema::{DeploymentSchema, MethodSchema, decode_json, encode_json};
use sablehaven_types::{BackendRecord, Configuration, Envelope, Outcome, http};
use salvo::{
    Depot, FlowCtrl, Handler, Request, Response, Router, async_trait, http::StatusCode,
    writing::Json,
};
use serde::{Deserialize, Serialize};

use super::fan_out::FanOut;

/// Settings of a baseline agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BaselineSettings {
    /// IP number and port; port 0 takes one from the system.
    pub listen: SocketAddr,
    /// The services with their partition maps; fixed while it runs.
    pub configuration: Configuration,
    /// Where the back ends are.
    pub backends: Vec<BackendRecord>,
    /// Seeds the choice of replicas.
    #[serde(default)]
    pub seed: u64,
}

/// The baseline's state, shared by its connections.
pub struct BaselineAgent {
    schema: Arc<DeploymentSchema>,
    fan_out: FanOut,
}

impl BaselineAgent {
    /// An agent for the configuration in the settings.
    pub fn new(
        settings: &BaselineSettings,
        schema: Arc<DeploymentSchema>,
    ) -> Result<Self, reqwest::Error> {
        let fan_out = FanOut::new(settings)?;
        Ok(Self { schema, fan_out })
    }

    /// Routes `POST /<package>.<Service>/<Method>`.
    pub fn router(self) -> Router {
        Router::with_path("{service}/{method}").post(CallHandler(Arc::new(self)))
    }

    async fn answer(
        &self,
        method: &MethodSchema,
        body: &[u8],
        deadline: Duration,
    ) -> Envelope<serde_json::Value> {
        let request = match decode_json(&method.input, body) {
            Ok(request) => request,
            Err(error) => return refusal(error.to_string()),
        };
        let answered = self.fan_out.ask(method, &request, deadline).await;
        let answered = match answered {
            Ok(answered) => answered,
            Err(reason) => return unknown(reason),
        };
        Envelope {
            outcome: Outcome::Done,
            snapshot: Some(answered.snapshot),
            coverage: answered.coverage,
            body: encode_json(&answered.reply).ok(),
            ..refusal(String::new())
        }
    }
}

fn refusal(reason: String) -> Envelope<serde_json::Value> {
    Envelope {
        outcome: Outcome::NotRun,
        reason: (!reason.is_empty()).then_some(reason),
        snapshot: None,
        coverage: None,
        configuration: Default::default(),
        retry_after_ms: None,
        body: None,
    }
}

fn unknown(reason: String) -> Envelope<serde_json::Value> {
    Envelope {
        outcome: Outcome::Unknown,
        ..refusal(reason)
    }
}

struct CallHandler(Arc<BaselineAgent>);

#[async_trait]
impl Handler for CallHandler {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _control: &mut FlowCtrl,
    ) {
        let agent = &self.0;
        let Some(method) = agent.schema.method_at(request.uri().path()) else {
            response.status_code(StatusCode::NOT_FOUND);
            return;
        };
        let left = request.headers().get(http::DEADLINE_MS);
        let left = left.and_then(|value| value.to_str().ok()?.parse().ok());
        let deadline = Duration::from_millis(left.unwrap_or(method.deadline_ms));
        let Ok(body) = request.payload().await else {
            response.status_code(StatusCode::BAD_REQUEST);
            return;
        };
        let envelope = agent.answer(method, body, deadline).await;
        response.render(Json(envelope));
    }
}
