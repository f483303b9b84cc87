//! The failed parts of one query that wait for another attempt; shared by its parts.

use std::{
    cell::{Cell, RefCell},
    future::pending,
    rc::Rc,
    time::Duration,
};

use tokio::sync::Notify;

use super::{
    Accepted,
    attempt_plan::{PartVerdict, QueryParts, decide},
};
use crate::servers::ServicePool;

/// A part that waits for its verdict.
struct FailedPart {
    number: usize,
    service: Rc<ServicePool>,
}

/// What is known of the parts of one query, as far as extra attempts depend on it.
pub(super) struct QueryAttempts {
    shards: usize,
    least: usize,
    arrived: Cell<usize>,
    lost: Cell<usize>,
    failed: RefCell<Vec<FailedPart>>,
    /// Verdicts that their parts have not taken yet.
    verdicts: RefCell<Vec<(usize, PartVerdict)>>,
    decided: Notify,
}

impl QueryAttempts {
    /// A query over `shards`, of which `least` make an answer.
    pub(super) fn new(shards: usize, least: usize) -> Rc<Self> {
        Rc::new(Self {
            shards,
            least,
            arrived: Cell::default(),
            lost: Cell::default(),
            failed: RefCell::default(),
            verdicts: RefCell::default(),
            decided: Notify::new(),
        })
    }

    /// A part is in.
    pub(super) fn arrived(&self) {
        self.arrived.set(self.arrived.get() + 1);
    }

    /// A part will not come.
    pub(super) fn lost(&self) {
        self.lost.set(self.lost.get() + 1);
    }

    /// All attempts of a part have failed, and it may get another.
    pub(super) fn failed(&self, number: usize, service: Rc<ServicePool>) {
        let mut failed = self.failed.borrow_mut();
        failed.push(FailedPart { number, service });
    }

    /// Whether any part waits for its verdict.
    pub(super) fn has_failed_parts(&self) -> bool {
        !self.failed.borrow().is_empty()
    }

    /// Decides on the failed parts and takes from the budgets what they get.
    pub(super) fn settle(&self, now: Duration, gateways: Option<u32>) {
        let mut failed = self.failed.borrow_mut();
        if failed.is_empty() {
            return;
        }
        let parts = QueryParts {
            shards: self.shards,
            least: self.least,
            arrived: self.arrived.get(),
            lost: self.lost.get(),
            failed: failed.len(),
        };
        let levels: Vec<_> = failed
            .iter()
            .map(|part| part.service.budget_level(now, gateways))
            .collect();
        let verdicts = decide(&parts, &levels);
        let mut verdict = verdicts.iter();
        let mut decided = self.verdicts.borrow_mut();
        failed.retain(|part| {
            let verdict = *verdict.next().unwrap_or(&PartVerdict::Wait);
            match verdict {
                PartVerdict::Wait => return true,
                PartVerdict::Send if !part.service.take_extra(now, gateways, 0.0) => return true,
                PartVerdict::Send | PartVerdict::GiveUp => decided.push((part.number, verdict)),
            }
            false
        });
        if !decided.is_empty() {
            self.decided.notify_waiters();
        }
    }

    /// Waits for the verdict on a failed part: whether it may send an attempt, which is paid for.
    pub(super) async fn may_send(&self, number: usize) -> bool {
        loop {
            if let Some(verdict) = self.take_verdict(number) {
                return verdict == PartVerdict::Send;
            }
            self.decided.notified().await;
        }
    }

    fn take_verdict(&self, number: usize) -> Option<PartVerdict> {
        let mut verdicts = self.verdicts.borrow_mut();
        let position = verdicts.iter().position(|(each, _)| *each == number)?;
        Some(verdicts.swap_remove(position).1)
    }
}

/// Decides which failed parts get another attempt, by what is known of all parts now.
pub(super) fn settle(accepted: &Accepted, query: &QueryAttempts) {
    let gateway = &accepted.gateway;
    let gateways = gateway.registry.sharer_count();
    query.settle(gateway.clock.now(), gateways);
}

/// One part's place in its query.
#[derive(Clone)]
pub(super) struct PartPlace {
    pub(super) query: Rc<QueryAttempts>,
    pub(super) number: usize,
}

/// Waits for the verdict on a part that has failed; for ever where it is not asked for.
pub(super) async fn verdict(place: Option<&PartPlace>) -> bool {
    match place {
        Some(place) => place.query.may_send(place.number).await,
        None => pending().await,
    }
}
