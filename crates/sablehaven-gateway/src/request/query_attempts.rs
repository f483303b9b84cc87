//! Coordinates the extra attempts of one query: its failed parts wait here until the query decides on all of them.

use std::{
    cell::{Cell, RefCell},
    future::pending,
    rc::Rc,
    time::Duration,
};

use tokio::sync::Notify;

use super::{
    Accepted,
    attempt_plan::{PartDecision, QueryParts, decide},
};
use crate::servers::ServicePool;

/// A failed part that waits for a decision.
struct FailedPart {
    number: usize,
    service: Rc<ServicePool>,
}

/// The state of a query's parts that decisions on extra attempts depend on. It is shared by the parts.
pub(super) struct QueryAttempts {
    shards: usize,
    min_shards: usize,
    arrived: Cell<usize>,
    lost: Cell<usize>,
    failed: RefCell<Vec<FailedPart>>,
    /// Decisions that their parts have not taken yet.
    decisions: RefCell<Vec<(usize, PartDecision)>>,
    decided: Notify,
}

impl QueryAttempts {
    /// A query over `shards` shards, of which `min_shards` are needed for a response.
    pub(super) fn new(shards: usize, min_shards: usize) -> Rc<Self> {
        Rc::new(Self {
            shards,
            min_shards,
            arrived: Cell::default(),
            lost: Cell::default(),
            failed: RefCell::default(),
            decisions: RefCell::default(),
            decided: Notify::new(),
        })
    }

    /// Records a part with a reply.
    pub(super) fn record_arrived(&self) {
        self.arrived.set(self.arrived.get() + 1);
    }

    /// Records a part that was given up.
    pub(super) fn record_lost(&self) {
        self.lost.set(self.lost.get() + 1);
    }

    /// Records a part whose attempts have all failed and that may get another one.
    pub(super) fn record_failed(&self, number: usize, service: Rc<ServicePool>) {
        let mut failed = self.failed.borrow_mut();
        failed.push(FailedPart { number, service });
    }

    /// Whether any part waits for a decision.
    pub(super) fn has_failed_parts(&self) -> bool {
        !self.failed.borrow().is_empty()
    }

    /// Decides on the failed parts and charges their new attempts to the budgets.
    pub(super) fn decide_failed_parts(&self, now: Duration, gateways: Option<u32>) {
        let mut failed = self.failed.borrow_mut();
        if failed.is_empty() {
            return;
        }
        let parts = QueryParts {
            shards: self.shards,
            min_shards: self.min_shards,
            arrived: self.arrived.get(),
            lost: self.lost.get(),
            failed: failed.len(),
        };
        let levels: Vec<_> = failed
            .iter()
            .map(|part| part.service.budget_level(now, gateways))
            .collect();
        let decisions = decide(&parts, &levels);
        let mut remaining = decisions.iter();
        let mut decided = self.decisions.borrow_mut();
        failed.retain(|part| {
            let decision = *remaining.next().unwrap_or(&PartDecision::Wait);
            match decision {
                PartDecision::Wait => return true,
                PartDecision::Send if !part.service.try_take_extra_attempt(now, gateways, 0.0) => {
                    return true;
                }
                PartDecision::Send | PartDecision::GiveUp => decided.push((part.number, decision)),
            }
            false
        });
        if !decided.is_empty() {
            self.decided.notify_waiters();
        }
    }

    /// Waits for the decision on a failed part. Returns whether it may send an attempt, which has already been
    /// charged to the budget.
    pub(super) async fn wait_for_decision(&self, number: usize) -> bool {
        loop {
            if let Some(decision) = self.take_decision(number) {
                return decision == PartDecision::Send;
            }
            self.decided.notified().await;
        }
    }

    fn take_decision(&self, number: usize) -> Option<PartDecision> {
        let mut decisions = self.decisions.borrow_mut();
        let position = decisions.iter().position(|(part, _)| *part == number)?;
        Some(decisions.swap_remove(position).1)
    }
}

/// Decides which failed parts of a query get another attempt.
pub(super) fn decide_failed_parts(accepted: &Accepted, query: &QueryAttempts) {
    let gateway = &accepted.gateway;
    let gateways = gateway.registry.sharing_gateway_count();
    query.decide_failed_parts(gateway.clock.now(), gateways);
}

/// Identifies one part of a query.
#[derive(Clone)]
pub(super) struct PartHandle {
    pub(super) query: Rc<QueryAttempts>,
    pub(super) number: usize,
}

/// Waits for the decision on a failed part, see [`QueryAttempts::wait_for_decision`]. Never returns if the part does
/// not belong to a query.
pub(super) async fn wait_for_decision(handle: Option<&PartHandle>) -> bool {
    match handle {
        Some(handle) => handle.query.wait_for_decision(handle.number).await,
        None => pending().await,
    }
}
