//! The set of regions in which the requests of a route or tenant may be served.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::RegionName;

/// The set of regions in which the requests of a route or tenant may be served. An empty set allows every region.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AllowedRegions(BTreeSet<RegionName>);

impl AllowedRegions {
    /// Returns whether every region may serve the requests.
    pub fn is_unrestricted(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns whether a region may serve the requests. `None` is a server whose region is unknown; it may serve them
    /// only if every region may.
    pub fn admit(&self, region: Option<&RegionName>) -> bool {
        self.is_unrestricted() || region.is_some_and(|region| self.0.contains(region))
    }

    /// Iterates over the regions in the set, in ascending order. An unrestricted set yields none.
    pub fn iter(&self) -> impl Iterator<Item = &RegionName> {
        self.0.iter()
    }
}

impl FromIterator<RegionName> for AllowedRegions {
    fn from_iter<Regions: IntoIterator<Item = RegionName>>(regions: Regions) -> Self {
        Self(regions.into_iter().collect())
    }
}
