//! `fleet demo`: a deployment through a rebuild, a lost replica, a leaving back end and a planned
//! stop, in under a minute.

use std::{path::Path, time::Duration};

use prost_reflect::DynamicMessage;
use sablehaven_harness::{DeploymentPlan, PlanSize, Program};
use sablehaven_history::{CallKind, History, Limits, Report, check};
use sablehaven_standins::{
    caller::{Asked, Driver, summarise},
    clock, methods,
};
use sablehaven_types::{CallerId, LedgerKey, RequestId, ServiceName};
use tokio::time::{Instant, sleep_until};
use tokio_util::sync::CancellationToken;

use crate::{
    deployment_folder, describe,
    progress::Progress,
    world::{FleetError, LoadPlan, World},
};

/// Mean requests a second of each region.
const RATE: f64 = 12.0;

/// How long callers send.
const LOAD_TIME: Duration = Duration::from_secs(22);

/// Settings of a demonstration.
#[derive(Clone, Debug)]
pub struct DemoSettings {
    /// The deployment's name or folder.
    pub deployment: String,
    /// Seeds back ends and callers.
    pub seed: u64,
    /// How much time the promises allow.
    pub limits: Limits,
}

/// What a demonstration found.
pub struct DemoResult {
    /// What was recorded.
    pub history: History,
    /// The promises.
    pub report: Report,
}

impl DemoResult {
    /// The table at the end.
    pub fn text(&self) -> String {
        let figures = describe::summary_text(&summarise(&self.history));
        format!("{figures}\n{}", describe::promises(&self.report))
    }

    /// Whether every promise was looked at and kept.
    pub fn is_kept(&self) -> bool {
        self.report.results.iter().all(|result| result.is_kept())
    }
}

/// Runs the demonstration with real processes.
pub async fn run(settings: &DemoSettings, program: &Program) -> Result<DemoResult, FleetError> {
    let progress = Progress::default();
    let folder = deployment_folder::find(&settings.deployment)?;
    let plan = plan(&folder, settings.seed)?;
    progress.show(&format!(
        "starting {} as real processes",
        plan.fleet.deployment
    ));
    let mut world = World::start(plan, program).await?;
    show_processes(&world, &progress);
    let load = LoadPlan {
        rate: RATE,
        duration: LOAD_TIME,
        with_surge: false,
        seed: settings.seed,
    };
    let plan = world.deployment.plan();
    let driver = world.direct_driver(load.settings(&plan.fleet, &plan.schema))?;
    let sending = driver.clone();
    let callers = tokio::spawn(async move { sending.run(&CancellationToken::new()).await });
    progress.show(&format!("callers send for {} s", LOAD_TIME.as_secs()));
    play(&mut world, &driver, &progress).await?;
    callers
        .await
        .map_err(|error| FleetError::step("run callers", error))?;
    progress.show("callers are done, reading what the back ends truly ran");
    world.read_back_ends().await?;
    progress.show("planned stop of every process");
    world.stop().await?;
    progress.show("checking every promise");
    let history = world.recorder.history();
    let report = check(&history, &settings.limits);
    Ok(DemoResult { history, report })
}

fn plan(folder: &Path, seed: u64) -> Result<DeploymentPlan, FleetError> {
    let mut plan = DeploymentPlan::read(folder, PlanSize::Demo)?;
    plan.seed = seed;
    Ok(plan)
}

fn show_processes(world: &World, progress: &Progress) {
    let deployment = &world.deployment;
    progress.show(&format!(
        "{} control replicas, {} relays, {} agents and the stand-in back ends are ready",
        deployment.control.len(),
        deployment.relays.len(),
        deployment.agents.len()
    ));
}

/// What happens while callers send.
async fn play(world: &mut World, driver: &Driver, progress: &Progress) -> Result<(), FleetError> {
    let start = Instant::now();
    let at = |seconds: u64| sleep_until(start + Duration::from_secs(seconds));
    let services: Vec<ServiceName> = world
        .deployment
        .plan()
        .schema
        .services()
        .map(|service| service.name.clone())
        .collect();
    let (Some(first), Some(second)) = (services.first(), services.last()) else {
        return Err(FleetError::step("demo", "the schema has no services"));
    };
    at(1).await;
    progress.show("sending requests without their keys, which must be refused as not run");
    for asked in requests_without_key(world) {
        driver.ask_once(&asked).await;
    }
    at(2).await;
    progress.show(&format!("rebuilding the index of {first}"));
    let snapshot = world.back_ends.rebuild(first).await?;
    progress.show(&format!(
        "snapshot {snapshot} of {first} is in force everywhere"
    ));
    at(7).await;
    let backends = world.back_ends.backends(second).await?;
    let [lost, leaving, ..] = &backends[..] else {
        return Err(FleetError::step(
            "demo",
            format!("{second} has too few back ends"),
        ));
    };
    progress.show(&format!("losing back end {}", lost.id));
    world.back_ends.lose(&lost.id).await?;
    at(10).await;
    progress.show(&format!("back end {} leaves", leaving.id));
    world.back_ends.leave(leaving).await?;
    at(13).await;
    progress.show(&format!("back end {} comes back, cold", lost.id));
    world.back_ends.restore(lost).await?;
    progress.show("planned stop of agent-1; its callers go to other agents");
    world.stop_agent(0).await?;
    at(16).await;
    progress.show("starting agent-1 again");
    world.start_agent(0, driver).await?;
    Ok(())
}

/// Requests that may not be repeated and do not say which shard they belong to.
fn requests_without_key(world: &World) -> Vec<Asked> {
    let schema = &world.deployment.plan().schema;
    let methods = schema.services().flat_map(|service| &service.methods);
    let once = methods.filter(|method| methods::call_kind(method) == CallKind::Once);
    let caller = CallerId::from("without-key");
    let asked = once.zip(1..).map(|(method, number)| Asked {
        method: method.clone(),
        request: DynamicMessage::new(method.input.clone()),
        caller: caller.clone(),
        once_key: Some(LedgerKey {
            caller: caller.clone(),
            request: RequestId(format!("without-key-{number}")),
            issued_at_ms: clock::now_ms(),
        }),
        is_resend: false,
        deadline: None,
        items: 0,
    });
    asked.collect()
}
