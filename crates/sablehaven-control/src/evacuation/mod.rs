//! Evacuated zones as a deterministic state machine: orders take effect one after the other.

use sablehaven_types::{EvacuatedZones, ZoneName};
use serde::{Deserialize, Serialize};

mod service;

pub use service::{EvacuationError, EvacuationService};

/// An operator's order about one zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationCommand {
    /// The zone.
    pub zone: ZoneName,
    /// Whether its servers are to get nothing new from now on, or work again.
    pub is_evacuated: bool,
}

/// The evacuated zones.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct EvacuationState {
    zones: EvacuatedZones,
}

impl EvacuationState {
    /// The zones that are evacuated.
    pub fn zones(&self) -> &EvacuatedZones {
        &self.zones
    }

    /// Applies a committed order, the log's entry `index`. One that says what holds already changes nothing.
    pub fn apply(&mut self, index: u64, order: EvacuationCommand) {
        let zones = &mut self.zones.zones;
        let is_new = if order.is_evacuated {
            zones.insert(order.zone)
        } else {
            zones.remove(&order.zone)
        };
        if is_new {
            self.zones.revision = index;
        }
    }
}
