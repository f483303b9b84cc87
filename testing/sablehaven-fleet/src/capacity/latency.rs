//! Time from acceptance to in force over the agents of three regions, with a deployment's latencies.

use std::{
    net::{IpAddr, Ipv4Addr},
    time::Duration,
};

use sablehaven_harness::{DeploymentPlan, Node, PlanSize};
use sablehaven_standins::backend::NetworkMap;

use super::{
    Part, Run, SlopeSet, agents::add_times, bed::Bed, figure, hollow::HollowAgents, sizes,
    whole::time_of,
};
use crate::{deployment_folder, measure::statistics::Spread, world::FleetError};

/// The deployment whose places and latencies are used.
const DEPLOYMENT: &str = "trinacria";

/// The largest number of agents; each takes three file descriptors of this process.
const MOST_AGENTS: u32 = 2_000;

/// Changes that are measured at each size.
const CHANGES: u32 = 12;

/// Pause between changes.
const CHANGE_SPACING: Duration = Duration::from_millis(200);

pub(super) async fn measure(run: &Run<'_>) -> Result<SlopeSet, FleetError> {
    let folder = deployment_folder::find(DEPLOYMENT)?;
    let mut plan = DeploymentPlan::read(&folder, PlanSize::Full)?;
    plan.size.agents_per_region = 1;
    let bed = Bed::start(plan, run.program).await?;
    add_latencies(&bed);
    let mut groups: Vec<HollowAgents> = (0..bed.deployment.relays.len())
        .map(|relay| beside(&bed, relay))
        .collect();
    let mut slopes = SlopeSet::new(Part::Latency, "agents");
    for count in sizes(run.settings.most_agents.min(MOST_AGENTS)) {
        run.progress
            .show(&format!("{count} agents in three regions"));
        let each = count / groups.len() as u32;
        for group in &mut groups {
            group.grow_to(each).await;
        }
        for group in &groups {
            bed.settle(group).await?;
        }
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
    let (mut times, mut told) = (Vec::new(), Vec::new());
    for number in 0..CHANGES {
        let version = bed.change(number).await?;
        let (arrived, reported) = time_of(bed, groups, version).await?;
        times.push(arrived);
        told.push(reported);
        tokio::time::sleep(CHANGE_SPACING).await;
    }
    add_times(slopes, x, &times);
    if let Some(spread) = Spread::of(told.iter().map(|time| time.as_secs_f64() * 1e3)) {
        slopes.add(figure::TOLD, x, spread.median);
    }
    Ok(())
}

/// Agents in another zone of the relay's region, which connect from an address of their own.
fn beside(bed: &Bed, relay: usize) -> HollowAgents {
    let address = bed.deployment.relays[relay].internal();
    bed.hollow_at(vec![address], Some(source_of_agents(relay)))
}

fn source_of_agents(relay: usize) -> IpAddr {
    let last = u8::try_from(relay + 1).unwrap_or(u8::MAX);
    IpAddr::V4(Ipv4Addr::new(127, 5, 0, last))
}

/// Puts the fleet file's latencies on the links between the processes, and that between zones on
/// those of the hollow agents.
fn add_latencies(bed: &Bed) {
    let network = &bed.deployment.plan().fleet.network;
    let map = NetworkMap {
        between_zones_ms: network.between_zones_ms,
        between_regions_ms: network.between_regions_ms,
        sources: Default::default(),
    };
    let nodes: Vec<&Node> = bed.deployment.nodes().collect();
    for node in &nodes {
        for other in &nodes {
            let one_way = map.between(other.placement(), node.placement());
            node.internal_proxy()
                .set_latency_from(other.source(), one_way);
        }
    }
    let between_zones = Duration::from_millis(network.between_zones_ms);
    for (number, relay) in bed.deployment.relays.iter().enumerate() {
        relay
            .internal_proxy()
            .set_latency_from(source_of_agents(number), between_zones);
    }
}
