//! A query that ends every back end that runs it.
//!
//! Symptom: all replicas of every shard end within a moment, one after another, under one caller's query.
//! Sequence: the query goes to one replica of each shard; each ends while it runs it; the agent takes the lost connections for
//! failures of the replicas and asks the next ones; the caller asks again, with the same result.
//! Cause: the same as in the gateway: a lost connection told nothing of the request that it was lost under.

use std::sync::Arc;

use sablehaven_types::Outcome;

use crate::support::{
    backend::Script,
    bed::{Bed, FIRST},
};

const SHARDS: usize = 4;
const REPLICAS: usize = 3;
/// Back ends that end before a query is known for it: one of each shard, and two that show that it was the query.
const MOST_CRASHES: usize = SHARDS + 2;
const DEADLY: &str = "deadly";

/// Back ends that end when they run [`DEADLY`], and reply to everything else; the budget bears every retry.
async fn bed() -> Bed {
    let bed = Bed::start(SHARDS, REPLICAS).await;
    for backend in &bed.backends {
        let deadly: Arc<[u8]> = DEADLY.as_bytes().into();
        backend.choose(move |seen| {
            let is_deadly = seen.body.windows(deadly.len()).any(|part| part == &*deadly);
            if is_deadly {
                Script::Crash
            } else {
                Script::Reply
            }
        });
    }
    let mut configuration = bed.configuration(FIRST);
    configuration.routing.extra_load_per_mille = 1_000;
    bed.publish(configuration);
    bed
}

fn crashes(bed: &Bed) -> usize {
    let backends = bed.backends.iter();
    backends.filter(|backend| backend.has_crashed()).count()
}

#[tokio::test]
async fn a_query_that_crashes_back_ends_leaves_most_of_them_running() {
    let bed = bed().await;
    let agent = bed.agent().await;
    for _ in 0..5 {
        let answer = agent.caller.search(DEADLY).await;
        assert_ne!(answer.envelope.outcome, Outcome::Done);
    }
    assert!(crashes(&bed) <= MOST_CRASHES, "{} crashed", crashes(&bed));
    // Whoever was in contact with a back end that ended may need a moment to see it.
    let answer = agent.caller.search("pasta").await;
    assert_eq!(answer.envelope.outcome, Outcome::Done);
    assert!(answer.envelope.coverage.expect("coverage").is_complete());
}

#[tokio::test]
async fn a_query_that_has_crashed_back_ends_is_refused_at_once() {
    let bed = bed().await;
    let agent = bed.agent().await;
    for _ in 0..5 {
        agent.caller.search(DEADLY).await;
    }
    let before = crashes(&bed);
    let answer = agent.caller.search(DEADLY).await;
    assert_eq!(answer.envelope.outcome, Outcome::NotRun);
    assert_eq!(crashes(&bed), before);
}
