//! How far two processes are from each other.

use crate::Placement;

/// How far a process is from another, nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// In the same zone.
    Zone,
    /// In another zone of the same region (about 1 ms one way, by the brief).
    Region,
    /// In another region (about 10 ms one way, by the brief).
    Remote,
}

/// Every distance, nearest first.
pub const DISTANCES: [Distance; 3] = [Distance::Zone, Distance::Region, Distance::Remote];

impl Distance {
    /// The distance between two places.
    pub fn between(one: &Placement, other: &Placement) -> Self {
        if one.region != other.region {
            Self::Remote
        } else if one.zone != other.zone {
            Self::Region
        } else {
            Self::Zone
        }
    }

    /// The name that metrics use.
    pub fn name(self) -> &'static str {
        match self {
            Self::Zone => "zone",
            Self::Region => "region",
            Self::Remote => "remote",
        }
    }

    /// The position in [`DISTANCES`].
    pub fn index(self) -> usize {
        self as usize
    }
}
