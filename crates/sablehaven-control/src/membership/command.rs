//! What membership commands carry.

use std::collections::BTreeSet;

use sablehaven_types::{AgentId, BackendId, BackendRecord, Observation, ZoneName};
use serde::{Deserialize, Serialize};

/// What changed in the platform's list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformUpdate {
    /// Machines that are new or listed otherwise than before.
    pub machines: Vec<BackendRecord>,
    /// Machines that the list no longer holds.
    pub removed: BTreeSet<BackendId>,
}

impl PlatformUpdate {
    /// Whether nothing changed.
    pub fn is_empty(&self) -> bool {
        self.machines.is_empty() && self.removed.is_empty()
    }
}

/// What one agent saw.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgentObservation {
    /// The agent.
    pub agent: AgentId,
    /// Where it runs, if known.
    pub zone: Option<ZoneName>,
    /// What it saw.
    pub observation: Observation,
}

/// What agents saw since the last batch; an empty batch only drops suspicions that expired.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObservationBatch {
    /// The proposer's time, in milliseconds since the Unix epoch.
    pub proposed_at_ms: u64,
    /// The observations, in order of arrival.
    pub observations: Vec<AgentObservation>,
}

/// How many agents watch a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceWatchers {
    /// Agents, rounded up to a power of two.
    pub agents: u32,
    /// Zones in which they run.
    pub zones: u32,
}
