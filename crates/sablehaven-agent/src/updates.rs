//! Applies changes of the shared state: builds a plan from each new view and makes it the current one.

use std::{sync::Arc, time::Duration};

use sablehaven_telemetry::Telemetry;

use crate::{
    agent::Agent,
    plan::{BuiltPlan, PlanBuilder},
    transport::BackendClient,
};

/// Interval at which the gauges are updated.
const GAUGE_INTERVAL: Duration = Duration::from_millis(100);

/// Applies the updates of the subscription until it ends, and returns why it ended.
pub async fn run_updates(agent: Arc<Agent>, builder: PlanBuilder, telemetry: Telemetry) -> String {
    let cause = apply_changes(&agent, builder, &telemetry).await;
    agent.release_plan_waiters();
    cause
}

async fn apply_changes(
    agent: &Arc<Agent>,
    mut builder: PlanBuilder,
    telemetry: &Telemetry,
) -> String {
    let mut changed = agent.subscription.changed();
    loop {
        // Marked as seen before the view is read, so that a change in between is not missed.
        changed.borrow_and_update();
        builder = match rebuild(agent, builder, telemetry).await {
            Ok(builder) => builder,
            Err(cause) => return cause,
        };
        if wait_for_change(agent, &mut changed).await.is_err() {
            return "the subscription to the shared state ended".to_owned();
        }
    }
}

/// Builds the plan for the current view and makes it the current plan. An error means that the build
/// panicked and the builder is lost, so that the agent cannot apply any later configuration.
async fn rebuild(
    agent: &Arc<Agent>,
    mut builder: PlanBuilder,
    telemetry: &Telemetry,
) -> Result<PlanBuilder, String> {
    let view = agent.subscription.view();
    let version = view.configuration_version;
    let build = tokio::task::spawn_blocking(move || {
        let built = builder.build(&view);
        (builder, built)
    });
    let (builder, built) = match build.await {
        Ok(result) => result,
        Err(error) => {
            return Err(format!(
                "cannot build the plan for configuration {version}: {error}"
            ));
        }
    };
    apply_plan(agent, built, version, telemetry);
    Ok(builder)
}

fn apply_plan(agent: &Agent, built: BuiltPlan, version: u64, telemetry: &Telemetry) {
    if !built.schema_problems.is_empty() {
        agent.metrics.unusable_configurations.inc();
        for problem in &built.schema_problems {
            log::error!("cannot parse the schema of configuration {version}: {problem}");
        }
    }
    let has_schema = built.plan.schema.is_some();
    agent.set_plan(built.plan);
    let version = i64::try_from(version).unwrap_or(i64::MAX);
    agent.metrics.configuration_version.set(version);
    if has_schema && !agent.is_stopping() {
        telemetry.set_ready(true);
    }
    preconnect(built.to_preconnect);
}

/// Opens connections in the background, so that the first attempts do not have to wait for them.
fn preconnect(clients: Vec<Arc<BackendClient>>) {
    for client in clients {
        tokio::spawn(async move { client.preconnect().await });
    }
}

async fn wait_for_change(
    agent: &Agent,
    changed: &mut tokio::sync::watch::Receiver<u64>,
) -> Result<(), tokio::sync::watch::error::RecvError> {
    loop {
        tokio::select! {
            result = changed.changed() => return result,
            () = tokio::time::sleep(GAUGE_INTERVAL) => {
                refresh_gauges(agent);
            }
        }
    }
}

fn refresh_gauges(agent: &Agent) {
    let current = agent.subscription.lease().current;
    agent.metrics.lease_current.set(i64::from(current));
    for (name, service) in &agent.plan().services {
        let router = service.router.lock();
        let (counters, state) = (router.policy.counters(), router.policy.state());
        drop(router);
        agent.metrics.routing.update(name, counters, state);
    }
}
