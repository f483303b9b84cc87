//! Values in a request's head that describe its caller: the host that it asks for and how long it waits.

use std::time::Duration;

use hyper::{header::HOST, http::request::Parts};

use crate::{gateway::Gateway, resends::CallerTry, route_table::PlannedRoute};

/// How long before the caller's own deadline the gateway stops waiting and responds.
const DEADLINE_MARGIN: Duration = Duration::from_millis(10);
/// Fraction of the caller's remaining time for which a resend waits for routes, servers or quota tokens.
pub(super) const RESEND_WAIT_SHARE: f64 = 0.4;

/// Classifies a request as a first try or a resend by the time that its caller has left. For a first try it also
/// returns how much of the caller's time was spent before it arrived. For a resend that is zero: its latency target
/// has passed or almost passed, so it is timed like a first try.
pub(super) fn caller_try(gateway: &Gateway, head: &Parts) -> (CallerTry, Duration) {
    let Some(time_left) = caller_time(gateway, head) else {
        return (CallerTry::First, Duration::ZERO);
    };
    let path = head.uri.path();
    let parent_path = path
        .rsplit_once('/')
        .map_or("", |(parent_path, _)| parent_path);
    let resend_key = format!("{}{parent_path}", host(head).unwrap_or_default());
    let now = gateway.clock.now();
    let mut resends = gateway.resends.borrow_mut();
    match resends.observe(now, &resend_key, time_left) {
        CallerTry::First => (
            CallerTry::First,
            resends.elapsed_before_arrival(&resend_key, time_left),
        ),
        CallerTry::Resend => (CallerTry::Resend, Duration::ZERO),
    }
}

/// The time for which the caller still waits, if the request says so.
pub(super) fn caller_time(gateway: &Gateway, head: &Parts) -> Option<Duration> {
    let value = head.headers.get(&gateway.names.deadline_ms)?;
    let text = value.to_str().ok()?;
    text.trim().parse().ok().map(Duration::from_millis)
}

/// The requested host.
pub(super) fn host(head: &Parts) -> Option<&str> {
    let header = head.headers.get(HOST);
    let header_value = header.and_then(|host| host.to_str().ok());
    header_value.or_else(|| head.uri.host())
}

/// How long the gateway works on a request: the timeout of the route, or the caller's remaining time if it is
/// shorter.
pub(super) fn time_left(gateway: &Gateway, planned: &PlannedRoute, head: &Parts) -> Duration {
    let limit = Duration::from_millis(planned.route().timeout_ms);
    match caller_time(gateway, head) {
        Some(caller_limit) => limit.min(caller_limit.saturating_sub(DEADLINE_MARGIN)),
        None => limit,
    }
}
