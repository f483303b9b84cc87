//! `fleet capacity`: the slopes of the capacity page, measured with hollow agents and hollow back
//! ends.
//!
//! A hollow agent is an agent's real subscription without the rest of the agent; a hollow back end
//! is a record on the platform's list without a server. Control replicas and relays are the real
//! processes, and every message is a real one.

mod agents;
mod backends;
mod hollow;
mod report;
mod sample;

pub use report::{CapacityReport, Slope, write};

use sablehaven_harness::Program;

use crate::{progress::Progress, world::FleetError};

/// Settings of a measurement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CapacitySettings {
    /// The largest number of hollow agents.
    pub most_agents: u32,
    /// The largest number of hollow back ends.
    pub most_backends: u32,
}

/// Measures every slope.
pub async fn run(
    settings: &CapacitySettings,
    program: &Program,
) -> Result<CapacityReport, FleetError> {
    let progress = Progress::default();
    let mut slopes = agents::measure(settings.most_agents, program, &progress).await?;
    slopes.extend(backends::measure(settings.most_backends, program, &progress).await?);
    Ok(CapacityReport { slopes })
}

/// Five sizes up to the largest, each twice the one before.
fn sizes(most: u32) -> Vec<u32> {
    const DOUBLINGS: u32 = 4;
    (0..=DOUBLINGS)
        .map(|doubling| (most >> (DOUBLINGS - doubling)).max(1))
        .collect()
}
