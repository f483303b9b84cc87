//! Slopes over the agents that come at once: new ones, and those of a relay that dies.

use std::time::{Duration, Instant};

use super::{
    Part, Run, SlopeSet,
    backends::wait_for_backends,
    bed::Bed,
    figure,
    hollow::HollowAgents,
    metrics, sizes,
    usage::{milliseconds, read_process},
};
use crate::{experiment::capacity_plan, measure::process::ProcessUse, world::FleetError};

/// Back ends in the state that each new agent takes, as of one deployment today.
const BACKENDS: u32 = 100;

/// The largest number of agents that come at once.
const MOST_AGENTS: u32 = 2_000;

/// Time in which the agents of the dead relay lose the lease that it gave them, and more.
const WATCHED: Duration = Duration::from_secs(6);

/// Pause between two looks at all agents.
const LOOK_INTERVAL: Duration = Duration::from_millis(5);

/// Agents that have just started ask for leases more often than at rest.
const SETTLE: Duration = Duration::from_secs(2);

/// New agents, all at once at one relay.
pub(super) async fn measure_starts(run: &Run<'_>) -> Result<SlopeSet, FleetError> {
    let mut slopes = SlopeSet::new(Part::Starts, "agents");
    for count in sizes(run.settings.most_agents.min(MOST_AGENTS)) {
        run.progress.show(&format!("{count} agents start at once"));
        let bed = Bed::start(capacity_plan(BACKENDS)?, run.program).await?;
        wait_for_backends(&bed, BACKENDS).await?;
        let mut hollow = bed.hollow(&[0])?;
        let before = read_process(&bed.deployment.relays[0])?;
        let start = Instant::now();
        hollow.burst_to(count);
        bed.settle(&hollow).await?;
        let time = start.elapsed();
        let after = read_process(&bed.deployment.relays[0])?;
        let x = f64::from(count);
        add(&mut slopes, x, time, before, after);
        let bytes = hollow.bytes() as f64 / 1e3 / x;
        slopes.add(figure::EVENT_BYTES, x, bytes);
        hollow.stop().await;
    }
    Ok(slopes)
}

/// Agents whose relay is killed; all of them have one other.
pub(super) async fn measure_moves(run: &Run<'_>) -> Result<SlopeSet, FleetError> {
    let mut slopes = SlopeSet::new(Part::Moves, "agents");
    for count in sizes(run.settings.most_agents.min(MOST_AGENTS)) {
        run.progress
            .show(&format!("the relay of {count} agents dies"));
        let mut plan = capacity_plan(BACKENDS)?;
        plan.size.relays_per_region = 2;
        let mut bed = Bed::start(plan, run.program).await?;
        wait_for_backends(&bed, BACKENDS).await?;
        let mut hollow = bed.hollow(&[0, 1])?;
        hollow.grow_to(count).await;
        bed.settle(&hollow).await?;
        tokio::time::sleep(SETTLE).await;
        let bytes = hollow.bytes();
        let before = read_process(&bed.deployment.relays[1])?;
        bed.deployment.relays[0].kill().await?;
        let moved = watch_move(&bed, &hollow).await?;
        let after = read_process(&bed.deployment.relays[1])?;
        let x = f64::from(count);
        add(&mut slopes, x, moved.time, before, after);
        let bytes = (hollow.bytes() - bytes) as f64 / 1e3 / x;
        slopes.add(figure::EVENT_BYTES, x, bytes);
        slopes.add(figure::WITHOUT_LEASE, x, moved.without_lease as f64);
        hollow.stop().await;
    }
    Ok(slopes)
}

fn add(slopes: &mut SlopeSet, x: f64, time: Duration, before: ProcessUse, after: ProcessUse) {
    slopes.add(figure::EVENT_TIME, x, time.as_secs_f64() * 1e3);
    slopes.add(figure::EVENT_RELAY, x, milliseconds(before, after));
    let memory = after.resident_bytes as f64 / 1e6;
    slopes.add(figure::EVENT_RELAY_MEMORY, x, memory);
}

struct Move {
    /// Time until the other relay had every agent.
    time: Duration,
    /// Agents that were seen without a lease.
    without_lease: usize,
}

async fn watch_move(bed: &Bed, hollow: &HollowAgents) -> Result<Move, FleetError> {
    let start = Instant::now();
    let mut without_lease = vec![false; hollow.agents().len()];
    let mut time = None;
    while start.elapsed() < WATCHED || time.is_none() {
        for (agent, without) in hollow.agents().iter().zip(&mut without_lease) {
            *without |= !agent.lease().current;
        }
        let connected =
            metrics::value(&bed.deployment.relays[1], "sablehaven_relay_agents").await?;
        if time.is_none() && connected >= hollow.agents().len() as f64 {
            time = Some(start.elapsed());
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
    Ok(Move {
        time: time.unwrap_or_default(),
        without_lease: without_lease.into_iter().filter(|without| *without).count(),
    })
}
