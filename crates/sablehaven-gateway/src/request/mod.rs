//! The way of one request: route, admission, servers, answer.

mod attempt_plan;
mod authorize;
mod first_routes;
mod gather;
mod headers;
mod hedge_timer;
mod in_flight;
mod merge;
mod query_attempts;
mod refusal;
mod single;
mod sub_request;
mod tokens;
mod wait;

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{
    Request, Response,
    body::Incoming,
    header::{HOST, HeaderValue},
    http::request::Parts,
};
use sablehaven_http::WholeBody;
use sablehaven_routing::crash_table::Standing;
use sablehaven_types::{AllowedRegions, Route, RouteTarget, ServiceName, Tenant, WeightedService};

use self::{
    authorize::find_tenant, first_routes::find_route_or_wait, refusal::Refusal, tokens::take_token,
};
use crate::{
    admission::{AdmissionClass, Admitted, NotAdmitted},
    crashes::{CrashWatch, fingerprint},
    gateway::Gateway,
    metrics::Outcome,
    pace::Pace,
    resends::CallerTry,
    route_table::PlannedRoute,
    servers::{KindOfRequest, OutgoingRequest},
    throttle::ThrottleClass,
    urgency::Urgency,
};

/// Time before the caller's own deadline at which it is told that there is no answer.
const DEADLINE_MARGIN: Duration = Duration::from_millis(10);

/// A request of a caller that has a route; the version of the routes stays as it was when it came.
pub(crate) struct Accepted {
    pub(crate) gateway: Rc<Gateway>,
    pub(crate) planned: Rc<PlannedRoute>,
    /// Whose request it is; `None` where nobody needs a key.
    pub(crate) tenant: Option<Rc<Tenant>>,
    pub(crate) outgoing: Rc<OutgoingRequest>,
    pub(crate) arrived: Instant,
}

/// Answers a request in four phases: find its route, read its body, admit it, and ask its servers.
/// The future is dropped when the caller leaves, and every attempt with it.
pub(crate) async fn answer(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
) -> Response<WholeBody> {
    match take(&gateway, request).await {
        Ok(response) => response,
        Err(refusal) => refusal.response(),
    }
}

async fn take(
    gateway: &Rc<Gateway>,
    request: Request<Incoming>,
) -> Result<Response<WholeBody>, Refusal> {
    let arrived = Instant::now();
    let (head, body) = request.into_parts();
    let caller_try = caller_try(gateway, &head);
    let planned = find_route_or_wait(gateway, &head, caller_try).await?;
    let tenant = find_tenant(gateway, &planned, &head)?;
    let request_id = head.headers.get(&gateway.names.request_id).cloned();
    let request_id = request_id.ok_or(Refusal::NoRequestId)?;
    let body = read_body(body, gateway.limits().max_body_bytes).await?;
    let crash_watch = CrashWatch::new(
        fingerprint(&head, host(&head).unwrap_or_default(), &body),
        Rc::clone(&gateway.crashes),
    );
    refuse_quarantined(gateway, &crash_watch, &request_id)?;
    let route = planned.route();
    let kind = planned.profile.kind();
    let urgency = urgency(route, tenant.as_deref());
    let admitted = admit(gateway, route, kind, urgency, caller_try);
    if let Err(reason) = &admitted {
        log::warn!(
            event = "refused", request:% = id_text(&request_id), reason:% = reason,
            open = gateway.admission.open(), route = route.name.as_str();
            "request"
        );
        accepted_metrics(gateway, &planned, Outcome::Refused, arrived);
        return Err(Refusal::TooMany);
    }
    if let Some(tenant) = &tenant {
        take_token(gateway, tenant, 0.0).await?;
    }
    let deadline = arrived + time_left(gateway, &planned, &head);
    let outgoing = Rc::new(OutgoingRequest {
        method: head.method,
        target: head.uri,
        headers: headers::passed_on(&head.headers, &gateway.names),
        request_id,
        body,
        deadline,
        profile: Rc::clone(&planned.profile),
        pace: Pace::new(parts(&route.target)),
        crash_watch,
    });
    let accepted = Accepted {
        gateway: Rc::clone(gateway),
        planned: Rc::clone(&planned),
        tenant,
        outgoing,
        arrived,
    };
    let answer = match &route.target {
        RouteTarget::Service(service) => single::answer(&accepted, service).await,
        RouteTarget::Split(parts) => single::answer(&accepted, draw(parts, rand::random())).await,
        RouteTarget::Gather(gather) => gather::answer(&accepted, gather).await,
    };
    let outcome = answer
        .as_ref()
        .map_or(Outcome::Failed, |(_, outcome)| *outcome);
    note_answer(&accepted, outcome);
    accepted_metrics(gateway, &planned, outcome, arrived);
    answer.map(|(response, _)| response)
}

/// Refuses a request that is known to crash servers, before it takes anybody's place.
fn refuse_quarantined(
    gateway: &Gateway,
    watch: &CrashWatch,
    request_id: &HeaderValue,
) -> Result<(), Refusal> {
    let Standing::Quarantined { left } = watch.standing(gateway.clock.now()) else {
        return Ok(());
    };
    gateway.metrics.quarantined_requests.inc();
    log::warn!(
        event = "refused", request:% = id_text(request_id), reason = "it has crashed servers",
        target = watch.fingerprint_text().as_str(), left_ms = left.as_millis() as u64;
        "request"
    );
    Err(Refusal::Quarantined { left })
}

/// A place for a request, unless there are too many or most of its kind come to nothing.
fn admit(
    gateway: &Gateway,
    route: &Route,
    kind: KindOfRequest,
    urgency: Urgency,
    caller_try: CallerTry,
) -> Result<Admitted, NotAdmitted> {
    let now = gateway.clock.now();
    if caller_try == CallerTry::First {
        let class = throttle_class(route, kind, urgency);
        let throttle = gateway.throttle.borrow();
        if !throttle.may_pass(now, class, rand::random()) {
            return Err(NotAdmitted::Throttled);
        }
    }
    let class = AdmissionClass {
        urgency,
        kind,
        due: now + Duration::from_millis(route.aim_ms),
        caller_try,
    };
    gateway.admission.admit(now, class)
}

/// Whether the caller asks for the first time, by the time that it says it has left.
fn caller_try(gateway: &Gateway, head: &Parts) -> CallerTry {
    let Some(left) = caller_time(gateway, head) else {
        return CallerTry::First;
    };
    let path = head.uri.path();
    let folder = path.rsplit_once('/').map_or("", |(folder, _)| folder);
    let place = format!("{}{folder}", host(head).unwrap_or_default());
    let now = gateway.clock.now();
    gateway.resends.borrow_mut().observe(now, &place, left)
}

/// The time for which the caller waits, where it says so.
fn caller_time(gateway: &Gateway, head: &Parts) -> Option<Duration> {
    let value = head.headers.get(&gateway.names.deadline_ms)?;
    let text = value.to_str().ok()?;
    text.trim().parse().ok().map(Duration::from_millis)
}

fn host(head: &Parts) -> Option<&str> {
    let header = head.headers.get(HOST);
    let named = header.and_then(|host| host.to_str().ok());
    named.or_else(|| head.uri.host())
}

fn urgency(route: &Route, tenant: Option<&Tenant>) -> Urgency {
    Urgency::new(tenant.map(|tenant| tenant.priority), route.priority)
}

fn throttle_class(route: &Route, kind: KindOfRequest, urgency: Urgency) -> ThrottleClass<'_> {
    ThrottleClass {
        kind,
        urgency,
        service: route.first_service(),
    }
}

/// Tells the throttle of an answer, and whether it came in time. One whose request is known to crash servers says
/// nothing of how pressed they are, and must not have the others of its kind refused.
fn note_answer(accepted: &Accepted, outcome: Outcome) {
    let Accepted {
        gateway,
        planned,
        tenant,
        outgoing,
        arrived,
    } = accepted;
    let now = gateway.clock.now();
    if outgoing.crash_watch.has_crashed_servers(now) {
        return;
    }
    let route = planned.route();
    let aim = Duration::from_millis(route.aim_ms);
    let is_served = matches!(outcome, Outcome::Whole | Outcome::Partial);
    let is_useful = is_served && arrived.elapsed() <= aim;
    let urgency = urgency(route, tenant.as_deref());
    let class = throttle_class(route, planned.profile.kind(), urgency);
    let mut throttle = gateway.throttle.borrow_mut();
    throttle.answered(now, class, is_useful);
}

fn accepted_metrics(gateway: &Gateway, planned: &PlannedRoute, outcome: Outcome, arrived: Instant) {
    let is_gather = matches!(planned.route().target, RouteTarget::Gather(_));
    let seconds = arrived.elapsed().as_secs_f64();
    gateway.metrics.request_ended(is_gather, outcome, seconds);
}

/// The number of parts whose servers do the same work.
fn parts(target: &RouteTarget) -> usize {
    match target {
        RouteTarget::Gather(gather) => gather.shards.len(),
        RouteTarget::Service(_) | RouteTarget::Split(_) => 1,
    }
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

async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, Refusal> {
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(Refusal::BodyTooLarge),
        Err(_) => Err(Refusal::BodyCutOff),
    }
}

/// The time for which a request is held: the route's, or the caller's own where it is shorter.
fn time_left(gateway: &Gateway, planned: &PlannedRoute, head: &Parts) -> Duration {
    let held = Duration::from_millis(planned.route().timeout_ms);
    match caller_time(gateway, head) {
        Some(caller) => held.min(caller.saturating_sub(DEADLINE_MARGIN)),
        None => held,
    }
}

/// The part of a split that a draw (0 to 1) falls on.
fn draw(parts: &[WeightedService], draw: f64) -> &ServiceName {
    let sum: f64 = parts.iter().map(|part| part.weight).sum();
    let mut left = draw * sum;
    for part in parts {
        left -= part.weight;
        if left < 0.0 {
            return &part.service;
        }
    }
    // Rounding only: valid routes have weights that sum to more than 0.
    &parts[parts.len() - 1].service
}

fn id_text(id: &HeaderValue) -> String {
    String::from_utf8_lossy(id.as_bytes()).into_owned()
}

impl Drop for Accepted {
    /// Tells the other gateways what became of the request's servers, also when its caller has left.
    fn drop(&mut self) {
        let fingerprint = self.outgoing.crash_watch.fingerprint();
        self.gateway.report_crashes(fingerprint);
    }
}

impl Accepted {
    /// The regions in which its servers may be.
    fn allowed_regions(&self) -> &AllowedRegions {
        &self.planned.route().allowed_regions
    }

    fn id(&self) -> String {
        id_text(&self.outgoing.request_id)
    }
}

#[cfg(test)]
mod tests;
