//! The parts of the measurement, which can be run one by one.

use serde::{Deserialize, Serialize};

/// One part of the measurement; each takes less than a minute or two.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Part {
    /// Over the agents behind one relay.
    Agents,
    /// Over the back ends that the shared state records.
    Backends,
    /// Over the relays.
    Relays,
    /// Over the configuration changes a second.
    Changes,
    /// Over the back ends that change a second.
    Membership,
    /// Over the back ends that change at once.
    Events,
    /// Over the ledger calls a second.
    Claims,
    /// Over the new agents that come at once.
    Starts,
    /// Over the agents whose relay dies.
    Moves,
    /// Over the changes that a cut-off relay missed.
    Healing,
    /// Over the agents, with the deployment's latencies.
    Latency,
    /// Over the agents, with the target's numbers of relays and control replicas.
    Whole,
    /// Over the servers of one service, in an agent's router.
    Routers,
    /// Computed: connections under subsetting.
    Subsets,
}

impl Part {
    /// Every part, in the order in which they run.
    pub const ALL: [Self; 14] = [
        Self::Agents,
        Self::Backends,
        Self::Relays,
        Self::Changes,
        Self::Membership,
        Self::Events,
        Self::Claims,
        Self::Starts,
        Self::Moves,
        Self::Healing,
        Self::Latency,
        Self::Whole,
        Self::Routers,
        Self::Subsets,
    ];

    /// The name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::Agents => "agents",
            Self::Backends => "backends",
            Self::Relays => "relays",
            Self::Changes => "changes",
            Self::Membership => "membership",
            Self::Events => "events",
            Self::Claims => "claims",
            Self::Starts => "starts",
            Self::Moves => "moves",
            Self::Healing => "healing",
            Self::Latency => "latency",
            Self::Whole => "whole",
            Self::Routers => "routers",
            Self::Subsets => "subsets",
        }
    }

    /// The part of this name.
    pub fn of_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|part| part.name() == name)
    }
}
