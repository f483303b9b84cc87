//! Tests of queries: fan-out, coverage with reasons, hedges, retries, cancellation and lookups.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use sablehaven_types::{MissingReason, MissingShard, Outcome, ShardId, http};
use tokio::sync::Semaphore;

use crate::support::{
    backend::{Script, script_first_attempt},
    bed::{FIRST, TestAgent, TestBed},
    caller::Answer,
    eventually,
    schema::origin_label,
};

const SHED: Script = Script::Refuse {
    reason: http::REFUSED_SHED,
    echo: true,
};

fn missing(answer: &Answer) -> Vec<MissingShard> {
    let coverage = answer.envelope.coverage.as_ref();
    coverage.expect("a query's coverage").missing.clone()
}

fn only_missing(shard: u32, reason: MissingReason) -> Vec<MissingShard> {
    let shard = ShardId(shard);
    vec![MissingShard { shard, reason }]
}

/// Starts one shard with two replicas and a budget of one extra attempt for each first attempt, so that
/// the remaining budget does not depend on how busy the machine was before.
async fn bed_with_ample_budget() -> TestBed {
    let bed = TestBed::start(1, 2).await;
    let mut configuration = bed.service_configuration(FIRST);
    configuration.routing.extra_load_per_mille = 1_000;
    bed.publish_configuration(configuration);
    bed
}

/// Sends enough searches for the router to hedge on the basis of their latencies.
async fn record_latencies(agent: &TestAgent) {
    for _ in 0..100 {
        let answer = agent.caller.search("learn").await;
        assert_eq!(answer.envelope.outcome, Outcome::Done);
    }
}

#[tokio::test]
async fn a_query_merges_the_replies_of_all_shards() {
    let bed = TestBed::start(3, 1).await;
    let agent = bed.start_agent().await;
    let answer = agent.caller.search("pasta").await;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.envelope.outcome, Outcome::Done);
    assert_eq!(answer.envelope.snapshot, Some(FIRST));
    let expected = (0..3).map(|shard| format!("pasta {}", origin_label(ShardId(shard), FIRST)));
    assert_eq!(answer.items(), expected.collect::<Vec<_>>());
    let coverage = answer.envelope.coverage.expect("coverage");
    assert!(coverage.is_complete());
    assert_eq!(coverage.shard_count(), 3);
    assert!(answer.envelope.configuration.current);
}

#[tokio::test]
async fn attempts_carry_unique_ids_and_the_remaining_time() {
    let bed = TestBed::start(3, 1).await;
    let agent = bed.start_agent().await;
    for _ in 0..5 {
        let answer = agent
            .caller
            .search_with_deadline("oil", Duration::from_secs(9))
            .await;
        assert_eq!(answer.envelope.outcome, Outcome::Done);
    }
    let received: Vec<_> = bed
        .backends
        .iter()
        .flat_map(|backend| backend.received())
        .collect();
    let ids: std::collections::BTreeSet<_> =
        received.iter().map(|attempt| attempt.attempt_id).collect();
    assert_eq!((ids.len(), received.len()), (15, 15));
    assert!(
        received
            .iter()
            .all(|attempt| (1..=9_000).contains(&attempt.deadline_ms))
    );
}

#[tokio::test]
async fn a_lookup_is_sent_to_the_shard_of_its_key_only() {
    let bed = TestBed::start(4, 1).await;
    let agent = bed.start_agent().await;
    let answer = agent.caller.get("depot-7").await;
    assert_eq!(answer.envelope.outcome, Outcome::Done);
    assert_eq!(answer.envelope.coverage, None);
    assert_eq!(bed.attempt_count(), 1);
    let again = agent.caller.get("depot-7").await;
    assert_eq!(again.envelope.body, answer.envelope.body);
}

#[tokio::test]
async fn a_shard_that_exceeds_the_deadline_is_missing_and_its_attempt_is_cancelled() {
    let bed = TestBed::start(3, 1).await;
    bed.backends[1].set_script(Script::NeverReply);
    let agent = bed.start_agent().await;
    let answer = agent
        .caller
        .search_with_deadline("oil", Duration::from_millis(300))
        .await;
    assert_eq!(answer.envelope.outcome, Outcome::Done);
    assert_eq!(missing(&answer), only_missing(1, MissingReason::Deadline));
    assert_eq!(answer.items().len(), 2);
    assert!(answer.envelope.retry_after_ms.is_some());
    eventually("the attempt is cancelled", || {
        bed.backends[1].cancelled_count() == 1
    })
    .await;
}

#[tokio::test]
async fn a_shed_sub_request_is_not_retried_and_the_answer_has_a_retry_delay() {
    let bed = TestBed::start(3, 1).await;
    bed.backends[2].set_script(SHED);
    let agent = bed.start_agent().await;
    let start = Instant::now();
    let answer = agent.caller.search("oil").await;
    // The method's deadline is 20 s. An answer that is held back until shortly before the
    // deadline would take longer than half of that.
    assert!(start.elapsed() < Duration::from_secs(10));
    assert_eq!(answer.envelope.outcome, Outcome::Done);
    assert_eq!(missing(&answer), only_missing(2, MissingReason::Shed));
    assert!(answer.envelope.retry_after_ms.is_some());
    assert!(answer.headers.contains_key("retry-after"));
}

#[tokio::test]
async fn a_query_that_every_back_end_sheds_did_not_run() {
    let bed = TestBed::start(2, 1).await;
    bed.backends
        .iter()
        .for_each(|backend| backend.set_script(SHED));
    let agent = bed.start_agent().await;
    let answer = agent.caller.search("oil").await;
    assert_eq!(answer.status, 503);
    assert_eq!(answer.envelope.outcome, Outcome::NotRun);
    assert!(answer.envelope.retry_after_ms.is_some());
    assert_eq!(missing(&answer).len(), 2);
}

#[tokio::test]
async fn a_query_that_no_shard_answers_in_time_is_unknown() {
    let bed = TestBed::start(2, 1).await;
    bed.backends
        .iter()
        .for_each(|backend| backend.set_script(Script::NeverReply));
    let agent = bed.start_agent().await;
    let answer = agent
        .caller
        .search_with_deadline("oil", Duration::from_millis(200))
        .await;
    assert_eq!(answer.status, 504);
    assert_eq!(answer.envelope.outcome, Outcome::Unknown);
}

#[tokio::test]
async fn a_failed_attempt_is_retried_on_another_replica() {
    let bed = bed_with_ample_budget().await;
    let agent = bed.start_agent().await;
    // No latencies are recorded yet, so no attempt is hedged.
    let before = agent.metric("sablehaven_agent_retries_total");
    script_first_attempt(&bed.backends, Script::Status(500));
    let answer = agent.caller.search("oil").await;
    assert!(answer.envelope.coverage.expect("coverage").is_complete());
    assert_eq!(agent.metric("sablehaven_agent_retries_total"), before + 1);
}

#[tokio::test]
async fn a_shard_whose_only_replica_fails_is_missing_as_failed() {
    let bed = TestBed::start(2, 1).await;
    let agent = bed.start_agent().await;
    bed.backends[0].set_script(Script::Status(500));
    let answer = agent.caller.search("oil").await;
    assert_eq!(missing(&answer), only_missing(0, MissingReason::Failed));
}

#[tokio::test]
async fn a_shard_without_a_live_replica_is_missing_with_that_reason() {
    let bed = TestBed::start(2, 1).await;
    let id = bed.backend_id(1);
    bed.relay.publish(|state| {
        state.backends.remove(&id);
    });
    let agent = bed.start_agent().await;
    let answer = agent.caller.search("oil").await;
    assert_eq!(missing(&answer), only_missing(1, MissingReason::NoReplica));
}

#[tokio::test]
async fn a_hedge_replaces_a_stuck_attempt_which_is_cancelled() {
    let bed = bed_with_ample_budget().await;
    let agent = bed.start_agent().await;
    record_latencies(&agent).await;
    let before = agent.metric("sablehaven_agent_hedges_total");
    script_first_attempt(&bed.backends, Script::NeverReply);
    let answer = agent.caller.search("oil").await;
    assert!(answer.envelope.coverage.expect("coverage").is_complete());
    assert_eq!(agent.metric("sablehaven_agent_hedges_total"), before + 1);
    // An attempt that never replies ends only by cancellation.
    let ended = || {
        bed.backends
            .iter()
            .all(|backend| backend.running_count() == 0)
    };
    eventually("the slower attempt is cancelled", ended).await;
}

#[tokio::test]
async fn attempts_are_cancelled_if_the_caller_disconnects() {
    let bed = TestBed::start(2, 1).await;
    bed.backends
        .iter()
        .for_each(|backend| backend.set_script(Script::NeverReply));
    let agent = bed.start_agent().await;
    let caller = agent.caller.clone();
    let request_task = tokio::spawn(async move { caller.search("oil").await });
    let running = || {
        bed.backends
            .iter()
            .all(|backend| backend.running_count() == 1)
    };
    eventually("both attempts run", running).await;
    request_task.abort();
    let cancelled = || {
        bed.backends
            .iter()
            .all(|backend| backend.cancelled_count() == 1)
    };
    eventually("both attempts are cancelled", cancelled).await;
}

#[tokio::test]
async fn concurrent_callers_get_their_own_answers() {
    let bed = TestBed::start(3, 2).await;
    for (index, backend) in bed.backends.iter().enumerate() {
        let delay = Duration::from_millis(index as u64 * 3);
        backend.set_script(Script::Delay(delay));
    }
    let agent = bed.start_agent().await;
    let callers = (0..40).map(|number| {
        let caller = agent.caller.clone();
        tokio::spawn(async move {
            let text = format!("caller-{number}");
            let answer = caller.search(&text).await;
            assert_eq!(answer.items().len(), 3);
            assert!(
                answer
                    .items()
                    .iter()
                    .all(|item| item.starts_with(&format!("{text} ")))
            );
        })
    });
    for caller in callers.collect::<Vec<_>>() {
        caller.await.expect("own answers only");
    }
}

#[tokio::test]
async fn without_a_lease_a_query_is_answered_as_not_current() {
    let bed = TestBed::start(2, 1).await;
    bed.relay.lock().grants_leases = false;
    let agent = bed.start_agent().await;
    let answer = agent.caller.search("oil").await;
    assert_eq!(answer.envelope.outcome, Outcome::Done);
    assert!(!answer.envelope.configuration.current);
}

#[tokio::test]
async fn an_answer_does_not_wait_for_shards_that_have_failed() {
    let bed = TestBed::start(3, 1).await;
    let gate = Arc::new(Semaphore::new(0));
    bed.backends[0].set_script(Script::Gate(Arc::clone(&gate)));
    bed.backends[1].set_script(SHED);
    let agent = bed.start_agent().await;
    let caller = agent.caller.clone();
    let request_task = tokio::spawn(async move { caller.search("oil").await });
    eventually("the slow shard is asked", || {
        bed.backends[0].running_count() == 1
    })
    .await;
    assert!(!request_task.is_finished());
    gate.add_permits(1);
    let answer = tokio::time::timeout(Duration::from_secs(10), request_task).await;
    let answer = answer
        .expect("an answer before the deadline")
        .expect("answered");
    assert_eq!(missing(&answer), only_missing(1, MissingReason::Shed));
}

#[tokio::test]
async fn the_metrics_page_shows_requests_and_routing() {
    let bed = TestBed::start(3, 1).await;
    let agent = bed.start_agent().await;
    agent.caller.search("oil").await;
    agent.caller.get("depot").await;
    let requests =
        |kind| format!("sablehaven_agent_requests_total{{kind=\"{kind}\",outcome=\"done\"}}");
    assert_eq!(agent.metric(&requests("query")), 1);
    assert_eq!(agent.metric(&requests("lookup")), 1);
    assert_eq!(agent.metric("sablehaven_agent_sub_requests_total"), 4);
    let needed = "sablehaven_routing_needed{service=\"test.Stock\"} 4.0";
    let text = || agent.telemetry.encode_metrics();
    eventually("the router's counts are shown", || text().contains(needed)).await;
}
