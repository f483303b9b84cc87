//! One part of a request: its first attempt, hedges and retries at the servers of one service.

use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use sablehaven_types::{BackendId, RequestKind};
use tokio::time::sleep_until;

use super::{
    Accepted,
    attempt_plan::AttemptPurpose,
    in_flight::{InFlight, next_ended},
    query_attempts::{PartHandle, decide_failed_parts, wait_for_decision},
};
use crate::{
    crashes::{SendDecision, Trial, WaiterGuard},
    servers::{Attempt, AttemptFailure, Server, ServerReply, ServicePool},
};

/// A failed attempt is repeated only while at most this many attempts have ended without being executed by a server.
const MAX_UNEXECUTED_ATTEMPTS: u32 = 4;

/// Why a part is missing.
#[derive(Clone, Debug, displaydoc::Display)]
pub(super) enum PartFailure {
    /// no server is available
    NoServerAvailable,
    /// {0}
    Attempt(AttemptFailure),
    /// servers crash when they run the request
    Quarantined,
    /// deadline exceeded
    DeadlineExceeded,
    /// the gateway stops
    Stopping,
}

/// Result of a part's attempts.
pub(super) struct PartResult {
    pub(super) result: Result<ServerReply, PartFailure>,
    /// Whether a server may have executed the request.
    pub(super) may_have_run: bool,
    /// Number of extra attempts that were sent.
    pub(super) extra: u32,
    /// Number of extra attempts that the budget did not cover.
    pub(super) unaffordable: u32,
}

/// The attempts at one service on behalf of one request.
pub(super) struct SubRequest<'a> {
    accepted: &'a Accepted,
    service: Rc<ServicePool>,
    in_flight: Vec<InFlight>,
    tried: Tried,
    /// Number of attempts sent, less those that were not executed.
    dispatched: u32,
    unexecuted_attempts: u32,
    extra: u32,
    unaffordable: u32,
    may_have_run: bool,
    /// An attempt that waits until the crash watch allows it.
    deferred: Option<DeferredAttempt>,
    /// Set if this is a part of a query over shards.
    handle: Option<PartHandle>,
    /// The last failure, while the query decides whether this part gets another attempt.
    failed: Option<AttemptFailure>,
}

/// How an extra attempt is charged to the retry budget.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Payment {
    /// Not charged: no server was reached, so the attempt adds no load.
    Uncharged,
    /// The budget was charged when the query decided.
    AlreadyCharged,
    /// Charged now, if the budget covers an attempt with this purpose.
    Budget(AttemptPurpose),
}

/// The servers that were tried, in order. Shared with the query, which logs them for shards without a result.
pub(super) type Tried = Rc<RefCell<Vec<BackendId>>>;

/// An attempt that is to be sent.
enum PlannedAttempt {
    First,
    /// Follows this failure.
    Retry(AttemptFailure),
}

/// An attempt that the crash watch does not allow yet.
struct DeferredAttempt {
    planned: PlannedAttempt,
    _guard: WaiterGuard,
}

impl<'a> SubRequest<'a> {
    pub(super) fn new(
        accepted: &'a Accepted,
        service: Rc<ServicePool>,
        handle: Option<PartHandle>,
    ) -> Self {
        Self {
            accepted,
            service,
            in_flight: Vec::new(),
            tried: Tried::default(),
            dispatched: 0,
            unexecuted_attempts: 0,
            extra: 0,
            unaffordable: 0,
            may_have_run: false,
            deferred: None,
            handle,
            failed: None,
        }
    }

    /// The list of tried servers, which grows with each attempt.
    pub(super) fn tried(&self) -> Tried {
        Rc::clone(&self.tried)
    }

    /// Sends attempts until one succeeds or no more may be sent.
    pub(super) async fn run(mut self) -> PartResult {
        let result = self.attempt_until_answered().await;
        PartResult {
            result,
            may_have_run: self.may_have_run || !self.in_flight.is_empty(),
            extra: self.extra,
            unaffordable: self.unaffordable,
        }
    }

    async fn attempt_until_answered(&mut self) -> Result<ServerReply, PartFailure> {
        self.service
            .record_request(self.accepted.gateway.clock.now());
        self.send_when_allowed(PlannedAttempt::First)?;
        let deadline = self.accepted.outgoing.deadline;
        loop {
            let check_at = self.next_check_at();
            let wake_at = check_at.unwrap_or(deadline).min(deadline);
            tokio::select! {
                biased;
                ended = next_ended(&mut self.in_flight) => {
                    match ended.result {
                        Ok(reply) => {
                            self.accepted.outgoing.service_time_estimate.record(ended.service_time);
                            return Ok(reply);
                        }
                        Err(failure) => self.handle_failure(failure, ended.trial)?,
                    }
                }
                may_send = wait_for_decision(self.handle.as_ref()), if self.failed.is_some() => {
                    self.apply_decision(may_send)?;
                }
                () = self.accepted.outgoing.crash_watch.changed(), if self.deferred.is_some() => {
                    if let Some(DeferredAttempt { planned, .. }) = self.deferred.take() {
                        self.send_when_allowed(planned)?;
                    }
                }
                () = sleep_until(wake_at.into()) => {
                    if Instant::now() >= deadline {
                        return Err(PartFailure::DeadlineExceeded);
                    }
                    match self.deferred.take() {
                        Some(DeferredAttempt { planned, .. }) => self.send_when_allowed(planned)?,
                        None => self.hedge_if_due(),
                    }
                }
                () = self.accepted.outgoing.service_time_estimate.wait_until_known() => {}
                () = self.accepted.gateway.planned_stop.answers_due(),
                    if self.handle.is_none() =>
                {
                    return Err(PartFailure::Stopping);
                }
            }
        }
    }

    /// Sends an attempt as soon as the crash watch allows it. A request that is suspected of crashing servers gets
    /// one attempt at a time over all of its parts; a quarantined one gets none.
    fn send_when_allowed(&mut self, planned: PlannedAttempt) -> Result<(), PartFailure> {
        let now = self.accepted.gateway.clock.now();
        let spare = || {
            let allowed = self.accepted.allowed_regions();
            self.service
                .count_spare_servers(allowed, &self.tried.borrow())
        };
        let trial = match self.accepted.outgoing.crash_watch.send_decision(now, spare) {
            SendDecision::Send => None,
            SendDecision::Trial(trial) => Some(trial),
            SendDecision::Wait(guard) => {
                self.deferred = Some(DeferredAttempt {
                    planned,
                    _guard: guard,
                });
                return Ok(());
            }
            SendDecision::Refuse => return Err(PartFailure::Quarantined),
        };
        match planned {
            PlannedAttempt::First => {
                let server = self.next_server().ok_or(PartFailure::NoServerAvailable)?;
                self.send(server, trial);
                Ok(())
            }
            PlannedAttempt::Retry(failure) => self.retry(failure, trial),
        }
    }

    fn retry(&mut self, failure: AttemptFailure, trial: Option<Trial>) -> Result<(), PartFailure> {
        let payment = match failure {
            AttemptFailure::NotSent { .. } => Payment::Uncharged,
            _ => Payment::Budget(AttemptPurpose::Required),
        };
        if self.send_extra(payment, trial) {
            return Ok(());
        }
        self.fail_unless_running(failure)
    }

    fn fail_unless_running(&self, failure: AttemptFailure) -> Result<(), PartFailure> {
        if self.in_flight.is_empty() {
            return Err(PartFailure::Attempt(failure));
        }
        Ok(())
    }

    /// Chooses the server for the next attempt; `None` if no server is left, the caller's key is no longer valid, or the
    /// gateway stops too soon for a reply.
    fn next_server(&self) -> Option<Rc<Server>> {
        if !self.accepted.is_caller_valid() || self.accepted.is_stopping() {
            return None;
        }
        let now = self.accepted.gateway.clock.now();
        let planned = &self.accepted.planned;
        let allowed = self.accepted.allowed_regions();
        self.service
            .choose(now, &planned.profile, allowed, &self.tried.borrow())
    }

    fn send(&mut self, server: Rc<Server>, trial: Option<Trial>) {
        self.tried.borrow_mut().push(server.id.clone());
        self.dispatched += 1;
        let gateway = &self.accepted.gateway;
        let outgoing = Rc::clone(&self.accepted.outgoing);
        let attempt = Attempt::start(gateway, server, outgoing, trial.is_some());
        self.in_flight.push(InFlight::start(attempt, trial));
    }

    /// Handles a failed attempt: waits for a running one, sends the next, or gives up.
    fn handle_failure(
        &mut self,
        failure: AttemptFailure,
        trial: Option<Trial>,
    ) -> Result<(), PartFailure> {
        if let (Some(trial), AttemptFailure::ConnectionLost { is_server_gone, .. }) =
            (&trial, &failure)
        {
            trial.record_lost_connection(self.accepted.gateway.clock.now(), *is_server_gone);
        }
        drop(trial);
        let is_safe = self.accepted.planned.route().kind == RequestKind::Safe;
        match &failure {
            AttemptFailure::NotSent { .. } | AttemptFailure::NotExecuted { .. } => {
                self.dispatched -= 1;
                self.unexecuted_attempts += 1;
            }
            AttemptFailure::ErrorReply(_)
            | AttemptFailure::ConnectionLost { .. }
            | AttemptFailure::NoMemoryLeft { .. }
            | AttemptFailure::Unknown { .. } => {
                self.may_have_run = true;
            }
        }
        // The reply of another server would need as much memory.
        let fits_memory = !matches!(failure, AttemptFailure::NoMemoryLeft { .. });
        let may_repeat = fits_memory && (is_safe || !self.may_have_run);
        let has_attempts_left = self.dispatched < self.accepted.planned.route().max_attempts
            && self.unexecuted_attempts <= MAX_UNEXECUTED_ATTEMPTS;
        if may_repeat && has_attempts_left {
            if self.is_decided_by_query(&failure) {
                return self.defer_to_query(failure);
            }
            return self.send_when_allowed(PlannedAttempt::Retry(failure));
        }
        self.fail_unless_running(failure)
    }

    /// Whether the query decides, for all of its parts together, if another attempt follows. This excludes requests
    /// that may crash servers, which are left to the crash watch, and attempts that reached no server, since they are
    /// repeated free of charge.
    fn is_decided_by_query(&self, failure: &AttemptFailure) -> bool {
        let now = self.accepted.gateway.clock.now();
        let is_uncharged = matches!(failure, AttemptFailure::NotSent { .. });
        let may_all_parts_send = self.accepted.outgoing.crash_watch.may_all_parts_send(now);
        self.handle.is_some() && !is_uncharged && may_all_parts_send
    }

    /// Waits for a running attempt, or for the query's decision.
    fn defer_to_query(&mut self, failure: AttemptFailure) -> Result<(), PartFailure> {
        if !self.in_flight.is_empty() {
            return Ok(());
        }
        let allowed = self.accepted.allowed_regions();
        if !self
            .service
            .has_untried_server(allowed, &self.tried.borrow())
        {
            return Err(PartFailure::Attempt(failure));
        }
        if let Some(PartHandle { query, number }) = &self.handle {
            query.record_failed(*number, Rc::clone(&self.service));
            decide_failed_parts(self.accepted, query);
            self.failed = Some(failure);
        }
        Ok(())
    }

    fn apply_decision(&mut self, may_send: bool) -> Result<(), PartFailure> {
        let Some(failure) = self.failed.take() else {
            return Ok(());
        };
        let now = self.accepted.gateway.clock.now();
        if may_send && !self.accepted.outgoing.crash_watch.may_all_parts_send(now) {
            // Servers were lost since the query asked for the decision. What may crash more of them is sent one at a
            // time, so the crash watch decides when.
            return self.send_when_allowed(PlannedAttempt::Retry(failure));
        }
        if !may_send {
            self.unaffordable += 1;
            self.accepted.gateway.metrics.unaffordable_attempts.inc();
        }
        if may_send && self.send_extra(Payment::AlreadyCharged, None) {
            return Ok(());
        }
        Err(PartFailure::Attempt(failure))
    }

    /// Sends another attempt if a server is available and the budget covers it. Returns whether it was sent.
    fn send_extra(&mut self, payment: Payment, trial: Option<Trial>) -> bool {
        let Some(server) = self.next_server() else {
            return false;
        };
        let gateway = &self.accepted.gateway;
        if let Payment::Budget(purpose) = payment {
            let gateways = gateway.registry.sharing_gateway_count();
            let now = gateway.clock.now();
            if !self
                .service
                .try_take_extra_attempt(now, gateways, purpose.reserve())
            {
                self.unaffordable += 1;
                gateway.metrics.unaffordable_attempts.inc();
                return false;
            }
        }
        if payment != Payment::Uncharged {
            self.extra += 1;
            gateway.metrics.extra_attempts.inc();
        }
        self.send(server, trial);
        true
    }

    /// When to check again whether a hedge is due or a deferred attempt may be sent; `None` if neither is known.
    fn next_check_at(&self) -> Option<Instant> {
        if self.deferred.is_some() {
            let now = self.accepted.gateway.clock.now();
            let hold_until = self.accepted.outgoing.crash_watch.hold_until(now)?;
            return Some(Instant::now() + hold_until.saturating_sub(now));
        }
        let route = self.accepted.planned.route();
        let may_hedge = route.kind == RequestKind::Safe
            && self.dispatched < route.max_attempts
            && self.in_flight.len() == 1;
        if !may_hedge {
            return None;
        }
        let earliest = Instant::now() + Duration::from_millis(1);
        Some(self.in_flight[0].hedge_due_at(self.accepted).max(earliest))
    }

    /// Purpose of a hedge. Hedges of a query's parts leave a reserve for its retries. If the server of the running
    /// attempt is stalled, however, the hedge is as necessary as a retry.
    fn hedge_purpose(&self) -> AttemptPurpose {
        let now = self.accepted.gateway.clock.now();
        let server = &self.in_flight[0].attempt.server;
        let stalled_at = server.health.borrow().stalls_at(now);
        let is_stalled = stalled_at.is_some_and(|at| at <= now);
        if self.handle.is_none() || is_stalled {
            return AttemptPurpose::Required;
        }
        AttemptPurpose::Speculative
    }

    fn hedge_if_due(&mut self) {
        let is_due = self.in_flight.len() == 1
            && Instant::now() >= self.in_flight[0].hedge_due_at(self.accepted);
        if !is_due {
            return;
        }
        // Other requests avoid the server until it responds again.
        self.in_flight[0]
            .attempt
            .server
            .health
            .borrow_mut()
            .mark_suspected();
        let now = self.accepted.gateway.clock.now();
        let may_send = self.accepted.outgoing.crash_watch.is_clear(now);
        let payment = Payment::Budget(self.hedge_purpose());
        if !may_send || !self.send_extra(payment, None) {
            // No hedge can be sent now; check again after a short delay.
            self.in_flight[0].timer.postpone(Instant::now());
        }
    }
}
