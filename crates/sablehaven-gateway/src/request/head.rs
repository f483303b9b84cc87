//! What the head of a request says of its caller: where it sends, and how long it waits.

use std::time::Duration;

use hyper::{header::HOST, http::request::Parts};

use crate::{gateway::Gateway, resends::CallerTry, route_table::PlannedRoute};

/// Time before the caller's own deadline at which it is told that there is no answer.
const DEADLINE_MARGIN: Duration = Duration::from_millis(10);
/// Part of its caller's time for which a second try waits for what its gateway lacks.
pub(super) const RESEND_WAIT_SHARE: f64 = 0.4;

/// Whether the caller asks for the first time, by the time that it says it has left, and what it spent before
/// if so. The aim of a second try has passed or nearly so; it is answered as if it were a first.
pub(super) fn caller_try(gateway: &Gateway, head: &Parts) -> (CallerTry, Duration) {
    let Some(left) = caller_time(gateway, head) else {
        return (CallerTry::First, Duration::ZERO);
    };
    let path = head.uri.path();
    let folder = path.rsplit_once('/').map_or("", |(folder, _)| folder);
    let place = format!("{}{folder}", host(head).unwrap_or_default());
    let now = gateway.clock.now();
    let mut resends = gateway.resends.borrow_mut();
    match resends.observe(now, &place, left) {
        CallerTry::First => (CallerTry::First, resends.spent(&place, left)),
        CallerTry::Resend => (CallerTry::Resend, Duration::ZERO),
    }
}

/// The time for which the caller waits, where it says so.
pub(super) fn caller_time(gateway: &Gateway, head: &Parts) -> Option<Duration> {
    let value = head.headers.get(&gateway.names.deadline_ms)?;
    let text = value.to_str().ok()?;
    text.trim().parse().ok().map(Duration::from_millis)
}

/// The host that the caller names.
pub(super) fn host(head: &Parts) -> Option<&str> {
    let header = head.headers.get(HOST);
    let named = header.and_then(|host| host.to_str().ok());
    named.or_else(|| head.uri.host())
}

/// The time for which a request is held: the route's, or the caller's own where it is shorter.
pub(super) fn time_left(gateway: &Gateway, planned: &PlannedRoute, head: &Parts) -> Duration {
    let held = Duration::from_millis(planned.route().timeout_ms);
    match caller_time(gateway, head) {
        Some(caller) => held.min(caller.saturating_sub(DEADLINE_MARGIN)),
        None => held,
    }
}
