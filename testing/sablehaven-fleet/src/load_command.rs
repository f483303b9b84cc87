//! `fleet load`: a deployment's load on agents that run already.

use std::{net::SocketAddr, time::Duration};

use sablehaven_harness::{DeploymentPlan, PlanSize};
use sablehaven_history::{History, Recorder};
use sablehaven_standins::caller::{AgentTarget, Driver};
use tokio_util::sync::CancellationToken;

use crate::{
    deployment_folder,
    world::{FleetError, LoadPlan},
};

/// Settings of a load.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// The deployment's name or folder.
    pub deployment: String,
    /// The agents' HTTP addresses; the first one counts as the first region's, and so on.
    pub agents: Vec<SocketAddr>,
    /// How long it is sent.
    pub duration: Duration,
    /// Mean requests a second of each region.
    pub rate: f64,
    /// Seeds arrivals and choices.
    pub seed: u64,
}

/// Sends the load and gives the calls.
pub async fn run(settings: &LoadSettings, stop: &CancellationToken) -> Result<History, FleetError> {
    let folder = deployment_folder::find(&settings.deployment)?;
    let plan = DeploymentPlan::read(&folder, PlanSize::Full)?;
    let placements = plan.fleet.agent_placements(&plan.fleet.demo);
    let targets = settings
        .agents
        .iter()
        .zip(placements.iter().cycle())
        .zip(1..);
    let targets: Vec<_> = targets
        .map(|((address, placement), number)| AgentTarget {
            process: format!("agent-{number}"),
            address: *address,
            placement: placement.clone(),
        })
        .collect();
    let load = LoadPlan {
        rate: settings.rate,
        duration: settings.duration,
        with_surge: false,
        seed: settings.seed,
    };
    let recorder = Recorder::new();
    let callers = load.settings(&plan.fleet, &plan.schema);
    let driver = Driver::new(callers, &plan.schema, &targets, recorder.clone())
        .map_err(|reason| FleetError::step("set up callers", reason))?;
    driver.run(stop).await;
    Ok(recorder.history())
}
