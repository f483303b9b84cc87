//! Reports the result of each sent attempt to the router exactly once, also if it is cancelled.

use std::{sync::Arc, time::Instant};

use sablehaven_routing::{AttemptOutcome, AttemptResult, LoadReport};
use sablehaven_types::BackendId;

use super::SharedRouter;
use crate::transport::ServerSignals;

/// Guard of an attempt in flight.
///
/// Dropping the guard reports the attempt as cancelled, or as failed if its deadline has passed. A
/// back end that exceeds deadlines would otherwise look healthy, with cancelled attempts only.
#[derive(Debug)]
pub struct AttemptGuard {
    router: Arc<SharedRouter>,
    backend: BackendId,
    sent_at: Instant,
    deadline: Instant,
    is_in_flight: bool,
}

impl AttemptGuard {
    /// Creates the guard of an attempt that has just been reported to the router as sent.
    pub fn new(router: Arc<SharedRouter>, backend: BackendId, deadline: Instant) -> Self {
        Self {
            router,
            backend,
            sent_at: Instant::now(),
            deadline,
            is_in_flight: true,
        }
    }

    /// Reports the result of the attempt.
    pub fn finish(mut self, outcome: AttemptOutcome, signals: ServerSignals) {
        self.report(outcome, signals);
    }

    fn report(&mut self, outcome: AttemptOutcome, signals: ServerSignals) {
        self.is_in_flight = false;
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
        if !self.is_in_flight {
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
