//! HTTP handlers for metrics, health checks and the log ring.

use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, async_trait, http::StatusCode};

use crate::Telemetry;

/// The endpoints that every role serves.
enum Endpoint {
    Metrics,
    /// The liveness check.
    Live,
    /// The readiness check.
    Ready,
    /// The contents of the log ring.
    Log,
}

struct EndpointHandler {
    telemetry: Telemetry,
    endpoint: Endpoint,
}

#[async_trait]
impl Handler for EndpointHandler {
    async fn handle(
        &self,
        _request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _control: &mut FlowCtrl,
    ) {
        match self.endpoint {
            Endpoint::Metrics => response.render(self.telemetry.encode_metrics()),
            Endpoint::Live => response.render("live\n"),
            Endpoint::Ready => self.render_readiness(response),
            Endpoint::Log => response.render(self.telemetry.ring().contents()),
        }
    }
}

impl EndpointHandler {
    fn render_readiness(&self, response: &mut Response) {
        if self.telemetry.is_ready() {
            response.render("ready\n");
            return;
        }
        response.status_code(StatusCode::SERVICE_UNAVAILABLE);
        response.render("not ready\n");
    }
}

pub(crate) fn router(telemetry: Telemetry) -> Router {
    let route = |path: &str, endpoint: Endpoint| {
        let telemetry = telemetry.clone();
        Router::with_path(path).get(EndpointHandler {
            telemetry,
            endpoint,
        })
    };
    Router::new()
        .push(route("metrics", Endpoint::Metrics))
        .push(route("health/live", Endpoint::Live))
        .push(route("health/ready", Endpoint::Ready))
        .push(route("debug/log", Endpoint::Log))
}
