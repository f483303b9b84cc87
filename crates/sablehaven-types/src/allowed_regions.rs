//! The regions in which a route's requests may be served.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::RegionName;

/// The regions in which a route's requests may be served; without any, every region may serve them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AllowedRegions(BTreeSet<RegionName>);

impl AllowedRegions {
    /// Whether every region may serve the requests.
    pub fn is_unrestricted(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether a region may serve the requests. `None` stands for a place whose region is not known: it
    /// may only where every region may.
    pub fn admit(&self, region: Option<&RegionName>) -> bool {
        self.is_unrestricted() || region.is_some_and(|region| self.0.contains(region))
    }

    /// The regions that are named.
    pub fn iter(&self) -> impl Iterator<Item = &RegionName> {
        self.0.iter()
    }
}

impl FromIterator<RegionName> for AllowedRegions {
    fn from_iter<Regions: IntoIterator<Item = RegionName>>(regions: Regions) -> Self {
        Self(regions.into_iter().collect())
    }
}
