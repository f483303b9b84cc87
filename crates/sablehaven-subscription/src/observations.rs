//! Collects the agent's observations of back ends into bounded, rate-limited reports.

use std::{collections::BTreeMap, time::Duration};

use sablehaven_types::{BackendId, Observation, ObservationKind};

/// Maximum number of back ends with a pending observation. Further observations are dropped; the
/// router makes them again.
const MAXIMUM_PENDING: usize = 4_096;

/// Maximum number of observations in one report.
const MAXIMUM_REPORT_LENGTH: usize = 256;

/// Observations pending for the next report. Only one is kept per back end, in general the latest.
#[derive(Debug)]
pub struct ObservationBuffer {
    interval: Duration,
    pending: BTreeMap<BackendId, Observation>,
    next_report_at: Duration,
    dropped: u64,
}

impl ObservationBuffer {
    /// Creates an empty buffer that returns at most one report per `interval`.
    pub fn new(interval: Duration) -> Self {
        Self {
            interval,
            pending: BTreeMap::new(),
            next_report_at: Duration::ZERO,
            dropped: 0,
        }
    }

    /// Adds an observation.
    pub fn add(&mut self, observation: Observation) {
        if let Some(pending) = self.pending.get_mut(&observation.backend) {
            if should_replace(&observation, pending) {
                *pending = observation;
            }
            return;
        }
        if self.pending.len() >= MAXIMUM_PENDING {
            self.dropped += 1;
            return;
        }
        self.pending
            .insert(observation.backend.clone(), observation);
    }

    /// Returns when the next report is due, or `None` if there is nothing to report.
    pub fn next_due_at(&self) -> Option<Duration> {
        (!self.pending.is_empty()).then_some(self.next_report_at)
    }

    /// Takes the next report. It is empty if no report is due.
    pub fn take(&mut self, now: Duration) -> Vec<Observation> {
        if self.pending.is_empty() || now < self.next_report_at {
            return Vec::new();
        }
        self.next_report_at = now + self.interval;
        let mut report = Vec::new();
        while report.len() < MAXIMUM_REPORT_LENGTH {
            match self.pending.pop_first() {
                Some((_, observation)) => report.push(observation),
                None => break,
            }
        }
        report
    }

    /// Returns the number of observations dropped because too many were pending.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}

/// Returns whether `new` replaces the pending observation `old`. An observation that a server is
/// draining is kept until the server restarts.
fn should_replace(new: &Observation, old: &Observation) -> bool {
    if new.incarnation != old.incarnation {
        return new.incarnation > old.incarnation;
    }
    old.kind != ObservationKind::Draining
}
