//! The evacuated zones as a deterministic state machine, which applies commands in log order.

use sablehaven_types::{EvacuatedZones, ZoneName};
use serde::{Deserialize, Serialize};

mod service;

pub use service::{EvacuationError, EvacuationService};

/// An operator's command to start or end the evacuation of a zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationCommand {
    /// The zone.
    pub zone: ZoneName,
    /// `true` to evacuate the zone, so that its servers get no new requests; `false` to let them get requests again.
    pub is_evacuated: bool,
}

/// The evacuated zones.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct EvacuationState {
    zones: EvacuatedZones,
}

impl EvacuationState {
    /// The zones that are evacuated now.
    pub fn zones(&self) -> &EvacuatedZones {
        &self.zones
    }

    /// Applies the committed command of log entry `index`. A command that describes the present state has no effect.
    pub fn apply(&mut self, index: u64, command: EvacuationCommand) {
        let zones = &mut self.zones.zones;
        let is_changed = if command.is_evacuated {
            zones.insert(command.zone)
        } else {
            zones.remove(&command.zone)
        };
        if is_changed {
            self.zones.revision = index;
        }
    }
}
