//! Control machines that are cut off, killed, lose their disks and are replaced.

mod support;

use std::time::Duration;

use sablehaven_cli::OperatorClient;
use sablehaven_control::{
    operator::{ReplaceReplica, paths},
    replicas::ReplicasOutcome,
};
use sablehaven_harness::{Deployment, Node, now_ms, until};
use sablehaven_types::{ApplyCommand, ApplyOutcome, ClaimAnswer, LedgerKey, Outcome};
use serde_json::json;
use support::{RESERVE_PALLET, leader, set_slots, small_plan, start, status};

/// Time in which a replica that cannot reach the others is asked to accept a change.
const HOPELESS_LIMIT: Duration = Duration::from_secs(2);

fn operator_of<'a>(nodes: impl IntoIterator<Item = &'a Node>, limit: Duration) -> OperatorClient {
    let addresses = nodes.into_iter().map(Node::http).collect();
    OperatorClient::new(addresses, limit).expect("an operator")
}

fn command(id: &str, expected_version: u64, slots: u32) -> ApplyCommand {
    ApplyCommand {
        command_id: id.into(),
        operator: "integration".into(),
        reason: "test".to_owned(),
        expected_version,
        change: set_slots(slots),
    }
}

async fn wait_for_version(node: &Node, version: u64) {
    until(
        &format!("{} has version {version}", node.name()),
        || async {
            match status(node).await?.configuration_version {
                current if current == version => Ok(()),
                current => Err(format!("version {current}")),
            }
        },
    )
    .await
    .expect("the version arrives");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leader_that_is_cut_off_silently_accepts_nothing_and_the_others_go_on() {
    let deployment = start(small_plan()).await;
    let lost = leader(&deployment).await;
    let lost_node = &deployment.control[lost];
    deployment.cut_off(lost_node);

    let others = deployment
        .control
        .iter()
        .filter(|node| node.name() != lost_node.name());
    let operator = operator_of(others, Duration::from_secs(30));
    let accepted = operator.apply(&command("among-the-others", 1, 4)).await;
    assert_eq!(
        accepted.expect("an outcome"),
        ApplyOutcome::Accepted { version: 2 }
    );
    let reply = operator.wait(2).await.expect("a reply");
    assert!(
        reply.in_force,
        "in force without the replica that is cut off: {reply:?}"
    );

    let hopeless = operator_of([lost_node], HOPELESS_LIMIT);
    let refused = hopeless.apply(&command("at-the-lost-one", 1, 9)).await;
    assert!(refused.is_err(), "a cut-off replica answered {refused:?}");

    deployment.heal();
    for node in &deployment.control {
        wait_for_version(node, 2).await;
    }
    let history: Vec<sablehaven_types::CommandRecord> =
        operator.get(paths::HISTORY).await.expect("the history");
    assert!(
        history
            .iter()
            .all(|record| record.command_id.as_str() != "at-the-lost-one"),
        "what was never accepted is not in the history: {history:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_failure_right_after_the_repair_of_a_lost_disk_loses_nothing() {
    let mut deployment = start(small_plan()).await;
    let issued_at_ms = now_ms();
    let body = json!({"depot_id": "depot-1", "pallet_id": "p-1", "pantry_id": "pantry-1"});
    let answer = deployment
        .caller(0)
        .once(RESERVE_PALLET, "before-the-loss", issued_at_ms, &body)
        .await
        .expect("an answer");
    assert_eq!(answer.envelope.outcome, Outcome::Done, "{answer:?}");

    let old = status(&deployment.control[0])
        .await
        .expect("status")
        .replica;
    deployment.control[0].kill().await.expect("kill");
    deployment.control[0].lose_disk().expect("lose the disk");
    deployment.control[0]
        .start()
        .await
        .expect("start with an empty disk");
    let new = status(&deployment.control[0])
        .await
        .expect("status")
        .replica;
    assert_ne!(old, new, "a lost disk comes back as another replica");

    replace(&deployment, old, 0).await;
    deployment.control[1]
        .kill()
        .await
        .expect("kill a second one");

    let outcome = deployment.apply("after-both", 1, set_slots(4)).await;
    assert_eq!(
        outcome.expect("an outcome"),
        ApplyOutcome::Accepted { version: 2 }
    );
    let key = LedgerKey {
        caller: "integration".into(),
        request: "before-the-loss".into(),
        issued_at_ms,
    };
    let operator = deployment.operator().expect("operator");
    let recorded: ClaimAnswer = operator.post(paths::LOOK_UP, &key).await.expect("look-up");
    assert!(matches!(recorded, ClaimAnswer::Settled(_)), "{recorded:?}");
}

async fn replace(deployment: &Deployment, old: sablehaven_consensus::ReplicaId, place: usize) {
    let operator = deployment.operator().expect("operator");
    let request = ReplaceReplica {
        old,
        address: deployment.control[place].internal(),
    };
    until("the replacement starts", || async {
        let outcome = operator
            .post::<_, ReplicasOutcome>(paths::REPLACE, &request)
            .await;
        match outcome {
            Ok(ReplicasOutcome::Started { .. }) => Ok(()),
            Ok(ReplicasOutcome::Busy { current }) if current.kind.removed() == Some(old) => Ok(()),
            other => Err(format!("{other:?}")),
        }
    })
    .await
    .expect("the replacement starts");
    until("the replacement is done", || async {
        let status = status(&deployment.control[1]).await?;
        let is_gone = status.replicas.iter().all(|state| state.replica != old);
        match status.change {
            None if is_gone => Ok(()),
            change => Err(format!("change {change:?}, replicas {:?}", status.replicas)),
        }
    })
    .await
    .expect("the replacement is done");
}

#[tokio::test(flavor = "multi_thread")]
async fn processes_that_restart_after_hundreds_of_changes_take_the_current_state() {
    let mut deployment = start(small_plan()).await;
    let changes = 300;
    deployment.agents[0].kill().await.expect("kill an agent");
    deployment.control[0]
        .kill()
        .await
        .expect("kill a control replica");
    for change in 0..changes {
        let slots = 3 + change % 5;
        let version = u64::from(change) + 1;
        let outcome = deployment
            .apply(&format!("change-{change}"), version, set_slots(slots))
            .await
            .expect("an outcome");
        assert_eq!(
            outcome,
            ApplyOutcome::Accepted {
                version: version + 1
            }
        );
    }
    let last = u64::from(changes) + 1;
    deployment.control[0]
        .start()
        .await
        .expect("start the control replica");
    deployment.agents[0].start().await.expect("start the agent");
    deployment
        .wait_ready(&deployment.agents[0])
        .await
        .expect("ready");
    wait_for_version(&deployment.control[0], last).await;
    let answer = deployment
        .caller(0)
        .query(support::SEARCH_STOCK, &json!({"text": "oil"}))
        .await
        .expect("an answer");
    assert_eq!(answer.envelope.configuration.version, last);
    assert!(answer.envelope.configuration.current);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_of_the_leader_leaves_a_leader_and_loses_no_claim() {
    let mut deployment = start(small_plan()).await;
    let first = leader(&deployment).await;
    let exit = deployment.control[first].stop().await.expect("stop");
    assert!(
        exit.success(),
        "{exit}: {}",
        deployment.control[first].errors()
    );
    let body = json!({"depot_id": "depot-1", "pallet_id": "p-9", "pantry_id": "pantry-1"});
    let answer = deployment
        .caller(1)
        .once(RESERVE_PALLET, "after-the-stop", now_ms(), &body)
        .await
        .expect("an answer");
    assert_eq!(answer.envelope.outcome, Outcome::Done, "{answer:?}");
}
