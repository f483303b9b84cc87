//! Queries: fan-out, coverage with reasons, hedges, retries, cancellation, look-ups.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use sablehaven_types::{MissingReason, MissingShard, Outcome, ShardId, http};
use tokio::sync::Semaphore;

use crate::support::{
    backend::{Script, first_attempt},
    bed::{AgentDouble, Bed, FIRST},
    caller::Answer,
    eventually,
    schema::mark,
};

const SHED: Script = Script::Refuse {
    word: http::REFUSED_SHED,
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

/// One shard with two replicas, and as many extra attempts allowed as first ones: what the budget
/// has left must not depend on how busy the machine was before.
async fn bed_with_ample_budget() -> Bed {
    let bed = Bed::start(1, 2).await;
    let mut configuration = bed.configuration(FIRST);
    configuration.routing.extra_load_per_mille = 1_000;
    bed.publish(configuration);
    bed
}

/// Sends searches until the router has seen enough latencies to hedge.
async fn learn(agent: &AgentDouble) {
    for _ in 0..100 {
        let answer = agent.caller.search("learn").await;
        assert_eq!(answer.envelope.outcome, Outcome::Done);
    }
}

#[tokio::test]
async fn a_query_merges_every_shard_and_says_so() {
    let bed = Bed::start(3, 1).await;
    let agent = bed.agent().await;
    let answer = agent.caller.search("pasta").await;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.envelope.outcome, Outcome::Done);
    assert_eq!(answer.envelope.snapshot, Some(FIRST));
    let expected = (0..3).map(|shard| format!("pasta {}", mark(ShardId(shard), FIRST)));
    assert_eq!(answer.items(), expected.collect::<Vec<_>>());
    let coverage = answer.envelope.coverage.expect("coverage");
    assert!(coverage.is_complete());
    assert_eq!(coverage.shard_count(), 3);
    assert!(answer.envelope.configuration.current);
}

#[tokio::test]
async fn attempts_carry_unique_ids_and_the_time_left() {
    let bed = Bed::start(3, 1).await;
    let agent = bed.agent().await;
    for _ in 0..5 {
        let answer = agent
            .caller
            .search_within("oil", Duration::from_secs(9))
            .await;
        assert_eq!(answer.envelope.outcome, Outcome::Done);
    }
    let seen: Vec<_> = bed
        .backends
        .iter()
        .flat_map(|backend| backend.seen())
        .collect();
    let ids: std::collections::BTreeSet<_> = seen.iter().map(|seen| seen.attempt).collect();
    assert_eq!((ids.len(), seen.len()), (15, 15));
    assert!(
        seen.iter()
            .all(|seen| (1..=9_000).contains(&seen.deadline_ms))
    );
}

#[tokio::test]
async fn a_lookup_asks_the_one_shard_of_its_key() {
    let bed = Bed::start(4, 1).await;
    let agent = bed.agent().await;
    let answer = agent.caller.get("depot-7").await;
    assert_eq!(answer.envelope.outcome, Outcome::Done);
    assert_eq!(answer.envelope.coverage, None);
    assert_eq!(bed.attempts(), 1);
    let again = agent.caller.get("depot-7").await;
    assert_eq!(again.envelope.body, answer.envelope.body);
}

#[tokio::test]
async fn a_shard_over_its_deadline_is_missing_and_its_attempt_cancelled() {
    let bed = Bed::start(3, 1).await;
    bed.backends[1].always(Script::Never);
    let agent = bed.agent().await;
    let answer = agent
        .caller
        .search_within("oil", Duration::from_millis(300))
        .await;
    assert_eq!(answer.envelope.outcome, Outcome::Done);
    assert_eq!(missing(&answer), only_missing(1, MissingReason::Deadline));
    assert_eq!(answer.items().len(), 2);
    assert!(answer.envelope.retry_after_ms.is_some());
    eventually("the attempt is cancelled", || {
        bed.backends[1].cancelled() == 1
    })
    .await;
}

#[tokio::test]
async fn a_shed_shard_is_given_up_at_once_with_a_time_to_come_back() {
    let bed = Bed::start(3, 1).await;
    bed.backends[2].always(SHED);
    let agent = bed.agent().await;
    let start = Instant::now();
    let answer = agent.caller.search("oil").await;
    // The method's deadline is 20 s; an answer held back until near it would come after half.
    assert!(start.elapsed() < Duration::from_secs(10));
    assert_eq!(answer.envelope.outcome, Outcome::Done);
    assert_eq!(missing(&answer), only_missing(2, MissingReason::Shed));
    assert!(answer.envelope.retry_after_ms.is_some());
    assert!(answer.headers.contains_key("retry-after"));
}

#[tokio::test]
async fn a_query_that_every_back_end_sheds_did_not_run() {
    let bed = Bed::start(2, 1).await;
    bed.backends.iter().for_each(|backend| backend.always(SHED));
    let agent = bed.agent().await;
    let answer = agent.caller.search("oil").await;
    assert_eq!(answer.status, 503);
    assert_eq!(answer.envelope.outcome, Outcome::NotRun);
    assert!(answer.envelope.retry_after_ms.is_some());
    assert_eq!(missing(&answer).len(), 2);
}

#[tokio::test]
async fn a_query_that_no_shard_answers_in_time_is_unknown() {
    let bed = Bed::start(2, 1).await;
    bed.backends
        .iter()
        .for_each(|backend| backend.always(Script::Never));
    let agent = bed.agent().await;
    let answer = agent
        .caller
        .search_within("oil", Duration::from_millis(200))
        .await;
    assert_eq!(answer.status, 504);
    assert_eq!(answer.envelope.outcome, Outcome::Unknown);
}

#[tokio::test]
async fn a_failing_replica_is_retried_on_another() {
    let bed = bed_with_ample_budget().await;
    let agent = bed.agent().await;
    // Nothing is learned yet, so nothing is hedged.
    let before = agent.metric("sablehaven_agent_retries_total");
    first_attempt(&bed.backends, Script::Status(500));
    let answer = agent.caller.search("oil").await;
    assert!(answer.envelope.coverage.expect("coverage").is_complete());
    assert_eq!(agent.metric("sablehaven_agent_retries_total"), before + 1);
}

#[tokio::test]
async fn a_lost_replica_is_reported_as_failed_where_it_is_the_only_one() {
    let bed = Bed::start(2, 1).await;
    let agent = bed.agent().await;
    bed.backends[0].always(Script::Status(500));
    let answer = agent.caller.search("oil").await;
    assert_eq!(missing(&answer), only_missing(0, MissingReason::Failed));
}

#[tokio::test]
async fn a_shard_without_a_live_replica_is_missing_as_such() {
    let bed = Bed::start(2, 1).await;
    let id = bed.id(1);
    bed.relay.publish(|state| {
        state.backends.remove(&id);
    });
    let agent = bed.agent().await;
    let answer = agent.caller.search("oil").await;
    assert_eq!(missing(&answer), only_missing(1, MissingReason::NoReplica));
}

#[tokio::test]
async fn a_hedge_wins_over_a_stuck_replica_and_the_loser_is_cancelled() {
    let bed = bed_with_ample_budget().await;
    let agent = bed.agent().await;
    learn(&agent).await;
    let before = agent.metric("sablehaven_agent_hedges_total");
    first_attempt(&bed.backends, Script::Never);
    let answer = agent.caller.search("oil").await;
    assert!(answer.envelope.coverage.expect("coverage").is_complete());
    assert_eq!(agent.metric("sablehaven_agent_hedges_total"), before + 1);
    // A stuck attempt ends only by being cancelled.
    let ended = || bed.backends.iter().all(|backend| backend.running() == 0);
    eventually("the loser is cancelled", ended).await;
}

#[tokio::test]
async fn a_caller_who_goes_away_cancels_its_attempts() {
    let bed = Bed::start(2, 1).await;
    bed.backends
        .iter()
        .for_each(|backend| backend.always(Script::Never));
    let agent = bed.agent().await;
    let caller = agent.caller.clone();
    let asking = tokio::spawn(async move { caller.search("oil").await });
    let running = || bed.backends.iter().all(|backend| backend.running() == 1);
    eventually("both attempts run", running).await;
    asking.abort();
    let cancelled = || bed.backends.iter().all(|backend| backend.cancelled() == 1);
    eventually("both attempts are cancelled", cancelled).await;
}

#[tokio::test]
async fn answers_of_callers_who_ask_at_the_same_time_are_kept_apart() {
    let bed = Bed::start(3, 2).await;
    for (index, backend) in bed.backends.iter().enumerate() {
        let time = Duration::from_millis(index as u64 * 3);
        backend.always(Script::Delay(time));
    }
    let agent = bed.agent().await;
    let callers = (0..40).map(|number| {
        let caller = agent.caller.clone();
        tokio::spawn(async move {
            let own = format!("caller-{number}");
            let answer = caller.search(&own).await;
            assert_eq!(answer.items().len(), 3);
            assert!(
                answer
                    .items()
                    .iter()
                    .all(|item| item.starts_with(&format!("{own} ")))
            );
        })
    });
    for caller in callers.collect::<Vec<_>>() {
        caller.await.expect("own answers only");
    }
}

#[tokio::test]
async fn without_a_lease_a_query_is_answered_and_says_so() {
    let bed = Bed::start(2, 1).await;
    bed.relay.lock().grants_leases = false;
    let agent = bed.agent().await;
    let answer = agent.caller.search("oil").await;
    assert_eq!(answer.envelope.outcome, Outcome::Done);
    assert!(!answer.envelope.configuration.current);
}

#[tokio::test]
async fn an_answer_waits_for_no_shard_that_has_ended() {
    let bed = Bed::start(3, 1).await;
    let gate = Arc::new(Semaphore::new(0));
    bed.backends[0].always(Script::Gate(Arc::clone(&gate)));
    bed.backends[1].always(SHED);
    let agent = bed.agent().await;
    let caller = agent.caller.clone();
    let asking = tokio::spawn(async move { caller.search("oil").await });
    eventually("the slow shard is asked", || bed.backends[0].running() == 1).await;
    assert!(!asking.is_finished());
    gate.add_permits(1);
    let answer = tokio::time::timeout(Duration::from_secs(10), asking).await;
    let answer = answer
        .expect("at once, not at the deadline")
        .expect("answered");
    assert_eq!(missing(&answer), only_missing(1, MissingReason::Shed));
}

#[tokio::test]
async fn the_metrics_page_shows_requests_and_routing() {
    let bed = Bed::start(3, 1).await;
    let agent = bed.agent().await;
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
