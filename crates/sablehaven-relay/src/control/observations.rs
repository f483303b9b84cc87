//! What agents saw of back ends, on its way to control.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use sablehaven_types::{AgentId, BackendId, Observation, ObservationKind};

/// Observations that wait, at most; more are dropped, agents see the same again.
const MAXIMUM_WAITING: usize = 16_384;

/// Observations in one message, at most.
const MAXIMUM_BATCH: usize = 1_024;

/// A back end's own word that it drains is enough once; the same from other agents is passed on
/// again only after this time, in case the first was lost on its way.
const DRAINING_REPEAT: Duration = Duration::from_secs(2);

/// Observations that wait for the next report to control; the latest of each agent on each back
/// end replaces earlier ones.
#[derive(Debug)]
pub struct ObservationQueue {
    interval: Duration,
    waiting: BTreeMap<(BackendId, AgentId), Observation>,
    draining: HashMap<BackendId, DrainingWord>,
    next_report_at: Duration,
}

#[derive(Debug)]
struct DrainingWord {
    incarnation: u64,
    passed_on_at: Duration,
}

impl ObservationQueue {
    /// An empty queue that gives a report at most once an `interval`.
    pub fn new(interval: Duration) -> Self {
        Self {
            interval,
            waiting: BTreeMap::new(),
            draining: HashMap::new(),
            next_report_at: Duration::ZERO,
        }
    }

    /// Adds an agent's observation.
    pub fn add(&mut self, agent: &AgentId, observation: Observation, now: Duration) {
        if self.waiting.len() >= MAXIMUM_WAITING || self.is_repeated(&observation, now) {
            return;
        }
        let key = (observation.backend.clone(), agent.clone());
        self.waiting.insert(key, observation);
    }

    /// When the next report is due; `None` while there is nothing to report.
    pub fn due_at(&self) -> Option<Duration> {
        (!self.waiting.is_empty()).then_some(self.next_report_at)
    }

    /// The next report.
    pub fn take(&mut self, now: Duration) -> Vec<(AgentId, Observation)> {
        self.next_report_at = now + self.interval;
        let mut report = Vec::new();
        while report.len() < MAXIMUM_BATCH {
            match self.waiting.pop_first() {
                Some(((_, agent), observation)) => report.push((agent, observation)),
                None => break,
            }
        }
        report
    }

    fn is_repeated(&mut self, observation: &Observation, now: Duration) -> bool {
        if observation.kind != ObservationKind::Draining {
            return false;
        }
        self.draining
            .retain(|_, word| now < word.passed_on_at + DRAINING_REPEAT);
        let known = self.draining.get(&observation.backend);
        if known.is_some_and(|word| word.incarnation >= observation.incarnation) {
            return true;
        }
        let word = DrainingWord {
            incarnation: observation.incarnation,
            passed_on_at: now,
        };
        self.draining.insert(observation.backend.clone(), word);
        false
    }
}
