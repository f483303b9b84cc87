//! Back ends that leave get no new work, whichever signal comes first.

use sablehaven_types::{BackendState, Observation, ObservationKind, Outcome, http};

use crate::support::{
    backend::{Script, first_attempt},
    bed::{AgentDouble, Bed},
    eventually,
    schema::service,
};

/// Searches until every replica has been asked, so that each has been chosen once.
async fn ask_until_seen(agent: &AgentDouble, bed: &Bed, index: usize) {
    while bed.backends[index].seen().is_empty() {
        agent.caller.search("q").await;
    }
}

async fn assert_gets_nothing_new(agent: &AgentDouble, bed: &Bed, index: usize) {
    let before = bed.backends[index].seen().len();
    for _ in 0..50 {
        let answer = agent.caller.search("q").await;
        assert!(answer.envelope.coverage.expect("coverage").is_complete());
    }
    assert_eq!(bed.backends[index].seen().len(), before);
}

/// The first reply says that its back end drains, whichever that is.
#[tokio::test]
async fn a_back_end_that_says_it_drains_gets_nothing_new_at_once() {
    let bed = Bed::start(1, 3).await;
    first_attempt(&bed.backends, Script::ReplyDraining);
    let agent = bed.agent().await;
    let answer = agent.caller.search("q").await;
    assert_eq!(answer.items().len(), 1, "the reply itself is used");
    let index = bed.backends.iter().position(|backend| backend.count() == 1);
    let index = index.expect("one back end was asked");
    assert_gets_nothing_new(&agent, &bed, index).await;
}

#[tokio::test]
async fn a_refusal_for_draining_is_retried_elsewhere_and_reported() {
    let bed = Bed::start(1, 3).await;
    bed.backends[1].always(Script::Refuse {
        word: http::REFUSED_DRAINING,
        echo: true,
    });
    let agent = bed.agent().await;
    while bed.backends[1].seen().is_empty() {
        let answer = agent.caller.search("q").await;
        assert!(answer.envelope.coverage.expect("coverage").is_complete());
    }
    assert_gets_nothing_new(&agent, &bed, 1).await;
    let reported = || {
        let state = bed.relay.lock();
        let mut observations = state.observations.iter();
        observations.any(|seen| seen.kind == ObservationKind::Draining && seen.backend == bed.id(1))
    };
    eventually("the drain is reported", reported).await;
}

#[tokio::test]
async fn a_back_end_on_the_leaving_list_gets_nothing_new_and_loses_its_connection() {
    let bed = Bed::start(1, 3).await;
    let agent = bed.agent().await;
    ask_until_seen(&agent, &bed, 2).await;
    assert_eq!(agent.handle.backend_connections(), 3);
    let mut record = bed.record(2);
    record.state = BackendState::Leaving;
    let revision = bed.relay.publish(|state| {
        state.backends.insert(record.id.clone(), record);
    });
    agent
        .wait_for_metric("sablehaven_agent_configuration_version", revision)
        .await;
    assert_gets_nothing_new(&agent, &bed, 2).await;
    assert_eq!(agent.handle.backend_connections(), 2);
}

#[tokio::test]
async fn another_agents_word_counts_before_control_has_committed_it() {
    let bed = Bed::start(1, 3).await;
    let agent = bed.agent().await;
    ask_until_seen(&agent, &bed, 0).await;
    bed.relay.hint(Observation {
        backend: bed.id(0),
        service: service(),
        incarnation: 1,
        kind: ObservationKind::Draining,
    });
    let dropped = || agent.handle.backend_connections() == 2;
    eventually("the back end is left out", dropped).await;
    assert_gets_nothing_new(&agent, &bed, 0).await;
}

#[tokio::test]
async fn what_a_leaving_back_end_has_is_finished() {
    let bed = Bed::start(1, 1).await;
    let gate = std::sync::Arc::new(tokio::sync::Semaphore::new(0));
    bed.backends[0].always(Script::Gate(gate.clone()));
    let agent = bed.agent().await;
    let caller = agent.caller.clone();
    let asking = tokio::spawn(async move { caller.search("q").await });
    eventually("it runs", || bed.backends[0].running() == 1).await;
    let mut record = bed.record(0);
    record.state = BackendState::Leaving;
    let revision = bed.relay.publish(|state| {
        state.backends.insert(record.id.clone(), record);
    });
    agent
        .wait_for_metric("sablehaven_agent_configuration_version", revision)
        .await;
    gate.add_permits(1);
    let answer = asking.await.expect("answered");
    assert_eq!(answer.envelope.outcome, Outcome::Done);
}
