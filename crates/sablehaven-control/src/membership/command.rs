//! The contents of membership commands.

use std::collections::BTreeSet;

use sablehaven_types::{AgentId, BackendId, BackendRecord, Observation, ZoneName};
use serde::{Deserialize, Serialize};

/// The changes in the platform's list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformUpdate {
    /// Machines that are new or whose record has changed.
    pub machines: Vec<BackendRecord>,
    /// Machines that are no longer listed.
    pub removed: BTreeSet<BackendId>,
}

impl PlatformUpdate {
    /// Whether there are no changes.
    pub fn is_empty(&self) -> bool {
        self.machines.is_empty() && self.removed.is_empty()
    }
}

/// An observation of one agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentObservation {
    /// The agent.
    pub agent: AgentId,
    /// The zone in which it runs, if known.
    pub zone: Option<ZoneName>,
    /// Its observation.
    pub observation: Observation,
}

/// Observations of agents since the last batch. An empty batch only drops expired suspicions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObservationBatch {
    /// The proposer's clock, in milliseconds since the Unix epoch.
    pub proposed_at_ms: u64,
    /// The observations, in order of arrival.
    pub observations: Vec<AgentObservation>,
}

/// How many agents watch a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceWatchers {
    /// The number of agents, rounded up to a power of two.
    pub agents: u32,
    /// The number of zones in which they run.
    pub zones: u32,
}
