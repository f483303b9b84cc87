//! `fleet capacity`: the slopes of the capacity page, measured with hollow agents and hollow back
//! ends.
//!
//! A hollow agent is an agent's real subscription without the rest of the agent; a hollow back end
//! is a record on the platform's list without a server. Control replicas, relays and one agent are
//! the real processes, and every message is a real one. Only [`subsets`] is computed: it calls the
//! agents' own choice of connections for every agent and server of the target.

mod agents;
mod backends;
mod bed;
mod claims;
mod events;
pub mod figure;
mod healing;
mod hollow;
mod latency;
mod lines;
mod load_average;
pub mod metrics;
mod part;
mod rates;
mod relays;
pub mod report;
mod routers;
mod storms;
pub mod subsets;
pub mod target;
mod usage;
mod whole;

pub use part::Part;
pub use report::{CapacityReport, Slope, SlopeSet};

use sablehaven_harness::Program;

use crate::{progress::Progress, world::FleetError};

/// Settings of a measurement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CapacitySettings {
    /// What is measured.
    pub parts: Vec<Part>,
    /// The largest number of hollow agents.
    pub most_agents: u32,
    /// The largest number of hollow back ends.
    pub most_backends: u32,
}

/// What every part needs.
struct Run<'a> {
    settings: &'a CapacitySettings,
    program: &'a Program,
    progress: Progress,
}

/// Measures the wanted parts into the report, in place of what it held of them.
pub async fn run(
    settings: &CapacitySettings,
    program: &Program,
    report: &mut CapacityReport,
) -> Result<(), FleetError> {
    let run = Run {
        settings,
        program,
        progress: Progress::default(),
    };
    for part in &settings.parts {
        match part {
            Part::Agents => report.replace(agents::measure(&run).await?),
            Part::Backends => report.replace(backends::measure(&run).await?),
            Part::Relays => report.replace(relays::measure(&run).await?),
            Part::Changes => report.replace(rates::measure_changes(&run).await?),
            Part::Membership => report.replace(rates::measure_membership(&run).await?),
            Part::Events => report.replace(events::measure(&run).await?),
            Part::Claims => report.replace(claims::measure(&run).await?),
            Part::Starts => report.replace(storms::measure_starts(&run).await?),
            Part::Moves => report.replace(storms::measure_moves(&run).await?),
            Part::Healing => report.replace(healing::measure(&run).await?),
            Part::Latency => report.replace(latency::measure(&run).await?),
            Part::Whole => report.replace(whole::measure(&run).await?),
            Part::Routers => report.replace(routers::measure()),
            Part::Subsets => report.subsets = subsets::measure(),
        }
    }
    Ok(())
}

/// Five sizes up to the largest, each twice the one before.
fn sizes(most: u32) -> [u32; 5] {
    [4, 3, 2, 1, 0].map(|halvings| (most >> halvings).max(1))
}
