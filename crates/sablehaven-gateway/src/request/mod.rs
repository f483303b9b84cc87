//! Handles one request: finds its route and caller, admits it, asks servers, and responds.

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

use hyper::{Request, Response, body::Incoming, header::HeaderValue, http::request::Parts};
use sablehaven_http::{ClientConnection, CollectError, HeldBody, WholeBody, collect_request};
use sablehaven_types::{RouteTarget, ServiceName, Tenant, WeightedService};
use tokio::time::timeout_at;

use self::{
    admit::{admit, record_response, refuse_quarantined},
    authorize::{find_caller, revalidate_caller},
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
    pace::ServiceTimeEstimate,
    planned_stop::expected_reply_time,
    resends::CallerTry,
    route_table::PlannedRoute,
    servers::OutgoingRequest,
    serving_regions::ServingRegions,
};

/// A request that was read completely and is not admitted yet.
struct ReceivedRequest {
    arrived: Instant,
    head: Parts,
    client: ClientConnection,
    body: HeldBody,
    request_id: HeaderValue,
    planned: Rc<PlannedRoute>,
    /// The caller when the request arrived.
    caller: Caller,
    caller_try: CallerTry,
    /// See [`Accepted::spent`].
    spent: Duration,
    crash_watch: Rc<CrashWatch>,
}

/// A request that has not been sent to any server.
struct UnsentRequest<'a> {
    arrived: Instant,
    request_id: &'a HeaderValue,
    planned: &'a PlannedRoute,
}

impl ReceivedRequest {
    fn unsent(&self) -> UnsentRequest<'_> {
        UnsentRequest {
            arrived: self.arrived,
            request_id: &self.request_id,
            planned: &self.planned,
        }
    }
}

/// An admitted request. It uses the version of the routes that was in force when it arrived.
pub(crate) struct Accepted {
    pub(crate) gateway: Rc<Gateway>,
    pub(crate) planned: Rc<PlannedRoute>,
    /// Regions in which it may be served.
    regions: ServingRegions,
    pub(crate) outgoing: Rc<OutgoingRequest>,
    pub(crate) arrived: Instant,
    /// How much of the latency target had passed when the request arrived, as far as the caller's time limit shows
    /// it.
    pub(crate) spent: Duration,
}

/// Answers a request in five steps: finds its route, finds its tenant, reads its body, admits it, and asks its
/// servers. If the caller disconnects, this future is dropped and every attempt with it.
pub(crate) async fn answer(
    gateway: Rc<Gateway>,
    client: ClientConnection,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    match handle(&gateway, client, request).await {
        Ok(response) => response,
        Err(refusal) => unobserved(refusal.response()),
    }
}

/// Handles a request and returns the response, or the refusal if no server's response can be returned.
async fn handle(
    gateway: &Rc<Gateway>,
    client: ClientConnection,
    request: Request<Incoming>,
) -> Result<Response<AnswerBody>, Refusal> {
    let received = receive(gateway, client, request).await?;
    refuse_quarantined(gateway, &received)?;
    let admitted = admit(gateway, &received);
    // Holds the request's slot until it is answered or its caller disconnects.
    let _admitted = refuse_if_stopping(gateway, received.unsent(), admitted).await?;
    let accepted = accept(gateway, received)?;
    let answer = ask_servers(&accepted).await;
    let answer = answer.map_err(|refusal| accepted.final_refusal(refusal));
    let outcome = answer
        .as_ref()
        .map_or(Outcome::Failed, |(_, outcome)| *outcome);
    record_response(&accepted, outcome);
    record_outcome(gateway, &accepted.planned, outcome, accepted.arrived);
    answer.map(|(response, _)| response)
}

/// Finds the route and the caller of a request, and reads its body.
async fn receive(
    gateway: &Gateway,
    client: ClientConnection,
    request: Request<Incoming>,
) -> Result<ReceivedRequest, Refusal> {
    let arrived = Instant::now();
    let (head, body) = request.into_parts();
    // Only a starting gateway classifies the try before the caller is authenticated. Otherwise, requests without a
    // valid key would distort what is learned from the others.
    let early_try = (!gateway.has_routes()).then(|| caller_try(gateway, &head));
    let early_caller_try = early_try.map(|(caller_try, _)| caller_try);
    let planned = find_route_or_wait(gateway, &head, early_caller_try).await?;
    let caller = find_caller(gateway, &planned, &head)?;
    let (caller_try, spent) = early_try.unwrap_or_else(|| caller_try(gateway, &head));
    let request_id = head.headers.get(&gateway.names.request_id).cloned();
    let request_id = request_id.ok_or(Refusal::MissingRequestId)?;
    let read_until = arrived + time_left(gateway, &planned, &head);
    let body = read_body(&client, body, gateway.limits().max_body_bytes, read_until);
    let unsent = UnsentRequest {
        arrived,
        request_id: &request_id,
        planned: &planned,
    };
    let body = refuse_if_stopping(gateway, unsent, body).await?;
    let crash_watch = CrashWatch::new(
        fingerprint(&head, host(&head).unwrap_or_default(), body.bytes()),
        Rc::clone(&gateway.crashes),
    );
    Ok(ReceivedRequest {
        arrived,
        head,
        client,
        body,
        request_id,
        planned,
        caller,
        caller_try,
        spent,
        crash_watch,
    })
}

/// Runs a step that precedes sending the request. If the gateway stops too soon for a reply, refuses the request
/// without waiting for the step.
async fn refuse_if_stopping<Output>(
    gateway: &Gateway,
    unsent: UnsentRequest<'_>,
    step: impl Future<Output = Result<Output, Refusal>>,
) -> Result<Output, Refusal> {
    let UnsentRequest {
        arrived,
        request_id,
        planned,
    } = unsent;
    let reply_time = || expected_reply_time(&planned.profile);
    tokio::select! {
        biased;
        () = gateway.planned_stop.wait_until_left(reply_time) => {
            log::info!(
                event = "refused", request:% = id_text(request_id), reason:% = Refusal::Stopping,
                route = planned.route().name.as_str();
                "request"
            );
            record_outcome(gateway, planned, Outcome::Refused, arrived);
            Err(Refusal::Stopping)
        }
        result = step => result,
    }
}

/// Prepares a request for sending to servers, for its caller as known by the configuration that is in force now.
fn accept(gateway: &Rc<Gateway>, received: ReceivedRequest) -> Result<Accepted, Refusal> {
    let ReceivedRequest { head, planned, .. } = received;
    let caller = revalidate_caller(gateway, &planned, &head, received.caller)?;
    let regions = regions(&planned, caller.tenant());
    let mut headers = headers::request_headers_to_forward(&head.headers, &gateway.names);
    caller.rewrite_tenant_headers(&mut headers, &gateway.names);
    let deadline = received.arrived + time_left(gateway, &planned, &head);
    let outgoing = Rc::new(OutgoingRequest {
        caller,
        method: head.method,
        target: head.uri,
        headers,
        request_id: received.request_id,
        client: received.client,
        body: received.body,
        deadline,
        profile: Rc::clone(&planned.profile),
        service_time_estimate: ServiceTimeEstimate::new(part_count(&planned.route().target)),
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

/// Asks the servers of the request's route.
async fn ask_servers(accepted: &Accepted) -> Result<(Response<AnswerBody>, Outcome), Refusal> {
    match &accepted.planned.route().target {
        RouteTarget::Service(service) => answer_single(accepted, service).await,
        RouteTarget::Split(parts) => {
            answer_single(accepted, pick_weighted(parts, rand::random())).await
        }
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

/// Wraps a response whose sending is not observed because it was not planned for a certain time.
fn unobserved(response: Response<WholeBody>) -> Response<AnswerBody> {
    response.map(|body| AnswerBody::new(body, None))
}

/// Regions that both the route and the tenant allow.
fn regions(planned: &PlannedRoute, tenant: Option<&Tenant>) -> ServingRegions {
    match tenant {
        Some(tenant) => planned.regions.intersect(&tenant.allowed_regions),
        None => planned.regions.clone(),
    }
}

/// Records the outcome and the duration of a request in the metrics.
fn record_outcome(gateway: &Gateway, planned: &PlannedRoute, outcome: Outcome, arrived: Instant) {
    let is_gather = matches!(planned.route().target, RouteTarget::Gather(_));
    let seconds = arrived.elapsed().as_secs_f64();
    gateway.metrics.request_ended(is_gather, outcome, seconds);
}

/// Number of parts of a request whose servers do the same work.
fn part_count(target: &RouteTarget) -> usize {
    match target {
        RouteTarget::Gather(gather) => gather.shards.len(),
        RouteTarget::Service(_) | RouteTarget::Split(_) => 1,
    }
}

/// Reads the body of a request, which must be complete at `read_until`.
async fn read_body(
    client: &ClientConnection,
    body: Incoming,
    limit: usize,
    read_until: Instant,
) -> Result<HeldBody, Refusal> {
    let reading = collect_request(client, body, limit);
    let Ok(collected) = timeout_at(read_until.into(), reading).await else {
        return Err(Refusal::BodyTooLate);
    };
    collected.map_err(|error| match error {
        CollectError::TooLarge { .. } => Refusal::BodyTooLarge,
        CollectError::NoMemoryLeft(_) => Refusal::NoMemoryLeft,
        CollectError::Failed(_) => Refusal::IncompleteBody,
    })
}

/// The service that `draw` (uniform, 0 to 1) selects by weight.
fn pick_weighted(parts: &[WeightedService], draw: f64) -> &ServiceName {
    // Weights are divided by the largest one, because their sum may exceed the largest number.
    let largest = parts.iter().map(|part| part.weight).fold(0.0, f64::max);
    let sum: f64 = parts.iter().map(|part| part.weight / largest).sum();
    let mut remaining = draw * sum;
    for part in parts {
        remaining -= part.weight / largest;
        if remaining < 0.0 {
            return &part.service;
        }
    }
    // Only reached through rounding: in valid routes the weights sum to more than 0.
    &parts[parts.len() - 1].service
}

fn id_text(id: &HeaderValue) -> String {
    String::from_utf8_lossy(id.as_bytes()).into_owned()
}

impl Drop for Accepted {
    /// Reports servers that crashed under the request to the other gateways, even if the caller has disconnected.
    fn drop(&mut self) {
        let fingerprint = self.outgoing.crash_watch.fingerprint();
        self.gateway.report_crashes(fingerprint);
    }
}

impl Accepted {
    /// Regions in which its servers may be.
    fn allowed_regions(&self) -> &ServingRegions {
        &self.regions
    }

    fn is_caller_valid(&self) -> bool {
        self.gateway.caller_validity(&self.outgoing.caller) == CallerValidity::Valid
    }

    /// Whether the gateway stops too soon for another server's reply.
    fn is_stopping(&self) -> bool {
        let reply_time = || expected_reply_time(&self.planned.profile);
        self.gateway.planned_stop.leaves_less_than(reply_time)
    }

    /// The refusal that the caller gets. If no server has run the request and its key was revoked meanwhile, the
    /// refusal says so. If the key belongs to another tenant now, the caller is told that it may retry.
    fn final_refusal(&self, refusal: Refusal) -> Refusal {
        let has_not_run = matches!(refusal, Refusal::NoServerAvailable | Refusal::NotRun);
        match self.gateway.caller_validity(&self.outgoing.caller) {
            CallerValidity::KeyRevoked if has_not_run => Refusal::UnknownKey,
            CallerValidity::Changed if has_not_run => Refusal::NotRun,
            _ => refusal,
        }
    }

    /// How long before its latency target the response must be sent.
    fn answer_margin(&self) -> Duration {
        let latency_target = Duration::from_millis(self.planned.route().aim_ms);
        let now = self.gateway.clock.now();
        let bounds = self.gateway.config.margin_bounds();
        let margin = self.planned.profile.answer_margin();
        margin.margin(now, bounds, latency_target, self.spent)
    }

    fn id(&self) -> String {
        id_text(&self.outgoing.request_id)
    }
}

#[cfg(test)]
mod tests;
