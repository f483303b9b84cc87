//! A region that is cut off from the others.

mod support;

use sablehaven_harness::{now_ms, until};
use sablehaven_types::Outcome;
use serde_json::json;
use support::{RESERVE_PALLET, SEARCH_STOCK, set_slots, small_plan, start};

#[tokio::test(flavor = "multi_thread")]
async fn a_region_that_is_cut_off_answers_queries_says_so_and_refuses_what_may_not_be_repeated() {
    let deployment = start(small_plan()).await;
    let inside = 0;
    let region = deployment.agents[inside].placement().region.clone();
    let outside = deployment
        .agents
        .iter()
        .position(|agent| agent.placement().region != region)
        .expect("an agent elsewhere");
    deployment.cut_off_region(&region);

    let caller = deployment.caller(inside);
    let query = json!({"text": "pasta"});
    until(
        "the agent inside says that it cannot prove its configuration",
        || async {
            let answer = caller.query(SEARCH_STOCK, &query).await;
            let envelope = answer.map_err(|error| error.to_string())?.envelope;
            assert_eq!(
                envelope.outcome,
                Outcome::Done,
                "queries go on: {envelope:?}"
            );
            match envelope.configuration.current {
                false => Ok(()),
                true => Err(format!("{:?}", envelope.configuration)),
            }
        },
    )
    .await
    .expect("it says so");

    let body = json!({"depot_id": "depot-2", "pallet_id": "p-2", "pantry_id": "pantry-2"});
    let issued_at_ms = now_ms();
    let refused = caller
        .once(RESERVE_PALLET, "inside", issued_at_ms, &body)
        .await;
    let refused = refused.expect("an answer").envelope;
    assert_eq!(refused.outcome, Outcome::NotRun, "{refused:?}");
    assert!(refused.retry_after_ms.is_some(), "{refused:?}");

    // The same request through another region runs, once.
    let elsewhere = deployment.caller(outside);
    until("the majority goes on", || async {
        let answer = elsewhere
            .resend(RESERVE_PALLET, "inside", issued_at_ms, &body)
            .await;
        let envelope = answer.map_err(|error| error.to_string())?.envelope;
        match envelope.outcome {
            Outcome::Done => Ok(()),
            outcome => Err(format!("{outcome:?}: {:?}", envelope.reason)),
        }
    })
    .await
    .expect("the majority goes on");
    let accepted = deployment.apply("during-the-cut", 1, set_slots(4)).await;
    accepted.expect("the majority accepts changes");

    deployment.heal();
    until("the region is current again", || async {
        let answer = caller.query(SEARCH_STOCK, &query).await;
        let configuration = answer
            .map_err(|error| error.to_string())?
            .envelope
            .configuration;
        match configuration.current && configuration.version == 2 {
            true => Ok(()),
            false => Err(format!("{configuration:?}")),
        }
    })
    .await
    .expect("it is current again");
    let resent = caller
        .resend(RESERVE_PALLET, "inside", issued_at_ms, &body)
        .await;
    assert_eq!(resent.expect("an answer").envelope.outcome, Outcome::Done);
    let executions = deployment.admin().executions(0).await.expect("executions");
    let runs = executions
        .iter()
        .filter(|record| record.once_key.is_some() && record.ran());
    assert_eq!(runs.count(), 1);
}
