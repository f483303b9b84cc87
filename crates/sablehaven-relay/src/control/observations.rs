//! Queues agents' observations of back ends for control.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use sablehaven_types::{AgentId, BackendId, Observation, ObservationKind};

/// Maximum number of queued observations. Further ones are dropped, since agents will observe the
/// same condition again.
const MAX_QUEUED_OBSERVATIONS: usize = 16_384;

/// Maximum number of observations in one message.
const MAX_REPORT_OBSERVATIONS: usize = 1_024;

/// Minimum interval between forwarded `Draining` observations of the same incarnation of a back
/// end. One is enough, since the back end itself announces that it drains; it is repeated in case
/// the first was lost.
const DRAINING_REPEAT_INTERVAL: Duration = Duration::from_secs(2);

/// Observations queued for the next report to control. For each agent and back end, a later
/// observation replaces an earlier one.
#[derive(Debug)]
pub struct ObservationQueue {
    report_interval: Duration,
    queued: BTreeMap<(BackendId, AgentId), Observation>,
    draining_reports: HashMap<BackendId, DrainingReport>,
    next_report_at: Duration,
}

#[derive(Debug)]
struct DrainingReport {
    incarnation: u64,
    forwarded_at: Duration,
}

impl ObservationQueue {
    /// Creates an empty queue. Reports are at least `report_interval` apart.
    pub fn new(report_interval: Duration) -> Self {
        Self {
            report_interval,
            queued: BTreeMap::new(),
            draining_reports: HashMap::new(),
            next_report_at: Duration::ZERO,
        }
    }

    /// Queues an agent's observation, unless it is a duplicate or the queue is full.
    pub fn add(&mut self, agent: &AgentId, observation: Observation, now: Duration) {
        if self.queued.len() >= MAX_QUEUED_OBSERVATIONS || self.is_duplicate(&observation, now) {
            return;
        }
        let key = (observation.backend.clone(), agent.clone());
        self.queued.insert(key, observation);
    }

    /// Time at which the next report is due, or `None` if there is nothing to report.
    pub fn due_at(&self) -> Option<Duration> {
        (!self.queued.is_empty()).then_some(self.next_report_at)
    }

    /// Takes the next report.
    pub fn take_report(&mut self, now: Duration) -> Vec<(AgentId, Observation)> {
        self.next_report_at = now + self.report_interval;
        let mut report = Vec::new();
        while report.len() < MAX_REPORT_OBSERVATIONS {
            match self.queued.pop_first() {
                Some(((_, agent), observation)) => report.push((agent, observation)),
                None => break,
            }
        }
        report
    }

    fn is_duplicate(&mut self, observation: &Observation, now: Duration) -> bool {
        if observation.kind != ObservationKind::Draining {
            return false;
        }
        self.draining_reports
            .retain(|_, report| now < report.forwarded_at + DRAINING_REPEAT_INTERVAL);
        let previous = self.draining_reports.get(&observation.backend);
        if previous.is_some_and(|report| report.incarnation >= observation.incarnation) {
            return true;
        }
        let report = DrainingReport {
            incarnation: observation.incarnation,
            forwarded_at: now,
        };
        self.draining_reports
            .insert(observation.backend.clone(), report);
        false
    }
}
