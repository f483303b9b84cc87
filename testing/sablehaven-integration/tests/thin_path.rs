//! The whole path with real processes: caller, agent, back ends, under a configuration that comes
//! from control through a relay.

mod support;

use sablehaven_harness::now_ms;
use sablehaven_types::{Outcome, ShardId};
use serde_json::json;
use support::{RESERVE_PALLET, SEARCH_STOCK, small_plan, start};

#[tokio::test(flavor = "multi_thread")]
async fn a_query_is_fanned_out_merged_and_answered_with_its_snapshot_and_coverage() {
    let deployment = start(small_plan()).await;
    let answer = deployment
        .caller(0)
        .query(SEARCH_STOCK, &json!({"text": "pasta", "limit": 5}))
        .await
        .expect("the agent answers");
    assert_eq!(answer.status, 200, "{:?}", answer.envelope);
    let envelope = answer.envelope;
    assert_eq!(envelope.outcome, Outcome::Done);
    let snapshot = envelope.snapshot.expect("a query pins a snapshot");
    assert_eq!((snapshot.generation, snapshot.partition_map), (1, 1));
    let coverage = envelope.coverage.expect("a query states its coverage");
    let every_shard: Vec<ShardId> = (0..16).map(ShardId).collect();
    assert_eq!(coverage.answered, every_shard);
    assert!(coverage.is_complete());
    assert!(
        envelope.configuration.current,
        "{:?}",
        envelope.configuration
    );
    let body = envelope.body.expect("a body");
    let matches = body["matches"].as_array().expect("matches");
    assert_eq!(matches.len(), 5, "{body}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_may_not_be_repeated_runs_once_for_all_resends_through_any_agent() {
    let deployment = start(small_plan()).await;
    let body = json!({"depot_id": "depot-7", "pallet_id": "p-1", "pantry_id": "pantry-3"});
    let issued_at_ms = now_ms();
    let mut bodies = Vec::new();
    for agent in [0, 0, 1, 2] {
        let answer = deployment
            .caller(agent)
            .once(RESERVE_PALLET, "reservation-1", issued_at_ms, &body)
            .await
            .expect("the agent answers");
        assert_eq!(answer.envelope.outcome, Outcome::Done, "{answer:?}");
        bodies.push(answer.envelope.body);
    }
    assert!(bodies.iter().all(|body| *body == bodies[0]), "{bodies:?}");
    let executions = deployment.admin().executions(0).await.expect("executions");
    let ran = executions.iter().filter(|record| record.ran()).count();
    assert_eq!(ran, 1, "{executions:?}");
}
