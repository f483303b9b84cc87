//! Caches agents' reports of draining back ends until control has committed the change.

use std::{collections::BTreeMap, time::Duration};

use sablehaven_types::{BackendId, BackendState, Observation, ObservationKind};

use crate::state::{RelayState, interest::Interest};

/// Maximum number of cached hints. Further ones are only reported to control.
const MAX_HINTS: usize = 10_000;

/// Observations of draining back ends, sent to agents before control has committed the change.
#[derive(Debug)]
pub struct HintCache {
    lifetime: Duration,
    hints: BTreeMap<BackendId, Hint>,
}

#[derive(Debug)]
struct Hint {
    observation: Observation,
    expires_at: Duration,
}

impl HintCache {
    /// Creates an empty cache. Each hint is sent to newly connected agents for `lifetime`.
    pub fn new(lifetime: Duration) -> Self {
        Self {
            lifetime,
            hints: BTreeMap::new(),
        }
    }

    /// Adds an observation of a draining back end. Returns `true` if it is new and must be sent to
    /// the other agents now.
    pub fn insert(&mut self, observation: &Observation, state: &RelayState, now: Duration) -> bool {
        if observation.kind != ObservationKind::Draining || !is_unconfirmed(observation, state) {
            return false;
        }
        let previous = self.hints.get(&observation.backend);
        if previous.is_some_and(|hint| hint.observation.incarnation >= observation.incarnation) {
            return false;
        }
        if self.hints.len() >= MAX_HINTS {
            return false;
        }
        let hint = Hint {
            observation: observation.clone(),
            expires_at: now + self.lifetime,
        };
        self.hints.insert(observation.backend.clone(), hint);
        true
    }

    /// Removes expired hints and hints that are superseded by the state from control.
    pub fn prune(&mut self, state: &RelayState, now: Duration) {
        self.hints
            .retain(|_, hint| hint.expires_at > now && is_unconfirmed(&hint.observation, state));
    }

    /// Hints about services in `interest`, to be sent to a newly connected agent.
    pub fn matching(&self, interest: &Interest) -> Vec<Observation> {
        let observations = self.hints.values().map(|hint| &hint.observation);
        let matching = observations.filter(|observation| interest.includes(&observation.service));
        matching.cloned().collect()
    }
}

/// Whether control still records this incarnation of the back end, or an earlier one, as live.
fn is_unconfirmed(observation: &Observation, state: &RelayState) -> bool {
    state.backend(&observation.backend).is_some_and(|record| {
        record.state == BackendState::Live && record.incarnation <= observation.incarnation
    })
}
