//! How far a back end is from the agent.

use sablehaven_types::Placement;

/// How far a back end is from the agent, nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// In the agent's own zone.
    Zone,
    /// In another zone of the agent's region (about 1 ms one way, by the brief).
    Region,
    /// In another region (about 10 ms one way, by the brief).
    Remote,
}

/// Every distance, nearest first.
pub const DISTANCES: [Distance; 3] = [Distance::Zone, Distance::Region, Distance::Remote];

impl Distance {
    /// The distance between two places.
    pub fn between(agent: &Placement, backend: &Placement) -> Self {
        if agent.region != backend.region {
            Self::Remote
        } else if agent.zone != backend.zone {
            Self::Region
        } else {
            Self::Zone
        }
    }

    /// The position in [`DISTANCES`].
    pub fn index(self) -> usize {
        self as usize
    }
}
