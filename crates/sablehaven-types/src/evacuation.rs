//! Zones whose servers are to get nothing new.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::ZoneName;

/// The zones whose servers are to get nothing new, as operators have ordered.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuatedZones {
    /// Grows with each change; receivers only go forward. 0 before the first order.
    pub revision: u64,
    /// The zones.
    pub zones: BTreeSet<ZoneName>,
}
