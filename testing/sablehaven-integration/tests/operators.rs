//! Operators' races, resends and waits against real control replicas.

mod support;

use sablehaven_types::{ApplyOutcome, ConfigurationChange};
use support::{set_slots, small_plan, start};

#[tokio::test(flavor = "multi_thread")]
async fn racing_operators_get_one_winner_and_resends_get_the_first_outcome() {
    let deployment = start(small_plan()).await;
    let (first, second) = tokio::join!(
        deployment.apply("race-a", 1, set_slots(4)),
        deployment.apply("race-b", 1, set_slots(6)),
    );
    let first = first.expect("an outcome");
    let second = second.expect("an outcome");
    let accepted = ApplyOutcome::Accepted { version: 2 };
    let (winner, loser) = match first == accepted {
        true => ("race-a", second),
        false => ("race-b", first),
    };
    let ApplyOutcome::Conflict {
        current_version,
        winner: Some(named),
    } = loser
    else {
        panic!("the loser gets a conflict that names the winner, not {loser:?}");
    };
    assert_eq!(current_version, 2);
    assert_eq!(named.command_id.as_str(), winner);

    let resent = deployment.apply(winner, 1, set_slots(4)).await;
    assert_eq!(resent.expect("an outcome"), accepted);
    let operator = deployment.operator().expect("operator");
    let reply = operator.wait(2).await.expect("a reply");
    assert!(reply.in_force, "{reply:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_that_is_not_valid_is_refused_with_every_reason() {
    let deployment = start(small_plan()).await;
    let change = ConfigurationChange::RemoveService {
        service: "trinacria.NoSuchService".into(),
    };
    let outcome = deployment
        .apply("bad", 1, change)
        .await
        .expect("an outcome");
    let ApplyOutcome::Invalid { reasons } = outcome else {
        panic!("expected invalid, not {outcome:?}");
    };
    assert!(
        reasons
            .iter()
            .any(|reason| reason.contains("NoSuchService")),
        "{reasons:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_schema_that_breaks_a_method_in_use_is_refused() {
    let deployment = start(small_plan()).await;
    let mut configuration = deployment.plan().configuration();
    let kept = configuration.schema.text.clone();
    configuration.schema.text = kept.replace("uint32 limit = 4;", "string limit = 4;");
    assert_ne!(configuration.schema.text, kept);
    let change = ConfigurationChange::ReplaceAll { configuration };
    let outcome = deployment.apply("breaking", 1, change).await;
    let ApplyOutcome::Invalid { reasons } = outcome.expect("an outcome") else {
        panic!("a breaking change was not refused");
    };
    assert!(
        reasons.iter().any(|reason| reason.contains("limit")),
        "{reasons:?}"
    );
}
