//! Tests that a draining or leaving back end gets no new attempts, whichever signal arrives first.

use sablehaven_types::{BackendState, Observation, ObservationKind, Outcome, http};

use crate::support::{
    backend::{Script, script_first_attempt},
    bed::{TestAgent, TestBed},
    eventually,
    schema::service,
};

/// Sends searches until the back end at `index` has received an attempt.
async fn search_until_asked(agent: &TestAgent, bed: &TestBed, index: usize) {
    while bed.backends[index].received().is_empty() {
        agent.caller.search("q").await;
    }
}

async fn assert_gets_no_new_attempts(agent: &TestAgent, bed: &TestBed, index: usize) {
    let before = bed.backends[index].received().len();
    for _ in 0..50 {
        let answer = agent.caller.search("q").await;
        assert!(answer.envelope.coverage.expect("coverage").is_complete());
    }
    assert_eq!(bed.backends[index].received().len(), before);
}

/// The back end that receives the first attempt replies that it is draining.
#[tokio::test]
async fn a_back_end_that_replies_as_draining_gets_no_new_attempts() {
    let bed = TestBed::start(1, 3).await;
    script_first_attempt(&bed.backends, Script::ReplyDraining);
    let agent = bed.start_agent().await;
    let answer = agent.caller.search("q").await;
    assert_eq!(
        answer.items().len(),
        1,
        "the reply of the draining back end is used"
    );
    let index = bed
        .backends
        .iter()
        .position(|backend| backend.attempt_count() == 1);
    let index = index.expect("one back end was asked");
    assert_gets_no_new_attempts(&agent, &bed, index).await;
}

#[tokio::test]
async fn a_draining_refusal_is_retried_on_another_back_end_and_reported() {
    let bed = TestBed::start(1, 3).await;
    bed.backends[1].set_script(Script::Refuse {
        reason: http::REFUSED_DRAINING,
        echo: true,
    });
    let agent = bed.start_agent().await;
    while bed.backends[1].received().is_empty() {
        let answer = agent.caller.search("q").await;
        assert!(answer.envelope.coverage.expect("coverage").is_complete());
    }
    assert_gets_no_new_attempts(&agent, &bed, 1).await;
    let reported = || {
        let state = bed.relay.lock();
        let mut observations = state.observations.iter();
        observations.any(|observation| {
            observation.kind == ObservationKind::Draining
                && observation.backend == bed.backend_id(1)
        })
    };
    eventually("the draining back end is reported", reported).await;
}

#[tokio::test]
async fn a_back_end_in_state_leaving_gets_no_new_attempts_and_is_disconnected() {
    let bed = TestBed::start(1, 3).await;
    let agent = bed.start_agent().await;
    search_until_asked(&agent, &bed, 2).await;
    assert_eq!(agent.handle.backend_connections(), 3);
    let mut record = bed.backend_record(2);
    record.state = BackendState::Leaving;
    let revision = bed.relay.publish(|state| {
        state.backends.insert(record.id.clone(), record);
    });
    agent
        .wait_for_metric("sablehaven_agent_configuration_version", revision)
        .await;
    assert_gets_no_new_attempts(&agent, &bed, 2).await;
    assert_eq!(agent.handle.backend_connections(), 2);
}

#[tokio::test]
async fn a_hint_of_another_agent_takes_effect_before_control_commits_it() {
    let bed = TestBed::start(1, 3).await;
    let agent = bed.start_agent().await;
    search_until_asked(&agent, &bed, 0).await;
    bed.relay.send_hint(Observation {
        backend: bed.backend_id(0),
        service: service(),
        incarnation: 1,
        kind: ObservationKind::Draining,
    });
    let is_dropped = || agent.handle.backend_connections() == 2;
    eventually("the connection to the back end is closed", is_dropped).await;
    assert_gets_no_new_attempts(&agent, &bed, 0).await;
}

#[tokio::test]
async fn a_leaving_back_end_finishes_its_running_attempts() {
    let bed = TestBed::start(1, 1).await;
    let gate = std::sync::Arc::new(tokio::sync::Semaphore::new(0));
    bed.backends[0].set_script(Script::Gate(gate.clone()));
    let agent = bed.start_agent().await;
    let caller = agent.caller.clone();
    let request_task = tokio::spawn(async move { caller.search("q").await });
    eventually("the request runs", || bed.backends[0].running_count() == 1).await;
    let mut record = bed.backend_record(0);
    record.state = BackendState::Leaving;
    let revision = bed.relay.publish(|state| {
        state.backends.insert(record.id.clone(), record);
    });
    agent
        .wait_for_metric("sablehaven_agent_configuration_version", revision)
        .await;
    gate.add_permits(1);
    let answer = request_task.await.expect("answered");
    assert_eq!(answer.envelope.outcome, Outcome::Done);
}
