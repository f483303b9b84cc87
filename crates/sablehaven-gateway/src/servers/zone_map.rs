//! Maps zones to regions and to their distance from this gateway.

use std::collections::BTreeMap;

use sablehaven_types::{Distance, RegionName, ZoneName};

use crate::Config;

/// The regions of all zones, and this gateway's own zone and region.
pub(super) struct ZoneMap {
    zone: ZoneName,
    region: RegionName,
    regions: BTreeMap<ZoneName, RegionName>,
}

impl ZoneMap {
    pub(super) fn new(config: &Config) -> Self {
        Self {
            zone: config.placement.zone.clone(),
            region: config.placement.region.clone(),
            regions: config.regions.clone(),
        }
    }

    /// The zones in the settings.
    pub(super) fn zones(&self) -> impl Iterator<Item = &ZoneName> {
        self.regions.keys()
    }

    /// The region of a zone, if known.
    pub(super) fn region(&self, zone: &ZoneName) -> Option<&RegionName> {
        if *zone == self.zone {
            return Some(&self.region);
        }
        self.regions.get(zone)
    }

    /// The distance of a zone. A zone of unknown region counts as remote.
    pub(super) fn distance(&self, zone: &ZoneName) -> Distance {
        if *zone == self.zone {
            return Distance::Zone;
        }
        match self.regions.get(zone) {
            Some(region) if *region == self.region => Distance::Region,
            _ => Distance::Remote,
        }
    }
}
