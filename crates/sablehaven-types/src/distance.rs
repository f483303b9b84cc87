//! The network distance between two processes.

use crate::Placement;

/// The network distance between two processes. Variants are ordered from nearest to farthest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// Same zone.
    Zone,
    /// Different zones of the same region, with a one-way latency of about 1 ms.
    Region,
    /// Different regions, with a one-way latency of about 10 ms.
    Remote,
}

/// Every distance, from nearest to farthest.
pub const DISTANCES: [Distance; 3] = [Distance::Zone, Distance::Region, Distance::Remote];

impl Distance {
    /// Returns the distance between two placements.
    pub fn between(one: &Placement, other: &Placement) -> Self {
        if one.region != other.region {
            Self::Remote
        } else if one.zone != other.zone {
            Self::Region
        } else {
            Self::Zone
        }
    }

    /// Returns the name used in metric labels.
    pub fn name(self) -> &'static str {
        match self {
            Self::Zone => "zone",
            Self::Region => "region",
            Self::Remote => "remote",
        }
    }

    /// Returns the index in [`DISTANCES`].
    pub fn index(self) -> usize {
        self as usize
    }
}
