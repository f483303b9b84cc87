//! Back ends that agents have reported as draining and that control has not yet marked.

use std::{collections::BTreeMap, time::Duration};

use sablehaven_types::{BackendId, BackendState, Observation, ObservationKind};

use crate::state::{RelayState, interest::Interest};

/// Hints kept at most; more are only reported to control.
const MAXIMUM_HINTS: usize = 10_000;

/// The hints that are in force at this relay.
#[derive(Debug)]
pub struct HintBoard {
    lifetime: Duration,
    hints: BTreeMap<BackendId, Hint>,
}

#[derive(Debug)]
struct Hint {
    observation: Observation,
    expires_at: Duration,
}

impl HintBoard {
    /// An empty board; a hint is repeated to new agents for `lifetime`.
    pub fn new(lifetime: Duration) -> Self {
        Self {
            lifetime,
            hints: BTreeMap::new(),
        }
    }

    /// Takes an observation; returns whether other agents must hear of it now.
    pub fn offer(&mut self, observation: &Observation, state: &RelayState, now: Duration) -> bool {
        if observation.kind != ObservationKind::Draining || !concerns(observation, state) {
            return false;
        }
        let known = self.hints.get(&observation.backend);
        if known.is_some_and(|hint| hint.observation.incarnation >= observation.incarnation) {
            return false;
        }
        if self.hints.len() >= MAXIMUM_HINTS {
            return false;
        }
        let hint = Hint {
            observation: observation.clone(),
            expires_at: now + self.lifetime,
        };
        self.hints.insert(observation.backend.clone(), hint);
        true
    }

    /// Drops hints that control has answered or whose time has passed.
    pub fn prune(&mut self, state: &RelayState, now: Duration) {
        self.hints
            .retain(|_, hint| hint.expires_at > now && concerns(&hint.observation, state));
    }

    /// The hints that a new agent must hear of.
    pub fn for_interest(&self, interest: &Interest) -> Vec<Observation> {
        let observations = self.hints.values().map(|hint| &hint.observation);
        let included = observations.filter(|observation| interest.includes(&observation.service));
        included.cloned().collect()
    }
}

/// Whether control still records the same start of the server, or an earlier one, as live.
fn concerns(observation: &Observation, state: &RelayState) -> bool {
    state.backend(&observation.backend).is_some_and(|record| {
        record.state == BackendState::Live && record.incarnation <= observation.incarnation
    })
}
