//! The way of one request: route, admission, servers, answer.

mod admit;
mod attempt_plan;
mod authorize;
mod first_routes;
mod gather;
mod head;
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
use hyper::{Request, Response, body::Incoming, header::HeaderValue, http::request::Parts};
use sablehaven_http::WholeBody;
use sablehaven_types::{RouteTarget, ServiceName, Tenant, WeightedService};

use self::{
    admit::{admit, note_answer, refuse_quarantined},
    authorize::{find_again, find_caller},
    first_routes::find_route_or_wait,
    head::{caller_try, host, time_left},
    lateness::AnswerBody,
    refusal::Refusal,
};
use crate::{
    caller::{Caller, CallerValidity},
    crashes::{CrashWatch, fingerprint},
    gateway::Gateway,
    metrics::Outcome,
    pace::Pace,
    resends::CallerTry,
    route_table::PlannedRoute,
    servers::OutgoingRequest,
    serving_regions::ServingRegions,
};

/// A request that was read whole, before it is admitted.
struct ReceivedRequest {
    arrived: Instant,
    head: Parts,
    body: Bytes,
    request_id: HeaderValue,
    planned: Rc<PlannedRoute>,
    /// Its caller when the request came.
    caller: Caller,
    caller_try: CallerTry,
    /// See [`Accepted::spent`].
    spent: Duration,
    crash_watch: Rc<CrashWatch>,
}

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
        Err(refusal) => unobserved(refusal.response()),
    }
}

/// The answer to a request, or why it has none.
async fn take(
    gateway: &Rc<Gateway>,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Refusal> {
    let received = receive(gateway, request).await?;
    refuse_quarantined(gateway, &received)?;
    // Its place is free again once the request is answered or its caller has left.
    let _admitted = admit(gateway, &received).await?;
    let accepted = accept(gateway, received)?;
    let answer = ask_servers(&accepted).await;
    let answer = answer.map_err(|refusal| accepted.explain(refusal));
    let outcome = answer
        .as_ref()
        .map_or(Outcome::Failed, |(_, outcome)| *outcome);
    note_answer(&accepted, outcome);
    record_outcome(gateway, &accepted.planned, outcome, accepted.arrived);
    answer.map(|(response, _)| response)
}

/// Finds a request's route and its caller, and reads its body.
async fn receive(
    gateway: &Gateway,
    request: Request<Incoming>,
) -> Result<ReceivedRequest, Refusal> {
    let arrived = Instant::now();
    let (head, body) = request.into_parts();
    // Only a gateway that is still starting looks at the try before the caller is known: what callers without a key send
    // says nothing of the others.
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
    Ok(ReceivedRequest {
        arrived,
        head,
        body,
        request_id,
        planned,
        caller,
        caller_try,
        spent,
        crash_watch,
    })
}

/// Makes a request ready to be sent to servers, for its caller as it stands now.
fn accept(gateway: &Rc<Gateway>, received: ReceivedRequest) -> Result<Accepted, Refusal> {
    let ReceivedRequest { head, planned, .. } = received;
    let caller = find_again(gateway, &planned, &head, received.caller)?;
    let regions = regions(&planned, caller.tenant());
    let mut headers = headers::passed_on(&head.headers, &gateway.names);
    caller.mark(&mut headers, &gateway.names);
    let deadline = received.arrived + time_left(gateway, &planned, &head);
    let outgoing = Rc::new(OutgoingRequest {
        caller,
        method: head.method,
        target: head.uri,
        headers,
        request_id: received.request_id,
        body: received.body,
        deadline,
        profile: Rc::clone(&planned.profile),
        pace: Pace::new(parts(&planned.route().target)),
        crash_watch: received.crash_watch,
    });
    Ok(Accepted {
        gateway: Rc::clone(gateway),
        planned,
        regions,
        outgoing,
        arrived: received.arrived,
        spent: received.spent,
    })
}

/// Has the servers of the request's route answer it.
async fn ask_servers(accepted: &Accepted) -> Result<(Response<AnswerBody>, Outcome), Refusal> {
    match &accepted.planned.route().target {
        RouteTarget::Service(service) => answer_single(accepted, service).await,
        RouteTarget::Split(parts) => answer_single(accepted, draw(parts, rand::random())).await,
        RouteTarget::Gather(gather) => gather::answer(accepted, gather).await,
    }
}

async fn answer_single(
    accepted: &Accepted,
    service: &ServiceName,
) -> Result<(Response<AnswerBody>, Outcome), Refusal> {
    let (response, outcome) = single::answer(accepted, service).await?;
    Ok((unobserved(response), outcome))
}

/// An answer whose sending is not observed: it was not due at a planned moment.
fn unobserved(response: Response<WholeBody>) -> Response<AnswerBody> {
    response.map(|body| AnswerBody::new(body, None))
}

/// Where a request may be served: where both its route and its tenant allow.
fn regions(planned: &PlannedRoute, tenant: Option<&Tenant>) -> ServingRegions {
    match tenant {
        Some(tenant) => planned.regions.within(&tenant.allowed_regions),
        None => planned.regions.clone(),
    }
}

/// Counts a request that has ended, and the time that it took.
fn record_outcome(gateway: &Gateway, planned: &PlannedRoute, outcome: Outcome, arrived: Instant) {
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

async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, Refusal> {
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => Err(Refusal::BodyTooLarge),
        Err(_) => Err(Refusal::BodyCutOff),
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
        self.gateway.standing(&self.outgoing.caller) == CallerValidity::Valid
    }

    /// The refusal as its caller is told it. Where no server has run the request because its key was taken away, that is
    /// the reason; where it is another tenant's by now, the caller may come again.
    fn explain(&self, refusal: Refusal) -> Refusal {
        let is_not_run = matches!(refusal, Refusal::NoServers | Refusal::NotRun);
        match self.gateway.standing(&self.outgoing.caller) {
            CallerValidity::KeyRevoked if is_not_run => Refusal::UnknownKey,
            CallerValidity::Changed if is_not_run => Refusal::NotRun,
            _ => refusal,
        }
    }

    /// How long before its aim its answer must leave.
    fn answer_margin(&self) -> Duration {
        let aim = Duration::from_millis(self.planned.route().aim_ms);
        let now = self.gateway.clock.now();
        let bounds = self.gateway.config.margin_bounds();
        let margin = self.planned.profile.answer_margin();
        margin.margin(now, bounds, aim, self.spent)
    }

    fn id(&self) -> String {
        id_text(&self.outgoing.request_id)
    }
}

#[cfg(test)]
mod tests;
