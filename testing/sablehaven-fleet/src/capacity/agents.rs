//! Slopes over the number of agents behind one relay.

use std::time::{Duration, Instant};

use sablehaven_harness::{Deployment, Program};
use sablehaven_history::Recorder;
use sablehaven_types::{ApplyOutcome, ConfigurationChange, RoutingSettings};

use super::{
    hollow::HollowAgents,
    report::{Slope, SlopeBuilder},
    sample::{Sample, core_per_mille, megabytes, milliseconds},
    sizes,
};
use crate::{
    experiment::capacity_plan,
    progress::Progress,
    world::{FleetError, Operations},
};

/// Time that is measured at rest.
const REST: Duration = Duration::from_secs(6);

/// Changes that are measured at each size.
const CHANGES: u32 = 20;

/// Pause between changes.
const CHANGE_SPACING: Duration = Duration::from_millis(200);

/// Agents renew their leases within this time after they have started.
const SETTLE: Duration = Duration::from_secs(2);

pub(super) async fn measure(
    most: u32,
    program: &Program,
    progress: &Progress,
) -> Result<Vec<Slope>, FleetError> {
    let plan = capacity_plan(0)?;
    let deployment = Deployment::start(plan, program).await?;
    let recorder = Recorder::new();
    let operations = Operations::new(deployment.operator()?, recorder, "capacity");
    let relay = &deployment.relays[0];
    let address = relay
        .process()
        .and_then(|process| process.addresses().internal);
    let address = address.ok_or_else(|| FleetError::step("find relay", "it has no address"))?;
    let name = &deployment.plan().fleet.deployment;
    let mut hollow = HollowAgents::new(address, name, relay.placement());
    let mut slopes = AgentSlopes::new();
    for count in sizes(most) {
        progress.show(&format!("{count} hollow agents behind one relay"));
        hollow.grow_to(count).await;
        let version = operations.configuration().await?.version;
        hollow.wait_for(version).await?;
        tokio::time::sleep(SETTLE).await;
        slopes.add_rest(count, &deployment, &hollow).await?;
        slopes
            .add_changes(count, &deployment, &hollow, &operations)
            .await?;
    }
    hollow.stop().await;
    Ok(slopes.finish())
}

struct AgentSlopes {
    relay_rest: SlopeBuilder,
    control_rest: SlopeBuilder,
    own_rest: SlopeBuilder,
    relay_memory: SlopeBuilder,
    own_memory: SlopeBuilder,
    bytes_rest: SlopeBuilder,
    relay_change: SlopeBuilder,
    control_change: SlopeBuilder,
    bytes_change: SlopeBuilder,
    in_force: SlopeBuilder,
}

impl AgentSlopes {
    fn new() -> Self {
        let over_agents = |what: &str, unit: &str| SlopeBuilder::new(what, unit, "agents");
        Self {
            relay_rest: over_agents("relay, processor at rest", "thousandths of a core"),
            control_rest: over_agents("control leader, processor at rest", "thousandths of a core"),
            own_rest: over_agents("hollow agents, processor at rest", "thousandths of a core"),
            relay_memory: over_agents("relay, memory", "MB"),
            own_memory: over_agents("hollow agents, memory", "MB"),
            bytes_rest: over_agents("agents' links at rest, both ways", "KB/s"),
            relay_change: over_agents("relay, processor for a change", "ms"),
            control_change: over_agents("control leader, processor for a change", "ms"),
            bytes_change: over_agents("agents' links for a change, both ways", "KB"),
            in_force: over_agents("longest time until a change is in force", "ms"),
        }
    }

    async fn add_rest(
        &mut self,
        count: u32,
        deployment: &Deployment,
        hollow: &HollowAgents,
    ) -> Result<(), FleetError> {
        let (before, bytes_before, start) =
            (Sample::take(deployment)?, hollow.bytes(), Instant::now());
        tokio::time::sleep(REST).await;
        let (after, window) = (Sample::take(deployment)?, start.elapsed());
        let bytes = (hollow.bytes() - bytes_before) as f64;
        self.relay_rest
            .add(count, core_per_mille(before.relay, after.relay, window));
        self.control_rest
            .add(count, core_per_mille(before.control, after.control, window));
        self.own_rest
            .add(count, core_per_mille(before.own, after.own, window));
        self.relay_memory.add(count, megabytes(after.relay));
        self.own_memory.add(count, megabytes(after.own));
        self.bytes_rest
            .add(count, bytes / 1e3 / window.as_secs_f64());
        Ok(())
    }

    /// Changes one service's routing settings again and again; what is used at rest is taken off.
    async fn add_changes(
        &mut self,
        count: u32,
        deployment: &Deployment,
        hollow: &HollowAgents,
        operations: &Operations,
    ) -> Result<(), FleetError> {
        let (before, bytes_before, start) =
            (Sample::take(deployment)?, hollow.bytes(), Instant::now());
        let mut longest = Duration::ZERO;
        for number in 0..CHANGES {
            let version = change(operations, number).await?;
            longest = longest.max(hollow.wait_for(version).await?);
            tokio::time::sleep(CHANGE_SPACING).await;
        }
        let (after, window) = (Sample::take(deployment)?, start.elapsed());
        let seconds = window.as_secs_f64();
        let per_change = |used: f64, at_rest: f64| (used - at_rest * seconds) / f64::from(CHANGES);
        let relay = milliseconds(before.relay, after.relay);
        let control = milliseconds(before.control, after.control);
        let kilobytes = (hollow.bytes() - bytes_before) as f64 / 1e3;
        self.relay_change
            .add(count, per_change(relay, self.relay_rest.last()));
        self.control_change
            .add(count, per_change(control, self.control_rest.last()));
        self.bytes_change
            .add(count, per_change(kilobytes, self.bytes_rest.last()));
        self.in_force.add(count, longest.as_secs_f64() * 1e3);
        Ok(())
    }

    fn finish(self) -> Vec<Slope> {
        let builders = [
            self.relay_rest,
            self.control_rest,
            self.own_rest,
            self.relay_memory,
            self.own_memory,
            self.bytes_rest,
            self.relay_change,
            self.control_change,
            self.bytes_change,
            self.in_force,
        ];
        builders.into_iter().map(SlopeBuilder::finish).collect()
    }
}

/// Makes a change that differs from the one before; gives its version.
async fn change(operations: &Operations, number: u32) -> Result<u64, FleetError> {
    let configuration = operations.configuration().await?;
    let service = configuration.services.keys().next();
    let service = service.ok_or_else(|| FleetError::step("change", "there is no service"))?;
    let routing = RoutingSettings {
        slow_start_ms: 10_000 + u64::from(number),
        ..RoutingSettings::default()
    };
    let change = ConfigurationChange::SetRouting {
        service: service.clone(),
        routing,
    };
    let applied = operations
        .apply(configuration.version, "capacity", change)
        .await?;
    match applied {
        ApplyOutcome::Accepted { version } => Ok(version),
        other => Err(FleetError::step("change", format!("{other:?}"))),
    }
}
