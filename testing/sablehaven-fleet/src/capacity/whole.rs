//! The target's control plane with as many relays, over the number of agents behind all of them.

use std::time::{Duration, Instant};

use super::{
    Part, Run, SlopeSet,
    agents::add_times,
    bed::Bed,
    figure,
    hollow::HollowAgents,
    sizes, target,
    usage::{Usage, at_rest, during},
};
use crate::{experiment::capacity_plan, measure::statistics::Spread, world::FleetError};

/// Control replicas of the target.
const CONTROL_REPLICAS: u32 = 5;

/// Time that is measured at rest.
const REST: Duration = Duration::from_secs(4);

/// Changes that are measured at each size.
const CHANGES: u32 = 8;

/// Pause between changes.
const CHANGE_SPACING: Duration = Duration::from_millis(200);

/// Time in which a change must be in force before the measurement is given up, in milliseconds.
const IN_FORCE_LIMIT_MS: u64 = 30_000;

/// Agents that have just started ask for leases more often than at rest.
const SETTLE: Duration = Duration::from_secs(2);

pub(super) async fn measure(run: &Run<'_>) -> Result<SlopeSet, FleetError> {
    let mut plan = capacity_plan(0)?;
    plan.size.control_replicas = CONTROL_REPLICAS;
    plan.size.relays_per_region = target::RELAYS as u32;
    let bed = Bed::start(plan, run.program).await?;
    let relays = 0..bed.deployment.relays.len();
    let groups: Result<Vec<HollowAgents>, FleetError> =
        relays.map(|relay| bed.hollow(&[relay])).collect();
    let mut groups = groups?;
    let mut slopes = SlopeSet::new(Part::Whole, "agents");
    for count in sizes(run.settings.most_agents) {
        run.progress
            .show(&format!("{count} agents behind {} relays", groups.len()));
        let each = count.div_ceil(groups.len() as u32);
        for group in &mut groups {
            group.grow_to(each).await;
        }
        for group in &groups {
            bed.settle(group).await?;
        }
        tokio::time::sleep(SETTLE).await;
        measure_one(&mut slopes, &bed, &groups).await?;
    }
    for group in groups {
        group.stop().await;
    }
    Ok(slopes)
}

async fn measure_one(
    slopes: &mut SlopeSet,
    bed: &Bed,
    groups: &[HollowAgents],
) -> Result<(), FleetError> {
    let agents: usize = groups.iter().map(|group| group.agents().len()).sum();
    let x = agents as f64;
    // Every relay has as many agents; the links of the first one's stand for all.
    let rest = at_rest(bed, &groups[0], REST).await?;
    for (figure, milliseconds) in [
        (figure::RELAY_REST, rest.relay_ms),
        (figure::LEADER_REST, rest.leader_ms),
    ] {
        slopes.add(figure, x, rest.core_per_mille(milliseconds));
    }
    slopes.add(figure::CONTROL_MEMORY, x, rest.memory.control);
    let (usage, times) = during(bed, &groups[0], change_everywhere(bed, groups)).await?;
    add_changes(slopes, x, &rest, &usage);
    add_times(slopes, x, &times.arrived);
    let told = times.told.iter().map(|time| time.as_secs_f64() * 1e3);
    if let Some(spread) = Spread::of(told) {
        slopes.add(figure::TOLD, x, spread.median);
    }
    Ok(())
}

fn add_changes(slopes: &mut SlopeSet, x: f64, rest: &Usage, usage: &Usage) {
    let rests = usage.length.as_secs_f64() / rest.length.as_secs_f64();
    let per_change = |used: f64, at_rest: f64| (used - at_rest * rests) / f64::from(CHANGES);
    let relay = per_change(usage.relay_ms, rest.relay_ms);
    slopes.add(figure::RELAY_CHANGE, x, relay);
    let leader = per_change(usage.leader_ms, rest.leader_ms);
    slopes.add(figure::LEADER_CHANGE, x, leader);
    let bytes = per_change(usage.control_link_bytes, rest.control_link_bytes);
    slopes.add(figure::CONTROL_LINK_CHANGE, x, bytes / 1e3);
}

/// Times of changes, each since it was accepted.
struct Times {
    /// Until the last agent had it.
    arrived: Vec<Duration>,
    /// Until an operator was told that it is in force everywhere.
    told: Vec<Duration>,
}

async fn change_everywhere(bed: &Bed, groups: &[HollowAgents]) -> Result<Times, FleetError> {
    let mut times = Times {
        arrived: Vec::new(),
        told: Vec::new(),
    };
    for number in 0..CHANGES {
        let version = bed.change(number).await?;
        let (arrived, told) = time_of(bed, groups, version).await?;
        times.arrived.push(arrived);
        times.told.push(told);
        tokio::time::sleep(CHANGE_SPACING).await;
    }
    Ok(times)
}

/// Time since now until the last agent has a version, and until an operator is told so.
pub(super) async fn time_of(
    bed: &Bed,
    groups: &[HollowAgents],
    version: u64,
) -> Result<(Duration, Duration), FleetError> {
    let accepted = Instant::now();
    let arrival = async {
        for group in groups {
            group.wait_for(version).await?;
        }
        Ok::<_, FleetError>(accepted.elapsed())
    };
    let report = async {
        let in_force = bed
            .operations
            .wait_in_force(version, IN_FORCE_LIMIT_MS)
            .await?;
        match in_force {
            true => Ok(accepted.elapsed()),
            false => Err(FleetError::step("wait", "not in force everywhere")),
        }
    };
    tokio::try_join!(arrival, report)
}
