//! Slopes over the number of back ends that the shared state records.

use std::time::{Duration, Instant};

use sablehaven_harness::{Deployment, Program, until};

use super::{
    hollow::HollowAgents,
    report::{Slope, SlopeBuilder},
    sample::{Sample, megabytes},
    sizes,
};
use crate::{experiment::capacity_plan, progress::Progress, world::FleetError};

/// Time after the state is complete before memory is read.
const SETTLE: Duration = Duration::from_secs(2);

pub(super) async fn measure(
    most: u32,
    program: &Program,
    progress: &Progress,
) -> Result<Vec<Slope>, FleetError> {
    let over = |what: &str, unit: &str| SlopeBuilder::new(what, unit, "back ends");
    let mut control_memory = over("control replica, memory", "MB");
    let mut relay_memory = over("relay, memory", "MB");
    let mut new_agent_bytes = over("whole state for a new agent of all services", "KB");
    let mut new_agent_time = over("time until a new agent is current", "ms");
    for count in sizes(most) {
        progress.show(&format!("{count} hollow back ends"));
        let deployment = Deployment::start(capacity_plan(count)?, program).await?;
        wait_for_backends(&deployment, count).await?;
        tokio::time::sleep(SETTLE).await;
        let sample = Sample::take(&deployment)?;
        control_memory.add(count, megabytes(sample.control));
        relay_memory.add(count, megabytes(sample.relay));
        let (bytes, time) = start_agent(&deployment).await?;
        new_agent_bytes.add(count, bytes as f64 / 1e3);
        new_agent_time.add(count, time.as_secs_f64() * 1e3);
    }
    let builders = [
        control_memory,
        relay_memory,
        new_agent_bytes,
        new_agent_time,
    ];
    Ok(builders.into_iter().map(SlopeBuilder::finish).collect())
}

/// Waits until control has taken the platform's whole list in.
async fn wait_for_backends(deployment: &Deployment, count: u32) -> Result<(), FleetError> {
    let operator = deployment.operator()?;
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

/// Starts one hollow agent; gives the bytes and the time until it is current.
async fn start_agent(deployment: &Deployment) -> Result<(u64, Duration), FleetError> {
    let relay = &deployment.relays[0];
    let address = relay
        .process()
        .and_then(|process| process.addresses().internal);
    let address = address.ok_or_else(|| FleetError::step("find relay", "it has no address"))?;
    let name = &deployment.plan().fleet.deployment;
    let mut hollow = HollowAgents::new(address, name, relay.placement());
    let start = Instant::now();
    hollow.grow_to(1).await;
    hollow.wait_for(1).await?;
    let measured = (hollow.bytes(), start.elapsed());
    hollow.stop().await;
    Ok(measured)
}
