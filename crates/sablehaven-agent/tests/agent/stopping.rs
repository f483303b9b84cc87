//! Tests that a planned stop does not interrupt requests in flight.

use std::{sync::Arc, time::Duration};

use sablehaven_types::Outcome;
use tokio::sync::Semaphore;

use crate::support::{backend::Script, bed::TestBed, caller::OnceRequest, eventually};

#[tokio::test]
async fn requests_in_flight_finish_before_the_agent_leaves_its_subscription() {
    let bed = TestBed::start(2, 1).await;
    let gate = Arc::new(Semaphore::new(0));
    let held = Script::Gate(Arc::clone(&gate));
    bed.backends
        .iter()
        .for_each(|backend| backend.set_script(held.clone()));
    let agent = bed.start_agent().await;
    let caller = agent.caller.clone();
    let query = tokio::spawn(async move { caller.search("q").await });
    let caller = agent.caller.clone();
    let once = OnceRequest::unique();
    let sent = once.clone();
    let reserve = tokio::spawn(async move { caller.reserve(&sent).await });
    let running = || {
        bed.backends
            .iter()
            .map(|backend| backend.running_count())
            .sum::<usize>()
            == 3
    };
    eventually("three attempts run", running).await;

    let telemetry = agent.telemetry.clone();
    let stopping = tokio::spawn(agent.handle.stop());
    eventually("the agent is not ready", || !telemetry.is_ready()).await;
    gate.add_permits(3);
    let query = query.await.expect("answered");
    assert!(query.envelope.coverage.expect("coverage").is_complete());
    let reserve = reserve.await.expect("answered");
    assert_eq!(reserve.envelope.outcome, Outcome::Done);
    stopping.await.expect("stopped");
    assert!(bed.is_done(&once));
    eventually("the agent leaves the subscription", || {
        bed.relay.lock().leave_count == 1
    })
    .await;
}

#[tokio::test]
async fn during_the_stop_notice_callers_are_served_and_told_to_reconnect() {
    let bed = TestBed::start(1, 1).await;
    let mut config = bed.agent_config();
    config.timing.stop_notice_ms = 60_000;
    let agent = bed.start_agent_with_config(config).await;
    let telemetry = agent.telemetry.clone();
    let stopping = tokio::spawn(agent.handle.stop());
    eventually("the agent is not ready", || !telemetry.is_ready()).await;
    let answer = agent.caller.search("q").await;
    assert_eq!(answer.envelope.outcome, Outcome::Done);
    let connection = answer
        .headers
        .get("connection")
        .expect("a connection header");
    assert_eq!(connection, "close");
    stopping.abort();
}

#[tokio::test]
async fn connections_are_refused_after_the_stop() {
    let bed = TestBed::start(1, 1).await;
    let agent = bed.start_agent().await;
    agent.handle.stop().await;
    let request = agent.caller.post("Search").json(&serde_json::json!({}));
    let error = request.send().await.expect_err("connection refused");
    assert!(error.is_connect());
}

#[tokio::test]
async fn the_outcome_of_a_timed_out_request_is_recorded_before_the_stop() {
    let bed = TestBed::start(1, 1).await;
    let gate = Arc::new(Semaphore::new(0));
    bed.backends[0].set_script(Script::Gate(Arc::clone(&gate)));
    let agent = bed.start_agent().await;
    let once = OnceRequest::unique().with_deadline(Duration::from_millis(200));
    let answer = agent.caller.reserve(&once).await;
    assert_eq!(answer.envelope.outcome, Outcome::Unknown);
    let stopping = tokio::spawn(agent.handle.stop());
    gate.add_permits(1);
    stopping.await.expect("stopped");
    assert!(bed.is_done(&once));
}
