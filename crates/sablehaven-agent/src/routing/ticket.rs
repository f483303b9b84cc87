//! One sent attempt, reported to the router exactly once however it ends.

use std::{sync::Arc, time::Instant};

use sablehaven_routing::{AttemptOutcome, AttemptResult, LoadReport};
use sablehaven_types::BackendId;

use super::SharedRouter;
use crate::transport::ServerSignals;

/// An attempt in flight. Dropping the ticket reports the attempt as cancelled, or as failed if its
/// deadline has passed: a back end that lets deadlines pass must not look merely cancelled.
#[derive(Debug)]
pub struct AttemptGuard {
    router: Arc<SharedRouter>,
    backend: BackendId,
    sent_at: Instant,
    deadline: Instant,
    is_unreported: bool,
}

impl AttemptGuard {
    /// An attempt that was just reported as sent.
    pub fn new(router: Arc<SharedRouter>, backend: BackendId, deadline: Instant) -> Self {
        Self {
            router,
            backend,
            sent_at: Instant::now(),
            deadline,
            is_unreported: true,
        }
    }

    /// Reports how the attempt ended.
    pub fn finish(mut self, outcome: AttemptOutcome, signals: ServerSignals) {
        self.report(outcome, signals);
    }

    fn report(&mut self, outcome: AttemptOutcome, signals: ServerSignals) {
        self.is_unreported = false;
        let load = signals.load.map(|(running_and_queued, age)| LoadReport {
            running_and_queued,
            age,
        });
        let result = AttemptResult {
            outcome,
            latency: self.sent_at.elapsed(),
            load,
            incarnation: signals.incarnation,
        };
        self.router.finished(&self.backend, result);
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if !self.is_unreported {
            return;
        }
        let outcome = if Instant::now() >= self.deadline {
            AttemptOutcome::Failed
        } else {
            AttemptOutcome::Cancelled
        };
        self.report(outcome, ServerSignals::default());
    }
}
