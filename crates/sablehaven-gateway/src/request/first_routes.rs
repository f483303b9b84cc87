//! Requests that come before a starting gateway has routes and servers.
//!
//! A first try is told at once when to come back. A second try is its caller's last one, so it waits until the gateway
//! has what it needs, but for less than half of the time that its caller has: then it is given up and told so.

use std::{rc::Rc, time::Duration};

use hyper::http::request::Parts;
use tokio::time::timeout;

use super::{
    head::{RESEND_WAIT_SHARE, caller_time, host},
    id_text,
    refusal::Refusal,
};
use crate::{gateway::Gateway, resends::CallerTry, route_table::PlannedRoute};

/// The route of a request; a second try waits for the gateway's first routes and servers.
pub(super) async fn find_route_or_wait(
    gateway: &Gateway,
    head: &Parts,
    caller_try: Option<CallerTry>,
) -> Result<Rc<PlannedRoute>, Refusal> {
    let found = find_route(gateway, head);
    if !matches!(found, Err(Refusal::NoRoutes { .. })) || caller_try != Some(CallerTry::Resend) {
        return found;
    }
    let Some(left) = caller_time(gateway, head) else {
        return found;
    };
    let began = gateway.clock.now();
    wait_for_routes(gateway, left.mul_f64(RESEND_WAIT_SHARE)).await;
    let request_id = head.headers.get(&gateway.names.request_id);
    log::info!(
        event = "waited_for_routes",
        request:% = request_id.map(id_text).unwrap_or_default(),
        has_routes = gateway.has_routes(), left_ms = left.as_millis() as u64,
        after_ms = gateway.clock.now().saturating_sub(began).as_millis() as u64;
        "request"
    );
    find_route(gateway, head)
}

fn find_route(gateway: &Gateway, head: &Parts) -> Result<Rc<PlannedRoute>, Refusal> {
    let table = gateway.routes().filter(|_| gateway.has_routes());
    let Some(table) = table else {
        let age = gateway.clock.now();
        return Err(Refusal::NoRoutes { age });
    };
    let host = host(head).ok_or(Refusal::NoHost)?;
    let found = table.find(host, head.uri.path());
    found.cloned().ok_or(Refusal::UnknownRoute)
}

async fn wait_for_routes(gateway: &Gateway, limit: Duration) {
    let mut status = gateway.status();
    let known = status.wait_for(|_| gateway.has_routes());
    // What is there when the time is over is looked at by whoever asked.
    let _ = timeout(limit, known).await;
}
