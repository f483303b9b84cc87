//! The way of one request: route, admission, servers, answer.

mod attempt_plan;
mod authorize;
mod first_routes;
mod gather;
mod headers;
mod hedge_timer;
mod in_flight;
mod lateness;
mod merge;
mod query_attempts;
mod refusal;
mod single;
mod sub_request;
mod token_wait;
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
use sablehaven_types::{Route, RouteTarget, ServiceName, Tenant, WeightedService};

use self::{
    authorize::{find_again, find_caller},
    first_routes::find_route_or_wait,
    lateness::AnswerBody,
    refusal::Refusal,
    token_wait::TokenWait,
    tokens::take_token,
};
use crate::{
    admission::{AdmissionClass, Admitted, NotAdmitted},
    caller::CallerStanding,
    crashes::{CrashWatch, fingerprint},
    gateway::Gateway,
    metrics::Outcome,
    pace::Pace,
    resends::CallerTry,
    route_table::PlannedRoute,
    servers::{KindOfRequest, OutgoingRequest},
    serving_regions::ServingRegions,
    throttle::ThrottleClass,
    urgency::Urgency,
};

/// Time before the caller's own deadline at which it is told that there is no answer.
const DEADLINE_MARGIN: Duration = Duration::from_millis(10);

/// A request of a caller that has a route; the version of the routes stays as it was when it came.
pub(crate) struct Accepted {
    pub(crate) gateway: Rc<Gateway>,
    pub(crate) planned: Rc<PlannedRoute>,
    /// Where its servers may be.
    regions: ServingRegions,
    pub(crate) outgoing: Rc<OutgoingRequest>,
    pub(crate) arrived: Instant,
    /// The part of its aim that had passed by then, as far as its caller shows it.
    pub(crate) spent: Duration,
}

/// Answers a request in five phases: find its route, find its tenant, read its body, admit it, and ask its servers.
/// The future is dropped when the caller leaves, and every attempt with it.
pub(crate) async fn answer(
    gateway: Rc<Gateway>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    match take(&gateway, request).await {
        Ok(response) => response,
        Err(refusal) => unnoted(refusal.response()),
    }
}

async fn take(
    gateway: &Rc<Gateway>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Refusal> {
    let arrived = Instant::now();
    let (head, body) = request.into_parts();
    // Only a gateway that has yet to start needs to know before the caller is known: what callers without a key send says
    // nothing of the others.
    let first_look = (!gateway.has_routes()).then(|| caller_try(gateway, &head));
    let known_try = first_look.map(|(caller_try, _)| caller_try);
    let planned = find_route_or_wait(gateway, &head, known_try).await?;
    let caller = find_caller(gateway, &planned, &head)?;
    let (caller_try, spent) = first_look.unwrap_or_else(|| caller_try(gateway, &head));
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
    let urgency = urgency(route, caller.tenant());
    let throttling = throttling(caller.tenant(), caller_try);
    let class = throttle_class(route, kind, urgency);
    let admitted = admit(gateway, route, class, throttling, caller_try);
    if let Err(reason) = &admitted {
        log::warn!(
            event = "refused", request:% = id_text(&request_id), reason:% = reason,
            open = gateway.admission.open(), route = route.name.as_str();
            "request"
        );
        accepted_metrics(gateway, &planned, Outcome::Refused, arrived);
        return Err(Refusal::TooMany);
    }
    if let Some(tenant) = caller.tenant() {
        let shed_share = shed_share(gateway, class, throttling);
        let wait = TokenWait::new(caller_try, caller_time(gateway, &head));
        let tokened = take_token(
            gateway,
            tenant,
            route,
            &request_id,
            shed_share,
            caller_try,
            wait,
        )
        .await;
        if tokened.is_err() {
            accepted_metrics(gateway, &planned, Outcome::Refused, arrived);
        }
        tokened?;
    }
    let caller = find_again(gateway, &planned, &head, caller)?;
    let regions = regions(&planned, caller.tenant());
    let mut headers = headers::passed_on(&head.headers, &gateway.names);
    caller.mark(&mut headers, &gateway.names);
    let deadline = arrived + time_left(gateway, &planned, &head);
    let outgoing = Rc::new(OutgoingRequest {
        caller,
        method: head.method,
        target: head.uri,
        headers,
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
        regions,
        outgoing,
        arrived,
        spent,
    };
    let answer = match &route.target {
        RouteTarget::Service(service) => answer_single(&accepted, service).await,
        RouteTarget::Split(parts) => answer_single(&accepted, draw(parts, rand::random())).await,
        RouteTarget::Gather(gather) => gather::answer(&accepted, gather).await,
    };
    let answer = answer.map_err(|refusal| accepted.explain(refusal));
    let outcome = answer
        .as_ref()
        .map_or(Outcome::Failed, |(_, outcome)| *outcome);
    note_answer(&accepted, outcome);
    accepted_metrics(gateway, &planned, outcome, arrived);
    answer.map(|(response, _)| response)
}

async fn answer_single(
    accepted: &Accepted,
    service: &ServiceName,
) -> Result<(Response<AnswerBody>, Outcome), Refusal> {
    let (response, outcome) = single::answer(accepted, service).await?;
    Ok((unnoted(response), outcome))
}

/// An answer whose leaving is not observed: it was not planned for a moment.
fn unnoted(response: Response<WholeBody>) -> Response<AnswerBody> {
    response.map(|body| AnswerBody::new(body, None))
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

/// Who decides which requests are refused while most of their kind come to nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Throttling {
    /// A request that was refused already passes.
    Nobody,
    /// Where nobody knows whose it is, this gateway by lot.
    Lot,
    /// The control replica that is asked for a token, by what the tenant has had.
    Replica,
}

fn throttling(tenant: Option<&Tenant>, caller_try: CallerTry) -> Throttling {
    match (caller_try, tenant) {
        (CallerTry::First, None) => Throttling::Lot,
        (CallerTry::First, Some(_)) => Throttling::Replica,
        _ => Throttling::Nobody,
    }
}

/// The share of such requests of tenants that is to be refused.
fn shed_share(gateway: &Gateway, class: ThrottleClass<'_>, throttling: Throttling) -> f64 {
    if throttling != Throttling::Replica {
        return 0.0;
    }
    let throttle = gateway.throttle.borrow();
    throttle.share(gateway.clock.now(), class)
}

/// A place for a request, unless there are too many or most of its kind come to nothing.
fn admit(
    gateway: &Gateway,
    route: &Route,
    class: ThrottleClass<'_>,
    throttling: Throttling,
    caller_try: CallerTry,
) -> Result<Admitted, NotAdmitted> {
    let now = gateway.clock.now();
    if throttling == Throttling::Lot {
        let throttle = gateway.throttle.borrow();
        if !throttle.may_pass(now, class, rand::random()) {
            return Err(NotAdmitted::Throttled);
        }
    }
    let class = AdmissionClass {
        urgency: class.urgency,
        kind: class.kind,
        due: now + Duration::from_millis(route.aim_ms),
        caller_try,
    };
    gateway.admission.admit(now, class)
}

/// Whether the caller asks for the first time, by the time that it says it has left, and what it spent before
/// if so. The aim of a second try has passed or nearly so; it is answered as if it were a first.
fn caller_try(gateway: &Gateway, head: &Parts) -> (CallerTry, Duration) {
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

/// Where a request may be served: where both its route and its tenant allow.
fn regions(planned: &PlannedRoute, tenant: Option<&Tenant>) -> ServingRegions {
    match tenant {
        Some(tenant) => planned.regions.within(&tenant.allowed_regions),
        None => planned.regions.clone(),
    }
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
        outgoing,
        arrived,
        ..
    } = accepted;
    let now = gateway.clock.now();
    if outgoing.crash_watch.has_crashed_servers(now) {
        return;
    }
    let route = planned.route();
    let aim = Duration::from_millis(route.aim_ms);
    let is_served = matches!(outcome, Outcome::Whole | Outcome::Partial);
    let is_useful = is_served && arrived.elapsed() <= aim;
    let urgency = urgency(route, outgoing.caller.tenant());
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
    fn allowed_regions(&self) -> &ServingRegions {
        &self.regions
    }

    fn caller_holds(&self) -> bool {
        self.gateway.standing(&self.outgoing.caller) == CallerStanding::Holds
    }

    /// The refusal as its caller is told it. Where no server has run the request because its key was taken away, that is
    /// the reason; where it is another tenant's by now, the caller may come again.
    fn explain(&self, refusal: Refusal) -> Refusal {
        let is_not_run = matches!(refusal, Refusal::NoServers | Refusal::NotRun);
        match self.gateway.standing(&self.outgoing.caller) {
            CallerStanding::KeyGone if is_not_run => Refusal::UnknownKey,
            CallerStanding::Changed if is_not_run => Refusal::NotRun,
            _ => refusal,
        }
    }

    /// How long before its aim its answer must leave.
    fn answer_margin(&self) -> Duration {
        let aim = Duration::from_millis(self.planned.route().aim_ms);
        let now = self.gateway.clock.now();
        let bounds = self.gateway.config.margin_bounds();
        let profile = &self.planned.profile;
        profile.answer_margin(now, bounds, aim, self.spent)
    }

    fn id(&self) -> String {
        id_text(&self.outgoing.request_id)
    }
}

#[cfg(test)]
mod tests;
