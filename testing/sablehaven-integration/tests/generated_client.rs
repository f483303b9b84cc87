//! Generated typed clients against real processes.

mod support;

use sablehaven_client::{
    AgentConnection, CallOptions, Outcome, RequestKey, ShardId,
    trinacria::{OrderingPortalClient, ReservePalletRequest, SearchStockRequest},
};
use sablehaven_harness::Deployment;
use support::{small_plan, start};

fn portal(deployment: &Deployment, agent: usize) -> OrderingPortalClient {
    let address = deployment.agents[agent].http();
    let agent = AgentConnection::new(address).expect("a client can be set up");
    OrderingPortalClient::new(agent)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_typed_query_brings_back_reply_snapshot_and_coverage() {
    let deployment = start(small_plan()).await;
    let request = SearchStockRequest {
        text: "pasta".to_owned(),
        limit: 5,
        ..SearchStockRequest::default()
    };
    let answer = portal(&deployment, 0)
        .search_stock(&request, CallOptions::default())
        .await
        .expect("the agent answers");
    assert_eq!(answer.outcome, Outcome::Done, "{answer:?}");
    assert!(answer.snapshot.is_some());
    let coverage = answer.coverage.expect("a query states its coverage");
    assert_eq!(coverage.answered, (0..16).map(ShardId).collect::<Vec<_>>());
    assert_eq!(answer.body.expect("a reply").matches.len(), 5);
    let over_the_maximum = SearchStockRequest {
        limit: 201,
        ..request
    };
    let refusal = portal(&deployment, 0)
        .search_stock(&over_the_maximum, CallOptions::default())
        .await
        .expect("a refusal is an answer");
    assert_eq!(refusal.outcome, Outcome::NotRun);
    let reason = refusal.reason.expect("a refusal has a reason");
    assert!(reason.contains("field 'limit'"), "{reason}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_typed_request_that_may_not_be_repeated_runs_once_for_all_resends() {
    let deployment = start(small_plan()).await;
    let request = ReservePalletRequest {
        depot_id: "depot-7".to_owned(),
        pallet_id: "pallet-31".to_owned(),
        pantry_id: "pantry-2".to_owned(),
    };
    let key = RequestKey::issued_now("pantry-2".into(), "reservation-118".into());
    let mut replies = Vec::new();
    for (agent, key) in [(0, key.clone()), (0, key.resend()), (1, key.resend())] {
        let answer = portal(&deployment, agent)
            .reserve_pallet(&key, &request, CallOptions::default())
            .await
            .expect("the agent answers");
        assert_eq!(answer.outcome, Outcome::Done, "{answer:?}");
        replies.push(answer.body.expect("a reply"));
    }
    assert!(
        replies.iter().all(|reply| *reply == replies[0]),
        "{replies:?}"
    );
    let executions = deployment.admin().executions(0).await.expect("executions");
    assert_eq!(executions.iter().filter(|record| record.ran()).count(), 1);
}
