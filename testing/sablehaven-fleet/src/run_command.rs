//! `fleet run`: a deployment under load until Ctrl-C, with or without faults.

use std::time::Duration;

use sablehaven_faults::schedule::{ScheduleShape, draw};
use sablehaven_harness::{DeploymentPlan, PlanSize, Program};
use sablehaven_history::{History, Limits, Report, check};
use tokio_util::sync::CancellationToken;

use crate::{
    deployment_folder,
    progress::Progress,
    world::{FaultRunner, FleetError, LoadPlan, World, disturb_back_ends, race, targets},
};

/// The load of a run that has no end of its own.
const ENDLESS: Duration = Duration::from_secs(86_400);

/// Time at the end of a run in which no fault begins, so that every one ends and heals.
const QUIET_END: Duration = Duration::from_secs(10);

/// The mean time between two moments at which faults begin.
const FAULT_SPACING: Duration = Duration::from_secs(5);

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct RunSettings {
    /// The deployment's name or folder.
    pub deployment: String,
    /// Its size.
    pub size: PlanSize,
    /// Ends after this time; `None` waits for Ctrl-C.
    pub duration: Option<Duration>,
    /// Mean requests a second of each region.
    pub rate: f64,
    /// Whether faults are brought about.
    pub with_faults: bool,
    /// Seeds back ends, callers and faults.
    pub seed: u64,
}

/// Runs until the time is over or `stop` is cancelled; gives what was recorded and its check.
pub async fn run(
    settings: &RunSettings,
    program: &Program,
    stop: &CancellationToken,
) -> Result<(History, Report), FleetError> {
    let progress = Progress::default();
    let folder = deployment_folder::find(&settings.deployment)?;
    let mut plan = DeploymentPlan::read(&folder, settings.size)?;
    plan.seed = settings.seed;
    progress.show(&format!("starting {}", plan.fleet.deployment));
    let mut world = World::start(plan, program).await?;
    world.add_latencies().await?;
    show_addresses(&world);
    let duration = settings.duration.unwrap_or(ENDLESS);
    let load = LoadPlan {
        rate: settings.rate,
        duration,
        with_surge: true,
        seed: settings.seed,
    };
    let plan = world.deployment.plan();
    let driver = world.driver(load.settings(&plan.fleet, &plan.schema))?;
    progress.show("callers send; Ctrl-C ends the run");
    let load_stop = stop.clone();
    let callers = tokio::spawn(async move { driver.run(&load_stop).await });
    if settings.with_faults {
        disturb(&mut world, duration, settings.seed, stop, progress).await?;
    }
    callers
        .await
        .map_err(|error| FleetError::step("run callers", error))?;
    progress.show("callers are done, reading what the back ends truly ran");
    world.read_back_ends().await?;
    progress.show("planned stop of every process");
    world.stop().await?;
    let history = world.recorder.history();
    let report = check(&history, &Limits::default());
    Ok((history, report))
}

/// Brings faults about on the processes while operators race and back ends come and go.
async fn disturb(
    world: &mut World,
    duration: Duration,
    seed: u64,
    stop: &CancellationToken,
    progress: Progress,
) -> Result<(), FleetError> {
    let quiet = CancellationToken::new();
    let services = world.deployment.plan().schema.services();
    let services = services.map(|service| service.name.clone()).collect();
    let show = move |what: &str| progress.show(what);
    let others = [
        tokio::spawn(race(world.operators()?, quiet.clone())),
        tokio::spawn(disturb_back_ends(
            world.back_ends.clone(),
            services,
            quiet.clone(),
            show,
        )),
    ];
    let runner = FaultRunner::new(&schedule(world, duration, seed));
    let faults = tokio::select! {
        result = runner.run(world, show) => result,
        () = stop.cancelled() => Ok(()),
    };
    quiet.cancel();
    for other in others {
        other
            .await
            .map_err(|error| FleetError::step("disturb", error))?;
    }
    faults
}

fn schedule(
    world: &World,
    duration: Duration,
    seed: u64,
) -> Vec<sablehaven_faults::schedule::PlannedFault> {
    let span = duration.saturating_sub(QUIET_END);
    let shape = ScheduleShape {
        span,
        moments: (span.as_secs() / FAULT_SPACING.as_secs()).max(1) as u32,
        ..ScheduleShape::default()
    };
    draw(seed, &targets(&world.deployment), &shape)
}

/// Where everything can be reached, for plain curl and the operator's command line.
fn show_addresses(world: &World) {
    let deployment = &world.deployment;
    for node in deployment
        .control
        .iter()
        .chain(&deployment.relays)
        .chain(&deployment.agents)
    {
        println!(
            "{:<12} {:<14} http://{}",
            node.name(),
            node.placement().zone,
            node.http()
        );
    }
    println!(
        "{:<12} {:<14} http://{}/admin",
        "stand-ins",
        "-",
        deployment.stand_ins.http()
    );
}
