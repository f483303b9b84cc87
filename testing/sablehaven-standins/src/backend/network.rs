//! Latencies between back ends and those who call them.

use std::{
    collections::BTreeMap,
    net::IpAddr,
    sync::{Arc, PoisonError, RwLock},
    time::Duration,
};

use sablehaven_types::Placement;
use serde::{Deserialize, Serialize};

/// Where callers stand, by the address from which they connect, and how far places are apart.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NetworkMap {
    /// One-way latency between zones of a region, in milliseconds.
    pub between_zones_ms: u64,
    /// One-way latency between regions, in milliseconds.
    pub between_regions_ms: u64,
    /// Where callers stand; others are near everything.
    pub sources: BTreeMap<IpAddr, Placement>,
}

impl NetworkMap {
    /// The one-way latency between two places.
    pub fn between(&self, one: &Placement, other: &Placement) -> Duration {
        let milliseconds = if one.region != other.region {
            self.between_regions_ms
        } else if one.zone != other.zone {
            self.between_zones_ms
        } else {
            0
        };
        Duration::from_millis(milliseconds)
    }

    fn from(&self, source: IpAddr, place: &Placement) -> Duration {
        let caller = self.sources.get(&source);
        caller.map_or(Duration::ZERO, |caller| self.between(caller, place))
    }
}

/// The map of one host, which may be replaced while it runs; cheap to clone.
#[derive(Clone, Debug, Default)]
pub(crate) struct Network(Arc<RwLock<NetworkMap>>);

impl Network {
    pub(crate) fn replace(&self, map: NetworkMap) {
        *self.0.write().unwrap_or_else(PoisonError::into_inner) = map;
    }

    /// The one-way latency between a caller's address and a place.
    pub(crate) fn one_way(&self, source: Option<IpAddr>, place: &Placement) -> Duration {
        let map = self.0.read().unwrap_or_else(PoisonError::into_inner);
        source.map_or(Duration::ZERO, |source| map.from(source, place))
    }
}
