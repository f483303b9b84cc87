//! Evacuated zones, whose servers receive no new requests.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::ZoneName;

/// The zones that operators have evacuated: their servers receive no new requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuatedZones {
    /// Increases with each change; 0 before the first one. Receivers ignore lower revisions.
    pub revision: u64,
    /// The evacuated zones.
    pub zones: BTreeSet<ZoneName>,
}
