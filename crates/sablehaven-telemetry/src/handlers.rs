//! HTTP handlers for metrics, health and the log ring.

use salvo::{Depot, FlowCtrl, Handler, Request, Response, Router, async_trait, http::StatusCode};

use crate::Telemetry;

enum Page {
    Metrics,
    Live,
    Ready,
    Log,
}

struct PageHandler {
    telemetry: Telemetry,
    page: Page,
}

#[async_trait]
impl Handler for PageHandler {
    async fn handle(
        &self,
        _request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _control: &mut FlowCtrl,
    ) {
        match self.page {
            Page::Metrics => response.render(self.telemetry.encode_metrics()),
            Page::Live => response.render("live\n"),
            Page::Ready => self.render_ready(response),
            Page::Log => response.render(self.telemetry.ring().contents()),
        }
    }
}

impl PageHandler {
    fn render_ready(&self, response: &mut Response) {
        if self.telemetry.is_ready() {
            response.render("ready\n");
            return;
        }
        response.status_code(StatusCode::SERVICE_UNAVAILABLE);
        response.render("not ready\n");
    }
}

pub(crate) fn router(telemetry: Telemetry) -> Router {
    let page = |path: &str, page: Page| {
        let telemetry = telemetry.clone();
        Router::with_path(path).get(PageHandler { telemetry, page })
    };
    Router::new()
        .push(page("metrics", Page::Metrics))
        .push(page("health/live", Page::Live))
        .push(page("health/ready", Page::Ready))
        .push(page("debug/log", Page::Log))
}
