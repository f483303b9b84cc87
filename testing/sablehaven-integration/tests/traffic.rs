//! Histories of concurrent traffic, checked against every promise.

mod support;

use std::{collections::BTreeSet, time::Duration};

use sablehaven_faults::schedule::{ScheduleShape, draw};
use sablehaven_fleet::world::{FaultRunner, LoadPlan, World, targets};
use sablehaven_history::{CallResult, Event, History, Limits, Promise, check};
use sablehaven_types::SnapshotId;
use support::{ORDERING_PORTAL, program, small_plan};
use tokio_util::sync::CancellationToken;

/// Limits so long that a slow machine does not decide; `fleet run` checks the real ones.
const GENEROUS: Limits = Limits {
    leaving_ms: 60_000,
    in_force_ms: 60_000,
};

/// Deadline of each call; generous for the same reason.
const DEADLINE: Duration = Duration::from_secs(20);

/// Seeds the faults and the traffic around them.
const FAULT_SEED: u64 = 7;

async fn start_world() -> World {
    World::start(small_plan(), &program())
        .await
        .expect("the deployment starts")
}

/// Sends at a steady rate until `stop` is cancelled or the duration has passed.
fn send(
    world: &World,
    duration: Duration,
    seed: u64,
) -> (CancellationToken, tokio::task::JoinHandle<()>) {
    let plan = world.deployment.plan();
    let load = LoadPlan {
        rate: 25.0,
        duration,
        with_surge: false,
        seed,
    };
    let mut settings = load.settings(&plan.fleet, &plan.schema);
    settings
        .mix
        .retain(|entry| entry.service.as_str() == ORDERING_PORTAL);
    settings.deadline = Some(DEADLINE);
    let driver = world.direct_driver(settings).expect("callers");
    let stop = CancellationToken::new();
    let stopped = stop.clone();
    let sending = tokio::spawn(async move { driver.run(&stopped).await });
    (stop, sending)
}

fn assert_kept(history: &History, promises: &[Promise]) {
    let report = check(history, &GENEROUS);
    let broken: Vec<_> = report
        .results
        .iter()
        .filter(|result| !result.violations.is_empty())
        .collect();
    assert!(broken.is_empty(), "{broken:#?}");
    for promise in promises {
        let result = report.result(*promise).expect("a result");
        assert!(result.examined > 0, "{promise} was not examined");
    }
}

fn snapshots_in_answers(history: &History) -> BTreeSet<SnapshotId> {
    let answers = history.events.iter().filter_map(|event| match event {
        Event::Call(call) => match &call.result {
            CallResult::Answered(answer) => answer.snapshot,
            _ => None,
        },
        _ => None,
    });
    answers.collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rebuild_and_repartitions_under_traffic_never_mix_in_an_answer() {
    let mut world = start_world().await;
    let (stop, sending) = send(&world, Duration::from_secs(60), 1);
    let service = ORDERING_PORTAL.into();
    world.back_ends.rebuild(&service).await.expect("a rebuild");
    world
        .back_ends
        .repartition(&service, 8)
        .await
        .expect("fewer shards");
    world
        .back_ends
        .repartition(&service, 24)
        .await
        .expect("more shards");
    stop.cancel();
    sending.await.expect("the callers end");
    world.read_back_ends().await.expect("executions");
    world.stop().await.expect("a planned stop of everything");
    let history = world.recorder.history();
    assert_kept(
        &history,
        &[
            Promise::SingleSnapshot,
            Promise::TruthfulCoverage,
            Promise::OwnAnswer,
            Promise::AtMostOnce,
            Promise::ConfigurationNeverReverts,
            Promise::PlannedStop,
        ],
    );
    let seen = snapshots_in_answers(&history);
    assert!(seen.len() >= 3, "answers show several snapshots: {seen:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn faults_that_come_together_break_no_promise() {
    let mut world = start_world().await;
    let shape = ScheduleShape {
        span: Duration::from_secs(8),
        longest: Duration::from_secs(2),
        ..ScheduleShape::default()
    };
    let schedule = draw(FAULT_SEED, &targets(&world.deployment), &shape);
    assert!(!schedule.is_empty());
    let (stop, sending) = send(&world, Duration::from_secs(60), FAULT_SEED);
    let runner = FaultRunner::new(&schedule);
    runner
        .run(&mut world, |_| {})
        .await
        .expect("the faults come and go");
    stop.cancel();
    sending.await.expect("the callers end");
    world.deployment.heal();
    world.read_back_ends().await.expect("executions");
    let history = world.recorder.history();
    assert_kept(
        &history,
        &[
            Promise::SingleSnapshot,
            Promise::TruthfulCoverage,
            Promise::OwnAnswer,
            Promise::AtMostOnce,
        ],
    );
}
