//! One back end with every signal about it.

use std::collections::BTreeMap;

use sablehaven_types::{AgentId, BackendRecord, BackendState, ObservationKind, ZoneName};
use serde::{Deserialize, Serialize};

use super::AgentObservation;

/// Agents whose suspicion of one back end is kept; above the quorum that is ever needed.
const SUSPICION_LIMIT: usize = 64;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Backend {
    /// As the platform last listed it.
    listed: BackendRecord,
    /// The latest start that the platform or an agent saw.
    incarnation: u64,
    /// The start that said of itself that it drains.
    draining: Option<u64>,
    suspicions: BTreeMap<AgentId, Suspicion>,
}

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

    pub(super) fn list(&mut self, listed: BackendRecord) {
        self.see_incarnation(listed.incarnation);
        self.listed = listed;
    }

    /// A later start is another server: what was known of the earlier one is void.
    fn see_incarnation(&mut self, incarnation: u64) {
        if incarnation <= self.incarnation {
            return;
        }
        self.incarnation = incarnation;
        self.draining = None;
        self.suspicions.clear();
    }

    fn concerns(&self, observed: &AgentObservation) -> bool {
        let observation = &observed.observation;
        observation.service == self.listed.service && observation.incarnation >= self.incarnation
    }

    pub(super) fn would_change(&self, observed: &AgentObservation, now_ms: u64) -> bool {
        if !self.concerns(observed) {
            return false;
        }
        if observed.observation.incarnation > self.incarnation {
            return true;
        }
        match observed.observation.kind {
            ObservationKind::Draining => self.draining.is_none(),
            ObservationKind::Reachable => !self.suspicions.is_empty(),
            ObservationKind::Unreachable => self.is_new_suspicion(&observed.agent, now_ms),
        }
    }

    /// A suspicion is renewed only when half of its lifetime is over, to spare the log.
    fn is_new_suspicion(&self, agent: &AgentId, now_ms: u64) -> bool {
        match self.suspicions.get(agent) {
            Some(known) => known.at_ms + super::SUSPICION_LIFETIME_MS / 2 <= now_ms,
            None => self.suspicions.len() < SUSPICION_LIMIT,
        }
    }

    pub(super) fn observe(&mut self, observed: AgentObservation, now_ms: u64) {
        if !self.concerns(&observed) {
            return;
        }
        self.see_incarnation(observed.observation.incarnation);
        match observed.observation.kind {
            ObservationKind::Draining => self.draining = Some(self.incarnation),
            ObservationKind::Reachable => self.suspicions.clear(),
            ObservationKind::Unreachable => self.suspect(observed, now_ms),
        }
    }

    fn suspect(&mut self, observed: AgentObservation, now_ms: u64) {
        let known = self.suspicions.contains_key(&observed.agent);
        if !known && self.suspicions.len() >= SUSPICION_LIMIT {
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

    /// Leaving by the platform's word or its own, whichever came first.
    pub(super) fn is_leaving(&self) -> bool {
        self.listed.state == BackendState::Leaving || self.draining == Some(self.incarnation)
    }

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
