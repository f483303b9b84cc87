//! One server's part of a request: first attempt, hedge and retry.

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
    query_attempts::{PartPlace, settle, verdict},
};
use crate::{
    crashes::{Trial, Turn, WaitingPlace},
    servers::{Attempt, AttemptFailure, Server, ServerReply, ServicePool},
};

/// Attempts that may come to nothing before a server has run the request.
const MAXIMUM_FALSE_STARTS: u32 = 4;

/// Why a part is missing.
#[derive(Clone, Debug, displaydoc::Display)]
pub(super) enum PartFailure {
    /// no server that may answer takes work
    NoServer,
    /// {0}
    Attempt(AttemptFailure),
    /// servers end when they run the request
    Quarantined,
    /// the time is over
    OutOfTime,
}

/// What came of the attempts.
pub(super) struct PartResult {
    pub(super) result: Result<ServerReply, PartFailure>,
    /// Whether a server may have run the request.
    pub(super) may_have_run: bool,
    /// Extra attempts that were sent.
    pub(super) extra: u32,
    /// Extra attempts that the budget did not bear.
    pub(super) unaffordable: u32,
}

/// Attempts for one service on behalf of one request.
pub(super) struct SubRequest<'a> {
    accepted: &'a Accepted,
    service: Rc<ServicePool>,
    in_flight: Vec<InFlight>,
    tried: Tried,
    /// Servers that may have run it.
    dispatched: u32,
    false_starts: u32,
    extra: u32,
    unaffordable: u32,
    may_have_run: bool,
    /// What is sent when the request's other parts let it.
    waiting: Option<Waiting>,
    /// Where it is a part of a query over shards.
    place: Option<PartPlace>,
    /// How it failed, while its query decides whether it gets another attempt.
    failed: Option<AttemptFailure>,
}

/// What pays for an extra attempt.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Payment {
    /// Nothing: no server was reached, so it is no extra load on any.
    Free,
    /// The budget has been charged already.
    Paid,
    /// The budget, as far as such attempts may use it.
    Budget(AttemptPurpose),
}

/// The servers that attempts went to, in order; shared with whoever explains what is still awaited.
pub(super) type Tried = Rc<RefCell<Vec<BackendId>>>;

/// An attempt that a part has reason to send.
enum Planned {
    First,
    /// After this failure.
    Retry(AttemptFailure),
}

/// An attempt that the request's other parts do not let go yet.
struct Waiting {
    planned: Planned,
    _place: WaitingPlace,
}

impl<'a> SubRequest<'a> {
    pub(super) fn new(
        accepted: &'a Accepted,
        service: Rc<ServicePool>,
        place: Option<PartPlace>,
    ) -> Self {
        Self {
            accepted,
            service,
            in_flight: Vec::new(),
            tried: Tried::default(),
            dispatched: 0,
            false_starts: 0,
            extra: 0,
            unaffordable: 0,
            may_have_run: false,
            waiting: None,
            place,
            failed: None,
        }
    }

    /// The servers that attempts go to.
    pub(super) fn tried(&self) -> Tried {
        Rc::clone(&self.tried)
    }

    /// Sends attempts until one has an answer or nothing more may be sent.
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
        self.service.need(self.accepted.gateway.clock.now());
        self.send_in_turn(Planned::First)?;
        let deadline = self.accepted.outgoing.deadline;
        loop {
            let look = self.next_look();
            let look_at = look.unwrap_or(deadline).min(deadline);
            tokio::select! {
                biased;
                ended = next_ended(&mut self.in_flight) => {
                    match ended.result {
                        Ok(reply) => {
                            self.accepted.outgoing.pace.record(ended.taken);
                            return Ok(reply);
                        }
                        Err(failure) => self.take_failure(failure, ended.trial)?,
                    }
                }
                may_send = verdict(self.place.as_ref()), if self.failed.is_some() => {
                    self.take_verdict(may_send)?;
                }
                () = self.accepted.outgoing.crash_watch.changed(), if self.waiting.is_some() => {
                    if let Some(Waiting { planned, .. }) = self.waiting.take() {
                        self.send_in_turn(planned)?;
                    }
                }
                () = sleep_until(look_at.into()) => {
                    if Instant::now() >= deadline {
                        return Err(PartFailure::OutOfTime);
                    }
                    match self.waiting.take() {
                        Some(Waiting { planned, .. }) => self.send_in_turn(planned)?,
                        None => self.hedge_if_due(),
                    }
                }
                () = self.accepted.outgoing.pace.wait_until_known() => {}
            }
        }
    }

    /// Sends an attempt now, or when the request's other parts let it: under a request that may take servers down there
    /// is one attempt at a time, and none once it is known to.
    fn send_in_turn(&mut self, planned: Planned) -> Result<(), PartFailure> {
        let now = self.accepted.gateway.clock.now();
        let spare = || {
            let allowed = self.accepted.allowed_regions();
            self.service.spare(allowed, &self.tried.borrow())
        };
        let trial = match self.accepted.outgoing.crash_watch.turn(now, spare) {
            Turn::Send => None,
            Turn::Trial(trial) => Some(trial),
            Turn::Wait(place) => {
                self.waiting = Some(Waiting {
                    planned,
                    _place: place,
                });
                return Ok(());
            }
            Turn::Never => return Err(PartFailure::Quarantined),
        };
        match planned {
            Planned::First => {
                let server = self.next_server().ok_or(PartFailure::NoServer)?;
                self.send(server, trial);
                Ok(())
            }
            Planned::Retry(failure) => self.retry(failure, trial),
        }
    }

    fn retry(&mut self, failure: AttemptFailure, trial: Option<Trial>) -> Result<(), PartFailure> {
        let payment = match failure {
            AttemptFailure::NotSent { .. } => Payment::Free,
            _ => Payment::Budget(AttemptPurpose::Decides),
        };
        if self.send_extra(payment, trial) {
            return Ok(());
        }
        self.give_up_unless_awaited(failure)
    }

    fn give_up_unless_awaited(&self, failure: AttemptFailure) -> Result<(), PartFailure> {
        if self.in_flight.is_empty() {
            return Err(PartFailure::Attempt(failure));
        }
        Ok(())
    }

    /// The server for the next attempt; none once the caller's key does not hold any more.
    fn next_server(&self) -> Option<Rc<Server>> {
        if !self.accepted.caller_holds() {
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

    /// Takes a failed attempt: waits for another one, sends the next, or gives up.
    fn take_failure(
        &mut self,
        failure: AttemptFailure,
        trial: Option<Trial>,
    ) -> Result<(), PartFailure> {
        if let (Some(trial), AttemptFailure::Lost { is_server_gone, .. }) = (&trial, &failure) {
            trial.lost(self.accepted.gateway.clock.now(), *is_server_gone);
        }
        drop(trial);
        let is_safe = self.accepted.planned.route().kind == RequestKind::Safe;
        match &failure {
            AttemptFailure::NotSent { .. } | AttemptFailure::NotExecuted { .. } => {
                self.dispatched -= 1;
                self.false_starts += 1;
            }
            AttemptFailure::Answered(_)
            | AttemptFailure::Lost { .. }
            | AttemptFailure::Unknown { .. } => {
                self.may_have_run = true;
            }
        }
        let may_repeat = is_safe || !self.may_have_run;
        let has_room = self.dispatched < self.accepted.planned.route().max_attempts
            && self.false_starts <= MAXIMUM_FALSE_STARTS;
        if may_repeat && has_room {
            if self.is_for_query(&failure) {
                return self.leave_to_query(failure);
            }
            return self.send_in_turn(Planned::Retry(failure));
        }
        self.give_up_unless_awaited(failure)
    }

    /// Whether the query decides, for all of its parts together, if another attempt follows. A request that may take
    /// servers down has its own order.
    fn is_for_query(&self, failure: &AttemptFailure) -> bool {
        let now = self.accepted.gateway.clock.now();
        let is_free = matches!(failure, AttemptFailure::NotSent { .. });
        let is_undisturbed = self.accepted.outgoing.crash_watch.is_undisturbed(now);
        self.place.is_some() && !is_free && is_undisturbed
    }

    /// Waits for an attempt that is under way, or for the query's verdict.
    fn leave_to_query(&mut self, failure: AttemptFailure) -> Result<(), PartFailure> {
        if !self.in_flight.is_empty() {
            return Ok(());
        }
        let allowed = self.accepted.allowed_regions();
        if !self.service.has_other(allowed, &self.tried.borrow()) {
            return Err(PartFailure::Attempt(failure));
        }
        if let Some(PartPlace { query, number }) = &self.place {
            query.failed(*number, Rc::clone(&self.service));
            settle(self.accepted, query);
            self.failed = Some(failure);
        }
        Ok(())
    }

    fn take_verdict(&mut self, may_send: bool) -> Result<(), PartFailure> {
        let Some(failure) = self.failed.take() else {
            return Ok(());
        };
        let now = self.accepted.gateway.clock.now();
        if may_send && !self.accepted.outgoing.crash_watch.is_undisturbed(now) {
            // Servers were lost since the query was asked: what may take more of them down goes one at a time.
            return self.send_in_turn(Planned::Retry(failure));
        }
        if !may_send {
            self.unaffordable += 1;
            self.accepted.gateway.metrics.unaffordable_attempts.inc();
        }
        if may_send && self.send_extra(Payment::Paid, None) {
            return Ok(());
        }
        Err(PartFailure::Attempt(failure))
    }

    /// Sends one more attempt.
    fn send_extra(&mut self, payment: Payment, trial: Option<Trial>) -> bool {
        let Some(server) = self.next_server() else {
            return false;
        };
        let gateway = &self.accepted.gateway;
        if let Payment::Budget(purpose) = payment {
            let gateways = gateway.registry.sharer_count();
            let now = gateway.clock.now();
            if !self.service.take_extra(now, gateways, purpose.reserve()) {
                self.unaffordable += 1;
                gateway.metrics.unaffordable_attempts.inc();
                return false;
            }
        }
        if payment != Payment::Free {
            self.extra += 1;
            gateway.metrics.extra_attempts.inc();
        }
        self.send(server, trial);
        true
    }

    /// When a hedge may become due, or what waits may be sent; `None` when neither is known.
    fn next_look(&self) -> Option<Instant> {
        if self.waiting.is_some() {
            let now = self.accepted.gateway.clock.now();
            let held_until = self.accepted.outgoing.crash_watch.held_until(now)?;
            return Some(Instant::now() + held_until.saturating_sub(now));
        }
        let route = self.accepted.planned.route();
        let may_hedge = route.kind == RequestKind::Safe
            && self.dispatched < route.max_attempts
            && self.in_flight.len() == 1;
        if !may_hedge {
            return None;
        }
        let soonest = Instant::now() + Duration::from_millis(1);
        Some(self.in_flight[0].hedge_due_at(self.accepted).max(soonest))
    }

    /// Hedges of a query's parts leave a reserve for its retries, unless the server of the attempt stands still: then
    /// the hedge is the part's only hope, as a retry is.
    fn hedge_purpose(&self) -> AttemptPurpose {
        let now = self.accepted.gateway.clock.now();
        let server = &self.in_flight[0].attempt.server;
        let still_at = server.health.borrow().stands_still_at(now);
        let stands_still = still_at.is_some_and(|at| at <= now);
        if self.place.is_none() || stands_still {
            return AttemptPurpose::Decides;
        }
        AttemptPurpose::Hastens
    }

    fn hedge_if_due(&mut self) {
        let is_due = self.in_flight.len() == 1
            && Instant::now() >= self.in_flight[0].hedge_due_at(self.accepted);
        if !is_due {
            return;
        }
        // Whoever comes next is sent elsewhere until the server answers something.
        self.in_flight[0]
            .attempt
            .server
            .health
            .borrow_mut()
            .suspect();
        let now = self.accepted.gateway.clock.now();
        let may_send = self.accepted.outgoing.crash_watch.is_clear(now);
        let payment = Payment::Budget(self.hedge_purpose());
        if !may_send || !self.send_extra(payment, None) {
            // Nothing allows one now; the next look is a little later.
            self.in_flight[0].timer.put_off(Instant::now());
        }
    }
}
