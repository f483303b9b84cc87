//! Admission of a request: reserves one of the gateway's slots for open requests and takes a token from the tenant's
//! quota.

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

/// Which component decides whether to shed a request while most requests of its kind fail or are late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ThrottleDecider {
    /// The request is a resend, which is never shed.
    Exempt,
    /// The request has no tenant, so this gateway sheds a random share.
    Gateway,
    /// The request has a tenant, so the control replica that is asked for a token decides by how much the tenant has
    /// used.
    ControlReplica,
}

/// Admits a request: reserves a slot for it, which is released when the returned value is dropped, and takes a token
/// of its tenant.
///
/// # Errors
/// [`Refusal::TooManyRequests`] if no slot is free or the request is shed; otherwise see [`take_token`].
pub(super) async fn admit(
    gateway: &Gateway,
    received: &ReceivedRequest,
) -> Result<Admitted, Refusal> {
    let class = throttle_class(&received.planned, received.caller.tenant());
    let throttle_decider = throttle_decider(received.caller.tenant(), received.caller_try);
    let admitted = admit_or_refuse(gateway, received, class, throttle_decider)?;
    if let Some(tenant) = received.caller.tenant() {
        let shed_share = shed_share(gateway, class, throttle_decider);
        acquire_tenant_token(gateway, received, tenant, shed_share).await?;
    }
    Ok(admitted)
}

/// Reserves a slot for a request, or logs and records why it is refused.
fn admit_or_refuse(
    gateway: &Gateway,
    received: &ReceivedRequest,
    class: ThrottleClass<'_>,
    throttle_decider: ThrottleDecider,
) -> Result<Admitted, Refusal> {
    try_admit(gateway, received, class, throttle_decider).map_err(|reason| {
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
        Refusal::TooManyRequests
    })
}

/// Reserves a slot for a request unless too many are open or the request is shed.
fn try_admit(
    gateway: &Gateway,
    received: &ReceivedRequest,
    class: ThrottleClass<'_>,
    throttle_decider: ThrottleDecider,
) -> Result<Admitted, NotAdmitted> {
    let now = gateway.clock.now();
    if throttle_decider == ThrottleDecider::Gateway {
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

async fn acquire_tenant_token(
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
    let result = take_token(gateway, need).await;
    if result.is_err() {
        record_outcome(gateway, planned, Outcome::Refused, received.arrived);
    }
    result
}

fn throttle_decider(tenant: Option<&Tenant>, caller_try: CallerTry) -> ThrottleDecider {
    match (caller_try, tenant) {
        (CallerTry::First, None) => ThrottleDecider::Gateway,
        (CallerTry::First, Some(_)) => ThrottleDecider::ControlReplica,
        _ => ThrottleDecider::Exempt,
    }
}

/// Share of the requests of this class that is to be shed, as reported to control replicas. It is 0 unless a replica
/// decides.
fn shed_share(
    gateway: &Gateway,
    class: ThrottleClass<'_>,
    throttle_decider: ThrottleDecider,
) -> f64 {
    if throttle_decider != ThrottleDecider::ControlReplica {
        return 0.0;
    }
    let throttle = gateway.throttle.borrow();
    throttle.shed_share(gateway.clock.now(), class)
}

fn throttle_class<'a>(planned: &'a PlannedRoute, tenant: Option<&Tenant>) -> ThrottleClass<'a> {
    let route = planned.route();
    ThrottleClass {
        kind: planned.profile.kind(),
        urgency: Urgency::new(tenant.map(|tenant| tenant.priority), route.priority),
        service: route.first_service(),
    }
}

/// Refuses a quarantined request, which is known to crash servers, before it occupies a slot.
pub(super) fn refuse_quarantined(
    gateway: &Gateway,
    received: &ReceivedRequest,
) -> Result<(), Refusal> {
    let watch = &received.crash_watch;
    let CrashStatus::Quarantined { left: retry_in } = watch.status(gateway.clock.now()) else {
        return Ok(());
    };
    gateway.metrics.quarantined_requests.inc();
    log::warn!(
        event = "refused", request:% = id_text(&received.request_id), reason = "it has crashed servers",
        target = watch.fingerprint_text().as_str(), left_ms = retry_in.as_millis() as u64;
        "request"
    );
    Err(Refusal::Quarantined { retry_in })
}

/// Records in the throttle whether a response was useful, that is, served within the latency target. A request that
/// has crashed servers is left out: its failure is no sign of overload, and counting it would shed other requests of
/// its kind.
pub(super) fn record_response(accepted: &Accepted, outcome: Outcome) {
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
    let latency_target = Duration::from_millis(planned.route().aim_ms);
    let is_served = matches!(outcome, Outcome::Whole | Outcome::Partial);
    let is_useful = is_served && arrived.elapsed() <= latency_target;
    let class = throttle_class(planned, outgoing.caller.tenant());
    let mut throttle = gateway.throttle.borrow_mut();
    throttle.record(now, class, is_useful);
}
