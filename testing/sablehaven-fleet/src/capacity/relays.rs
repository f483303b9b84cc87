//! Slopes over the number of relays, with the same number of agents spread over them.

use std::time::{Duration, Instant};

use super::{
    Part, Run, SlopeSet,
    agents::add_times,
    bed::Bed,
    figure,
    hollow::HollowAgents,
    usage::{at_rest, milliseconds, read_process},
};
use crate::{experiment::capacity_plan, world::FleetError};

/// Numbers of relays; the last two are beyond the target's 13.
const RELAYS: [u32; 5] = [1, 2, 4, 8, 16];

/// Agents over all relays.
const AGENTS: u32 = 480;

/// Time that is measured at rest.
const REST: Duration = Duration::from_secs(4);

/// Changes that are measured with each number.
const CHANGES: u32 = 10;

/// Pause between changes.
const CHANGE_SPACING: Duration = Duration::from_millis(200);

pub(super) async fn measure(run: &Run<'_>) -> Result<SlopeSet, FleetError> {
    let mut slopes = SlopeSet::new(Part::Relays, "relays");
    for relays in RELAYS {
        run.progress.show(&format!("{relays} relays"));
        let mut plan = capacity_plan(0)?;
        plan.size.relays_per_region = relays;
        let bed = Bed::start(plan, run.program).await?;
        measure_one(&mut slopes, &bed).await?;
    }
    Ok(slopes)
}

async fn measure_one(slopes: &mut SlopeSet, bed: &Bed) -> Result<(), FleetError> {
    let x = bed.deployment.relays.len() as f64;
    let agents = start_agents(bed).await?;
    // Every group of agents is the same; the links of the first one stand for all.
    let first = &agents[0];
    let rest = at_rest(bed, first, REST).await?;
    let leader = rest.core_per_mille(rest.leader_ms);
    slopes.add(figure::LEADER_REST, x, leader);
    let link = rest.kilobytes_per_second(rest.control_link_bytes);
    slopes.add(figure::CONTROL_LINK_REST, x, link);
    slopes.add(figure::CONTROL_MEMORY, x, rest.memory.control);
    let before = read_process(bed.leader().await?)?;
    let times = change_everywhere(bed, &agents).await?;
    let after = read_process(bed.leader().await?)?;
    let used = milliseconds(before, after);
    let length: Duration = times.iter().sum::<Duration>() + CHANGE_SPACING * CHANGES;
    let at_rest = leader * length.as_secs_f64();
    let per_change = (used - at_rest) / f64::from(CHANGES);
    slopes.add(figure::LEADER_CHANGE, x, per_change);
    add_times(slopes, x, &times);
    for group in agents {
        group.stop().await;
    }
    Ok(())
}

/// The same number of agents on every relay.
async fn start_agents(bed: &Bed) -> Result<Vec<HollowAgents>, FleetError> {
    let relays = bed.deployment.relays.len();
    let each = AGENTS / relays as u32;
    let mut groups = Vec::new();
    for relay in 0..relays {
        let mut group = bed.hollow(&[relay])?;
        group.grow_to(each).await;
        groups.push(group);
    }
    for group in &groups {
        bed.settle(group).await?;
    }
    Ok(groups)
}

async fn change_everywhere(
    bed: &Bed,
    agents: &[HollowAgents],
) -> Result<Vec<Duration>, FleetError> {
    let mut times = Vec::new();
    for number in 0..CHANGES {
        let version = bed.change(number).await?;
        let start = Instant::now();
        for group in agents {
            group.wait_for(version).await?;
        }
        times.push(start.elapsed());
        tokio::time::sleep(CHANGE_SPACING).await;
    }
    Ok(times)
}
