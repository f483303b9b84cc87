//! Gathers what the agent saw of back ends into bounded, rate-limited reports.

use std::{collections::BTreeMap, time::Duration};

use sablehaven_types::{BackendId, Observation, ObservationKind};

/// Back ends with an observation that waits, at most; more are dropped, the router sees them again.
const MAXIMUM_WAITING: usize = 4_096;

/// Observations in one report, at most.
const MAXIMUM_REPORT: usize = 256;

/// Observations that wait for the next report; the latest of each back end replaces earlier ones.
#[derive(Debug)]
pub struct ObservationBuffer {
    interval: Duration,
    waiting: BTreeMap<BackendId, Observation>,
    next_report_at: Duration,
    dropped: u64,
}

impl ObservationBuffer {
    /// An empty buffer that gives a report at most once an `interval`.
    pub fn new(interval: Duration) -> Self {
        Self {
            interval,
            waiting: BTreeMap::new(),
            next_report_at: Duration::ZERO,
            dropped: 0,
        }
    }

    /// Adds an observation.
    pub fn add(&mut self, observation: Observation) {
        if let Some(earlier) = self.waiting.get_mut(&observation.backend) {
            if replaces(&observation, earlier) {
                *earlier = observation;
            }
            return;
        }
        if self.waiting.len() >= MAXIMUM_WAITING {
            self.dropped += 1;
            return;
        }
        self.waiting
            .insert(observation.backend.clone(), observation);
    }

    /// When the next report is due; `None` while there is nothing to report.
    pub fn due_at(&self) -> Option<Duration> {
        (!self.waiting.is_empty()).then_some(self.next_report_at)
    }

    /// The next report, once it is due.
    pub fn take(&mut self, now: Duration) -> Vec<Observation> {
        if self.waiting.is_empty() || now < self.next_report_at {
            return Vec::new();
        }
        self.next_report_at = now + self.interval;
        let mut report = Vec::new();
        while report.len() < MAXIMUM_REPORT {
            match self.waiting.pop_first() {
                Some((_, observation)) => report.push(observation),
                None => break,
            }
        }
        report
    }

    /// Observations that were dropped because too many waited.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}

/// A server that said it drains keeps that word until it starts again.
fn replaces(new: &Observation, old: &Observation) -> bool {
    if new.incarnation != old.incarnation {
        return new.incarnation > old.incarnation;
    }
    old.kind != ObservationKind::Draining
}
