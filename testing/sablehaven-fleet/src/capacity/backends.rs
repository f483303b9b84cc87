//! Slopes over the number of back ends that the shared state records.

use std::time::{Duration, Instant};

use sablehaven_harness::until;

use super::{
    Part, Run, SlopeSet,
    agents::{add_changes, change},
    bed::Bed,
    figure, sizes,
    target::READINGS_PER_SECOND,
    usage::{at_rest, during},
};
use crate::{experiment::capacity_plan, world::FleetError};

/// Time after the state is complete before anything is read.
const SETTLE: Duration = Duration::from_secs(2);

/// Time that is measured at rest.
const REST: Duration = Duration::from_secs(5);

/// Changes that are measured at each size.
const CHANGES: u32 = 10;

pub(super) async fn measure(run: &Run<'_>) -> Result<SlopeSet, FleetError> {
    let mut slopes = SlopeSet::new(Part::Backends, "back ends");
    for count in sizes(run.settings.most_backends) {
        run.progress.show(&format!("{count} hollow back ends"));
        let bed = Bed::start(capacity_plan(count)?, run.program).await?;
        wait_for_backends(&bed, count).await?;
        tokio::time::sleep(SETTLE).await;
        measure_one(&mut slopes, f64::from(count), &bed).await?;
    }
    Ok(slopes)
}

async fn measure_one(slopes: &mut SlopeSet, x: f64, bed: &Bed) -> Result<(), FleetError> {
    let mut hollow = bed.hollow(&[0])?;
    let start = Instant::now();
    hollow.grow_to(1).await;
    bed.settle(&hollow).await?;
    slopes.add(figure::NEW_AGENT, x, start.elapsed().as_secs_f64() * 1e3);
    slopes.add(figure::SNAPSHOT, x, hollow.bytes() as f64 / 1e3);
    // The new agent changes the number of agents, which whole agents take in.
    tokio::time::sleep(SETTLE).await;
    let rest = at_rest(bed, &hollow, REST).await?;
    let leader = rest.core_per_mille(rest.leader_ms);
    slopes.add(figure::POLL, x, leader / READINGS_PER_SECOND);
    let agent = rest.core_per_mille(rest.agent_ms);
    slopes.add(figure::AGENT_REST, x, agent);
    slopes.add(figure::RELAY_MEMORY, x, rest.memory.relay);
    slopes.add(figure::CONTROL_MEMORY, x, rest.memory.control);
    slopes.add(figure::AGENT_MEMORY, x, rest.memory.agent);
    let (usage, times) = during(bed, &hollow, change(bed, &hollow, CHANGES)).await?;
    add_changes(slopes, x, &rest, &usage, &times);
    hollow.stop().await;
    Ok(())
}

/// Waits until control has taken the platform's whole list in.
pub(super) async fn wait_for_backends(bed: &Bed, count: u32) -> Result<(), FleetError> {
    let operator = bed.deployment.operator()?;
    until("control knows every back end", || async {
        let all = operator
            .get::<Vec<serde_json::Value>>("/operator/v1/backends")
            .await;
        let all = all.map_err(|error| error.to_string())?;
        match all.len() >= count as usize {
            true => Ok(()),
            false => Err(format!("{} of {count}", all.len())),
        }
    })
    .await?;
    Ok(())
}
