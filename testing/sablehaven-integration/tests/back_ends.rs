//! Back ends that leave, are lost, or are said to leave by only one of three signals.

mod support;

use sablehaven_harness::{Deployment, until};
use sablehaven_types::{BackendId, BackendState, Outcome};
use serde_json::json;
use support::{SEARCH_STOCK, small_plan, start};

/// Queries in a row, through every agent, without work for a back end, after which it counts as left.
const QUIET_QUERIES: usize = 30;

async fn received(deployment: &Deployment, backend: &BackendId) -> Result<u64, String> {
    let backends = deployment.admin().backends().await;
    let backends = backends.map_err(|error| error.to_string())?;
    let found = backends.iter().find(|status| status.record.id == *backend);
    found
        .map(|status| status.received)
        .ok_or_else(|| format!("no back end {backend}"))
}

/// Sends queries through every agent until none of a whole row of them reaches the back end.
async fn wait_until_left(deployment: &Deployment, backend: &BackendId) {
    until(&format!("{backend} gets no new work"), || async {
        let before = received(deployment, backend).await?;
        for query in 0..QUIET_QUERIES {
            ask(deployment, query % deployment.agents.len()).await;
        }
        match received(deployment, backend).await? - before {
            0 => Ok(()),
            more => Err(format!("{more} requests reached it")),
        }
    })
    .await
    .expect("it gets no new work");
}

async fn ask(deployment: &Deployment, agent: usize) {
    let answer = deployment
        .caller(agent)
        .query(SEARCH_STOCK, &json!({"text": "pasta"}))
        .await
        .expect("an answer");
    assert_eq!(answer.envelope.outcome, Outcome::Done, "{answer:?}");
    let coverage = answer.envelope.coverage.expect("coverage");
    assert!(coverage.is_complete(), "{coverage:?}");
}

/// A back end that the first agent's queries use.
async fn busy_back_end(deployment: &Deployment) -> BackendId {
    ask(deployment, 0).await;
    let backends = deployment.admin().backends().await.expect("back ends");
    let busiest = backends.iter().max_by_key(|status| status.received);
    busiest.expect("there is one").record.id.clone()
}

async fn wait_until_recorded(deployment: &Deployment, backend: &BackendId, state: BackendState) {
    let operator = deployment.operator().expect("operator");
    until(&format!("{backend} is recorded as {state:?}"), || async {
        let path = sablehaven_control::operator::paths::BACKENDS;
        let records = operator
            .get::<Vec<sablehaven_types::BackendRecord>>(path)
            .await;
        let records = records.map_err(|error| error.to_string())?;
        match records.iter().find(|record| record.id == *backend) {
            Some(record) if record.state == state => Ok(()),
            other => Err(format!("{other:?}")),
        }
    })
    .await
    .expect("it is recorded");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_back_end_that_says_it_drains_gets_no_new_work_from_any_agent() {
    let deployment = start(small_plan()).await;
    let backend = busy_back_end(&deployment).await;
    deployment.admin().drain(&backend).await.expect("drain");
    wait_until_left(&deployment, &backend).await;
    wait_until_recorded(&deployment, &backend, BackendState::Leaving).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_back_end_on_the_platforms_leaving_list_gets_no_new_work() {
    let deployment = start(small_plan()).await;
    let backend = busy_back_end(&deployment).await;
    let list = deployment.admin().platform().await.expect("the list");
    let listed = list
        .machines
        .into_iter()
        .find(|record| record.id == backend);
    let mut record = listed.expect("it is listed");
    record.state = BackendState::Leaving;
    let changed = deployment.admin().platform_list(&record).await;
    changed.expect("the list changes");
    wait_until_left(&deployment, &backend).await;
    wait_until_recorded(&deployment, &backend, BackendState::Leaving).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_stay_complete_while_a_replica_of_every_shard_is_lost() {
    let deployment = start(small_plan()).await;
    ask(&deployment, 0).await;
    let backends = deployment.admin().backends().await.expect("back ends");
    let instance = "ordering-portal-1-";
    let lost: Vec<BackendId> = backends
        .iter()
        .map(|status| status.record.id.clone())
        .filter(|id| id.as_str().starts_with(instance))
        .collect();
    assert!(!lost.is_empty());
    for backend in &lost {
        deployment.admin().lose(backend).await.expect("lose");
    }
    for query in 0..QUIET_QUERIES {
        ask(&deployment, query % deployment.agents.len()).await;
    }
    for backend in &lost {
        deployment.admin().restore(backend).await.expect("restore");
    }
    ask(&deployment, 0).await;
}
