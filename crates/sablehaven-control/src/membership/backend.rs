//! The state of one back end, derived from all signals about it.

use std::collections::BTreeMap;

use sablehaven_types::{AgentId, BackendRecord, BackendState, ObservationKind, ZoneName};
use serde::{Deserialize, Serialize};

use super::AgentObservation;

/// Maximum number of suspicions stored for one back end; more than are ever required for its removal.
const MAXIMUM_SUSPICIONS: usize = 64;

/// A back end and the signals about it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Backend {
    /// Its record in the latest list of the platform.
    listed: BackendRecord,
    /// The latest incarnation that the platform listed or an agent observed.
    incarnation: u64,
    /// The incarnation that reported itself as draining, if any.
    draining: Option<u64>,
    /// Suspicions of the current incarnation, by agent.
    suspicions: BTreeMap<AgentId, Suspicion>,
}

/// An agent's report that it cannot reach the back end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Suspicion {
    zone: Option<ZoneName>,
    at_ms: u64,
}

impl Backend {
    pub(super) fn new(listed: BackendRecord) -> Self {
        Self {
            incarnation: listed.incarnation,
            listed,
            draining: None,
            suspicions: BTreeMap::new(),
        }
    }

    pub(super) fn listed(&self) -> &BackendRecord {
        &self.listed
    }

    /// Replaces the listed record.
    pub(super) fn set_listed(&mut self, listed: BackendRecord) {
        self.update_incarnation(listed.incarnation);
        self.listed = listed;
    }

    /// Records a later incarnation. It is another server process, so all signals about the earlier one are discarded.
    fn update_incarnation(&mut self, incarnation: u64) {
        if incarnation <= self.incarnation {
            return;
        }
        self.incarnation = incarnation;
        self.draining = None;
        self.suspicions.clear();
    }

    /// Whether an observation is about this service, and about the current or a later incarnation.
    fn is_relevant(&self, observed: &AgentObservation) -> bool {
        let observation = &observed.observation;
        observation.service == self.listed.service && observation.incarnation >= self.incarnation
    }

    /// Whether an observation would change the state of the back end.
    pub(super) fn would_change(&self, observed: &AgentObservation, now_ms: u64) -> bool {
        if !self.is_relevant(observed) {
            return false;
        }
        if observed.observation.incarnation > self.incarnation {
            return true;
        }
        match observed.observation.kind {
            ObservationKind::Draining => self.draining.is_none(),
            ObservationKind::Reachable => !self.suspicions.is_empty(),
            ObservationKind::Unreachable => self.would_add_suspicion(&observed.agent, now_ms),
        }
    }

    /// Whether a suspicion of this agent would be stored. It is renewed only after half of its lifetime, to save log
    /// entries.
    fn would_add_suspicion(&self, agent: &AgentId, now_ms: u64) -> bool {
        match self.suspicions.get(agent) {
            Some(known) => known.at_ms + super::SUSPICION_LIFETIME_MS / 2 <= now_ms,
            None => self.suspicions.len() < MAXIMUM_SUSPICIONS,
        }
    }

    /// Applies an observation; an irrelevant one is ignored.
    pub(super) fn apply(&mut self, observed: AgentObservation, now_ms: u64) {
        if !self.is_relevant(&observed) {
            return;
        }
        self.update_incarnation(observed.observation.incarnation);
        match observed.observation.kind {
            ObservationKind::Draining => self.draining = Some(self.incarnation),
            ObservationKind::Reachable => self.suspicions.clear(),
            ObservationKind::Unreachable => self.add_suspicion(observed, now_ms),
        }
    }

    fn add_suspicion(&mut self, observed: AgentObservation, now_ms: u64) {
        let known = self.suspicions.contains_key(&observed.agent);
        if !known && self.suspicions.len() >= MAXIMUM_SUSPICIONS {
            return;
        }
        let suspicion = Suspicion {
            zone: observed.zone,
            at_ms: now_ms,
        };
        self.suspicions.insert(observed.agent, suspicion);
    }

    pub(super) fn has_suspicion_before(&self, oldest_kept_ms: u64) -> bool {
        self.suspicions
            .values()
            .any(|suspicion| suspicion.at_ms < oldest_kept_ms)
    }

    pub(super) fn drop_suspicions_before(&mut self, oldest_kept_ms: u64) {
        self.suspicions
            .retain(|_, suspicion| suspicion.at_ms >= oldest_kept_ms);
    }

    pub(super) fn suspecting_agents(&self) -> usize {
        self.suspicions.len()
    }

    pub(super) fn suspecting_zones(&self) -> usize {
        let zones = self.suspicions.values().map(|suspicion| &suspicion.zone);
        zones.collect::<std::collections::BTreeSet<_>>().len()
    }

    /// Whether it is leaving, by the platform's list or by its own report, whichever comes first.
    pub(super) fn is_leaving(&self) -> bool {
        self.listed.state == BackendState::Leaving || self.draining == Some(self.incarnation)
    }

    /// Returns the record for agents; `suspected` applies unless the back end is leaving.
    pub(super) fn record(&self, suspected: bool) -> BackendRecord {
        let state = if self.is_leaving() {
            BackendState::Leaving
        } else if suspected {
            BackendState::Suspected
        } else {
            BackendState::Live
        };
        BackendRecord {
            state,
            incarnation: self.incarnation,
            ..self.listed.clone()
        }
    }
}
