//! Slopes over the number of agents behind one relay.

use std::time::Duration;

use super::{
    Part, Run, SlopeSet,
    bed::Bed,
    figure,
    hollow::HollowAgents,
    sizes,
    usage::{Usage, at_rest, during},
};
use crate::{experiment::capacity_plan, measure::statistics::Spread, world::FleetError};

/// Time that is measured at rest.
const REST: Duration = Duration::from_secs(5);

/// Changes that are measured at each size.
const CHANGES: u32 = 10;

/// Pause between changes: all reports of one change have arrived before the next.
const CHANGE_SPACING: Duration = Duration::from_millis(200);

/// Agents that have just started ask for leases more often than at rest.
const SETTLE: Duration = Duration::from_secs(2);

pub(super) async fn measure(run: &Run<'_>) -> Result<SlopeSet, FleetError> {
    let bed = Bed::start(capacity_plan(0)?, run.program).await?;
    let mut hollow = bed.hollow(&[0])?;
    let mut slopes = SlopeSet::new(Part::Agents, "agents");
    for count in sizes(run.settings.most_agents) {
        run.progress
            .show(&format!("{count} hollow agents behind one relay"));
        hollow.grow_to(count).await;
        bed.settle(&hollow).await?;
        tokio::time::sleep(SETTLE).await;
        let rest = at_rest(&bed, &hollow, REST).await?;
        add_rest(&mut slopes, f64::from(count), &rest);
        let (usage, times) = during(&bed, &hollow, change(&bed, &hollow, CHANGES)).await?;
        add_changes(&mut slopes, f64::from(count), &rest, &usage, &times);
    }
    hollow.stop().await;
    Ok(slopes)
}

pub(super) fn add_rest(slopes: &mut SlopeSet, x: f64, rest: &Usage) {
    let processor = [
        (figure::RELAY_REST, rest.relay_ms),
        (figure::LEADER_REST, rest.leader_ms),
        (figure::HOLLOW_REST, rest.own_ms),
        (figure::AGENT_REST, rest.agent_ms),
    ];
    for (figure, milliseconds) in processor {
        slopes.add(figure, x, rest.core_per_mille(milliseconds));
    }
    let bytes = [
        (figure::LINK_REST, rest.link_bytes),
        (figure::CONTROL_LINK_REST, rest.control_link_bytes),
    ];
    for (figure, bytes) in bytes {
        slopes.add(figure, x, rest.kilobytes_per_second(bytes));
    }
    let memory = [
        (figure::RELAY_MEMORY, rest.memory.relay),
        (figure::CONTROL_MEMORY, rest.memory.control),
        (figure::HOLLOW_MEMORY, rest.memory.own),
        (figure::AGENT_MEMORY, rest.memory.agent),
    ];
    for (figure, megabytes) in memory {
        slopes.add(figure, x, megabytes);
    }
}

/// Makes changes one after the other; gives the time of each until the last agent had it.
pub(super) async fn change(
    bed: &Bed,
    hollow: &HollowAgents,
    changes: u32,
) -> Result<Vec<Duration>, FleetError> {
    let mut times = Vec::new();
    for number in 0..changes {
        let version = bed.change(number).await?;
        times.push(hollow.wait_for(version).await?);
        tokio::time::sleep(CHANGE_SPACING).await;
    }
    Ok(times)
}

/// Adds the cost of one change: what is used at rest is taken off.
pub(super) fn add_changes(
    slopes: &mut SlopeSet,
    x: f64,
    rest: &Usage,
    usage: &Usage,
    times: &[Duration],
) {
    let rests = usage.length.as_secs_f64() / rest.length.as_secs_f64();
    let changes = times.len() as f64;
    let per_change = |used: f64, at_rest: f64| (used - at_rest * rests) / changes;
    let processor = [
        (figure::RELAY_CHANGE, usage.relay_ms, rest.relay_ms),
        (figure::LEADER_CHANGE, usage.leader_ms, rest.leader_ms),
        (figure::HOLLOW_CHANGE, usage.own_ms, rest.own_ms),
        (figure::AGENT_CHANGE, usage.agent_ms, rest.agent_ms),
    ];
    for (figure, used, at_rest) in processor {
        slopes.add(figure, x, per_change(used, at_rest));
    }
    let kilobytes = per_change(usage.link_bytes, rest.link_bytes) / 1e3;
    slopes.add(figure::LINK_CHANGE, x, kilobytes);
    let kilobytes = per_change(usage.control_link_bytes, rest.control_link_bytes) / 1e3;
    slopes.add(figure::CONTROL_LINK_CHANGE, x, kilobytes);
    add_times(slopes, x, times);
}

pub(super) fn add_times(slopes: &mut SlopeSet, x: f64, times: &[Duration]) {
    let milliseconds = times.iter().map(|time| time.as_secs_f64() * 1e3);
    if let Some(spread) = Spread::of(milliseconds) {
        slopes.add(figure::IN_FORCE, x, spread.median);
        slopes.add(figure::IN_FORCE_LONGEST, x, spread.largest);
    }
}
