//! Requests that arrive before a starting gateway has routes and servers.
//!
//! A first try is refused at once with the time after which to retry. A resend is its caller's last try, so it waits
//! until the gateway has routes and servers, but for less than half of the time that the caller has left. After that
//! it is refused, so that the caller still gets a response.

use std::{rc::Rc, time::Duration};

use hyper::http::request::Parts;

use super::{
    head::{RESEND_WAIT_SHARE, caller_time, host},
    id_text,
    refusal::Refusal,
};
use crate::{gateway::Gateway, resends::CallerTry, route_table::PlannedRoute};

/// Finds the route of a request. A resend waits for the gateway's first routes and servers.
pub(super) async fn find_route_or_wait(
    gateway: &Gateway,
    head: &Parts,
    caller_try: Option<CallerTry>,
) -> Result<Rc<PlannedRoute>, Refusal> {
    let found = find_route(gateway, head);
    if !matches!(found, Err(Refusal::NoRoutes { .. })) || caller_try != Some(CallerTry::Resend) {
        return found;
    }
    let Some(time_left) = caller_time(gateway, head) else {
        return found;
    };
    let started = gateway.clock.now();
    wait_for_routes(gateway, time_left.mul_f64(RESEND_WAIT_SHARE)).await;
    let request_id = head.headers.get(&gateway.names.request_id);
    log::info!(
        event = "waited_for_routes",
        request:% = request_id.map(id_text).unwrap_or_default(),
        has_routes = gateway.has_routes(), left_ms = time_left.as_millis() as u64,
        after_ms = gateway.clock.now().saturating_sub(started).as_millis() as u64;
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
    let host = host(head).ok_or(Refusal::MissingHost)?;
    let found = table.find(host, head.uri.path());
    found.cloned().ok_or(Refusal::UnknownRoute)
}

async fn wait_for_routes(gateway: &Gateway, limit: Duration) {
    let mut status = gateway.status();
    let available = status.wait_for(|_| gateway.has_routes());
    // The result is ignored: the caller looks up the routes again in either case.
    let _ = gateway.planned_stop.within(limit, available).await;
}
