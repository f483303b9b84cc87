//! Tests with a query that crashes every back end that runs it.
//!
//! They guard against one caller's query crashing all replicas of every shard one after another within a short time.
//! The query goes to one replica of each shard, and each crashes while running it. The agent took the lost connections
//! for failures of the replicas and sent the query to the next ones, and the caller retried with the same result. The
//! cause was the same as in the gateway: a lost connection was not attributed to the request that was running on it.

use std::sync::Arc;

use sablehaven_types::Outcome;

use crate::support::{
    backend::Script,
    bed::{FIRST, TestBed},
};

const SHARDS: usize = 4;
const REPLICAS: usize = 3;
/// Maximum number of back ends that crash before the query is known to crash them: one of each shard, and two more
/// that show that the query is the cause.
const MAX_CRASHES: usize = SHARDS + 2;
const CRASHING_TEXT: &str = "deadly";

/// Starts back ends that crash when they run [`CRASHING_TEXT`] and reply to everything else. The budget covers every
/// retry.
async fn start_crashing_bed() -> TestBed {
    let bed = TestBed::start(SHARDS, REPLICAS).await;
    for backend in &bed.backends {
        let crashing_text: Arc<[u8]> = CRASHING_TEXT.as_bytes().into();
        backend.set_script_fn(move |received| {
            let crashes = received
                .body
                .windows(crashing_text.len())
                .any(|part| part == &*crashing_text);
            if crashes {
                Script::Crash
            } else {
                Script::Reply
            }
        });
    }
    let mut configuration = bed.service_configuration(FIRST);
    configuration.routing.extra_load_per_mille = 1_000;
    bed.publish_configuration(configuration);
    bed
}

fn crashed_count(bed: &TestBed) -> usize {
    let backends = bed.backends.iter();
    backends.filter(|backend| backend.has_crashed()).count()
}

#[tokio::test]
async fn a_query_that_crashes_back_ends_leaves_most_of_them_running() {
    let bed = start_crashing_bed().await;
    let agent = bed.start_agent().await;
    for _ in 0..5 {
        let answer = agent.caller.search(CRASHING_TEXT).await;
        assert_ne!(answer.envelope.outcome, Outcome::Done);
    }
    assert!(
        crashed_count(&bed) <= MAX_CRASHES,
        "{} crashed",
        crashed_count(&bed)
    );
    // The agent may detect only now that a back end it is connected to has crashed.
    let answer = agent.caller.search("pasta").await;
    assert_eq!(answer.envelope.outcome, Outcome::Done);
    assert!(answer.envelope.coverage.expect("coverage").is_complete());
}

#[tokio::test]
async fn a_query_that_has_crashed_back_ends_is_refused_without_an_attempt() {
    let bed = start_crashing_bed().await;
    let agent = bed.start_agent().await;
    for _ in 0..5 {
        agent.caller.search(CRASHING_TEXT).await;
    }
    let before = crashed_count(&bed);
    let answer = agent.caller.search(CRASHING_TEXT).await;
    assert_eq!(answer.envelope.outcome, Outcome::NotRun);
    assert_eq!(crashed_count(&bed), before);
}
