//! Admission of a request: its place among the open ones, and the token of its tenant's quota.

use std::time::Duration;

use sablehaven_routing::crash_table::CrashStatus;
use sablehaven_types::Tenant;

use super::{
    Accepted, ReceivedRequest,
    head::caller_time,
    id_text, record_outcome,
    refusal::Refusal,
    token_wait::TokenWait,
    tokens::{TokenNeed, take_token},
};
use crate::{
    admission::{AdmissionClass, Admitted, NotAdmitted},
    gateway::Gateway,
    metrics::Outcome,
    resends::CallerTry,
    route_table::PlannedRoute,
    throttle::ThrottleClass,
    urgency::Urgency,
};

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

/// Admits a request: gives it a place, which it has until the returned value is dropped, and takes its tenant's token.
///
/// # Errors
/// [`Refusal::TooMany`] where there is no room for it; otherwise see [`take_token`].
pub(super) async fn admit(
    gateway: &Gateway,
    received: &ReceivedRequest,
) -> Result<Admitted, Refusal> {
    let class = throttle_class(&received.planned, received.caller.tenant());
    let throttling = throttling(received.caller.tenant(), received.caller_try);
    let admitted = take_place(gateway, received, class, throttling)?;
    if let Some(tenant) = received.caller.tenant() {
        let shed_share = shed_share(gateway, class, throttling);
        take_tenant_token(gateway, received, tenant, shed_share).await?;
    }
    Ok(admitted)
}

fn take_place(
    gateway: &Gateway,
    received: &ReceivedRequest,
    class: ThrottleClass<'_>,
    throttling: Throttling,
) -> Result<Admitted, Refusal> {
    find_place(gateway, received, class, throttling).map_err(|reason| {
        log::warn!(
            event = "refused", request:% = id_text(&received.request_id), reason:% = reason,
            open = gateway.admission.open(), route = received.planned.route().name.as_str();
            "request"
        );
        record_outcome(
            gateway,
            &received.planned,
            Outcome::Refused,
            received.arrived,
        );
        Refusal::TooMany
    })
}

/// A place for a request, unless there are too many or most of its kind come to nothing.
fn find_place(
    gateway: &Gateway,
    received: &ReceivedRequest,
    class: ThrottleClass<'_>,
    throttling: Throttling,
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
        due: now + Duration::from_millis(received.planned.route().aim_ms),
        caller_try: received.caller_try,
    };
    gateway.admission.admit(now, class)
}

async fn take_tenant_token(
    gateway: &Gateway,
    received: &ReceivedRequest,
    tenant: &Tenant,
    shed_share: f64,
) -> Result<(), Refusal> {
    let ReceivedRequest {
        planned,
        caller_try,
        ..
    } = received;
    let need = TokenNeed {
        tenant,
        route: planned.route(),
        request_id: &received.request_id,
        shed_share,
        caller_try: *caller_try,
        wait: TokenWait::new(*caller_try, caller_time(gateway, &received.head)),
    };
    let taken = take_token(gateway, need).await;
    if taken.is_err() {
        record_outcome(gateway, planned, Outcome::Refused, received.arrived);
    }
    taken
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

fn throttle_class<'a>(planned: &'a PlannedRoute, tenant: Option<&Tenant>) -> ThrottleClass<'a> {
    let route = planned.route();
    ThrottleClass {
        kind: planned.profile.kind(),
        urgency: Urgency::new(tenant.map(|tenant| tenant.priority), route.priority),
        service: route.first_service(),
    }
}

/// Refuses a request that is known to crash servers, before it takes anybody's place.
pub(super) fn refuse_quarantined(
    gateway: &Gateway,
    received: &ReceivedRequest,
) -> Result<(), Refusal> {
    let watch = &received.crash_watch;
    let CrashStatus::Quarantined { left } = watch.standing(gateway.clock.now()) else {
        return Ok(());
    };
    gateway.metrics.quarantined_requests.inc();
    log::warn!(
        event = "refused", request:% = id_text(&received.request_id), reason = "it has crashed servers",
        target = watch.fingerprint_text().as_str(), left_ms = left.as_millis() as u64;
        "request"
    );
    Err(Refusal::Quarantined { left })
}

/// Tells the throttle of an answer, and whether it came in time. One whose request is known to crash servers says
/// nothing of how pressed they are, and must not have the others of its kind refused.
pub(super) fn note_answer(accepted: &Accepted, outcome: Outcome) {
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
    let aim = Duration::from_millis(planned.route().aim_ms);
    let is_served = matches!(outcome, Outcome::Whole | Outcome::Partial);
    let is_useful = is_served && arrived.elapsed() <= aim;
    let class = throttle_class(planned, outgoing.caller.tenant());
    let mut throttle = gateway.throttle.borrow_mut();
    throttle.answered(now, class, is_useful);
}
