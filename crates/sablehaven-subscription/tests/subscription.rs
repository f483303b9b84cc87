//! Tests of the subscription against scripted relays on the loopback interface.

mod support;

use std::time::Duration;

use sablehaven_subscription::Subscription;
use sablehaven_types::{
    BackendRecord, BackendState, ClaimAnswer, ClaimId, LedgerKey, LedgerReply, LedgerRequest,
    Observation, ObservationKind, Placement,
};
use sablehaven_wire::{AgentToRelay, RelayToAgent};
use support::{LedgerScript, RelayDouble, delta_update, full_update, subscribe, wait_until};

const CALL_TIMEOUT: Duration = Duration::from_secs(50);
const GRANTED: LedgerReply = LedgerReply::Claim(ClaimAnswer::Granted);

fn claim(number: u64) -> LedgerRequest {
    LedgerRequest::Claim {
        key: LedgerKey {
            caller: "pantry-7".into(),
            request: format!("request-{number}").into(),
            issued_at_ms: 1,
        },
        claim: ClaimId(number),
        fingerprint: 1,
    }
}

fn draining_observation(backend: &str) -> Observation {
    Observation {
        backend: backend.into(),
        service: "stock.Search".into(),
        incarnation: 1,
        kind: ObservationKind::Draining,
    }
}

async fn wait_until_current_at(subscription: &Subscription, revision: u64) {
    wait_until("the revision is in force and current", || {
        subscription.view().revision == revision && subscription.lease().current
    })
    .await;
}

fn is_ledger(message: &AgentToRelay) -> bool {
    matches!(message, AgentToRelay::Ledger { .. })
}

fn is_watch(message: &AgentToRelay) -> bool {
    matches!(message, AgentToRelay::Watch { .. })
}

#[tokio::test]
async fn a_new_agent_applies_the_current_state_and_acknowledges_it() {
    let relay = RelayDouble::start(500).await;
    let subscription = subscribe(&[&relay]);
    wait_until_current_at(&subscription, 500).await;
    assert_eq!(subscription.metrics().updates.get(), 1);
    let acknowledged = AgentToRelay::Acknowledge {
        revision: 500,
        configuration_version: 500,
    };
    wait_until("the acknowledgement is received", || {
        relay.has_received(|message| *message == acknowledged)
    })
    .await;
    relay.advance(delta_update(500, 501));
    wait_until_current_at(&subscription, 501).await;
    subscription.stop().await;
    wait_until("the Leave message is received", || {
        relay.has_received(|message| *message == AgentToRelay::Leave)
    })
    .await;
}

#[tokio::test]
async fn switching_relays_never_reverts_the_state() {
    let near = RelayDouble::start(20).await;
    let far = RelayDouble::start(15).await;
    far.script().grant_revision = 20;
    let subscription = subscribe(&[&near, &far]);
    wait_until_current_at(&subscription, 20).await;
    near.kill().await;
    wait_until("the far relay receives a watch request", || {
        far.has_received(is_watch)
    })
    .await;
    far.send(RelayToAgent::Update(full_update(15)));
    far.send(RelayToAgent::Update(delta_update(15, 18)));
    far.send(RelayToAgent::Update(delta_update(20, 21)));
    wait_until("the next revision is in force", || {
        subscription.view().revision == 21
    })
    .await;
    assert_eq!(subscription.metrics().updates.get(), 2);
}

#[tokio::test]
async fn a_relay_that_stops_granting_leases_is_replaced() {
    let near = RelayDouble::start(5).await;
    let far = RelayDouble::start(5).await;
    let subscription = subscribe(&[&near, &far]);
    wait_until_current_at(&subscription, 5).await;
    near.script().grants = false;
    wait_until("the far relay grants a lease", || {
        far.has_received(|message| matches!(message, AgentToRelay::RequestLease { .. }))
            && subscription.lease().current
            && subscription.metrics().relay_changes.get() == 2
    })
    .await;
    assert_eq!(subscription.ledger(claim(1), CALL_TIMEOUT).await, GRANTED);
    assert!(far.has_received(is_ledger));
}

#[tokio::test]
async fn without_any_lease_the_configuration_is_reported_as_not_current() {
    let near = RelayDouble::start(5).await;
    near.script().lease_ms = 300;
    let far = RelayDouble::start(5).await;
    far.script().grants = false;
    let subscription = subscribe(&[&near, &far]);
    wait_until_current_at(&subscription, 5).await;
    near.script().grants = false;
    wait_until("the lease has expired", || !subscription.lease().current).await;
    let age = subscription.lease();
    assert_eq!(age.version, 5);
    assert!(age.age_ms >= 290, "{age:?}");
    near.script().grants = true;
    wait_until_current_at(&subscription, 5).await;
}

#[tokio::test]
async fn a_lease_for_a_revision_not_yet_applied_is_not_valid() {
    let near = RelayDouble::start(5).await;
    near.script().grant_revision = 6;
    let subscription = subscribe(&[&near]);
    wait_until("the state is in force", || {
        subscription.view().revision == 5
    })
    .await;
    wait_until("several lease requests are received", || {
        let received = &near.script().received;
        let is_request =
            |message: &&AgentToRelay| matches!(message, AgentToRelay::RequestLease { .. });
        received.iter().filter(is_request).count() > 5
    })
    .await;
    assert!(!subscription.lease().current);
    near.send(RelayToAgent::Update(delta_update(5, 6)));
    wait_until("the lease is valid", || subscription.lease().current).await;
}

#[tokio::test]
async fn a_ledger_call_fails_when_the_connection_breaks_and_can_be_repeated() {
    let near = RelayDouble::start(5).await;
    near.script().ledger = LedgerScript::Ignore;
    let far = RelayDouble::start(5).await;
    let subscription = subscribe(&[&near, &far]);
    wait_until_current_at(&subscription, 5).await;
    let caller = subscription.clone();
    let call = tokio::spawn(async move { caller.ledger(claim(1), CALL_TIMEOUT).await });
    wait_until("the call is received", || near.has_received(is_ledger)).await;
    near.kill().await;
    let reply = call.await.expect("call");
    assert!(
        matches!(reply, LedgerReply::Unavailable { .. }),
        "{reply:?}"
    );
    assert_eq!(subscription.ledger(claim(1), CALL_TIMEOUT).await, GRANTED);
    let calls_at_far = far
        .script()
        .received
        .iter()
        .filter(|m| is_ledger(m))
        .count();
    assert_eq!(calls_at_far, 1, "a call is repeated only by the caller");
}

#[tokio::test]
async fn a_ledger_call_without_an_answer_times_out() {
    let near = RelayDouble::start(5).await;
    near.script().ledger = LedgerScript::Ignore;
    let subscription = subscribe(&[&near]);
    wait_until_current_at(&subscription, 5).await;
    let reply = subscription
        .ledger(claim(1), Duration::from_millis(50))
        .await;
    assert!(
        matches!(reply, LedgerReply::Unavailable { .. }),
        "{reply:?}"
    );
}

#[tokio::test]
async fn a_stopping_relay_answers_its_pending_calls_and_new_calls_use_the_next_relay() {
    let near = RelayDouble::start(5).await;
    near.script().ledger = LedgerScript::Ignore;
    let far = RelayDouble::start(5).await;
    let subscription = subscribe(&[&near, &far]);
    wait_until_current_at(&subscription, 5).await;
    let caller = subscription.clone();
    let call = tokio::spawn(async move { caller.ledger(claim(1), CALL_TIMEOUT).await });
    wait_until("the call is received", || near.has_received(is_ledger)).await;
    near.send(RelayToAgent::GoAway);
    wait_until("the far relay is active", || {
        subscription.metrics().relay_changes.get() == 2
    })
    .await;
    assert_eq!(subscription.ledger(claim(2), CALL_TIMEOUT).await, GRANTED);
    assert!(far.has_received(is_ledger));
    near.send(RelayToAgent::Ledger {
        call: 1,
        reply: LedgerReply::Recorded,
    });
    assert_eq!(call.await.expect("call"), LedgerReply::Recorded);
}

#[tokio::test]
async fn a_gap_makes_the_agent_request_updates_again() {
    let relay = RelayDouble::start(5).await;
    let subscription = subscribe(&[&relay]);
    wait_until_current_at(&subscription, 5).await;
    relay.script().state = full_update(8);
    relay.send(RelayToAgent::Update(delta_update(7, 8)));
    wait_until("the state after the gap is in force", || {
        subscription.view().revision == 8
    })
    .await;
    let is_request_from_5 =
        |message: &AgentToRelay| matches!(message, AgentToRelay::Watch { revision: 5, .. });
    assert!(relay.has_received(is_request_from_5));
    assert_eq!(subscription.metrics().gaps.get(), 1);
}

#[tokio::test]
async fn a_hint_from_another_agent_changes_the_view_and_notifies_watchers() {
    let relay = RelayDouble::start(5).await;
    let record = BackendRecord {
        id: "depot-1".into(),
        service: "stock.Search".into(),
        address: "127.0.0.1:9000".parse().expect("address"),
        placement: Placement {
            region: "west".into(),
            zone: "west-1".into(),
        },
        state: BackendState::Live,
        incarnation: 1,
    };
    let backends = [(record.id.clone(), Some(record))].into();
    relay.script().state.backends = backends;
    let subscription = subscribe(&[&relay]);
    wait_until_current_at(&subscription, 5).await;
    let mut changed = subscription.changed();
    changed.mark_unchanged();
    relay.send(RelayToAgent::Hint(vec![draining_observation("depot-1")]));
    changed.changed().await.expect("a new view");
    let view = subscription.view();
    let backend = &view.backends[&"stock.Search".into()][0];
    assert_eq!(backend.state, BackendState::Leaving);
    assert_eq!(view.revision, 5);
}

#[tokio::test]
async fn observations_are_sent_to_the_relay() {
    let relay = RelayDouble::start(5).await;
    let subscription = subscribe(&[&relay]);
    subscription.observe(draining_observation("depot-1"));
    wait_until("the report is received", || {
        relay.has_received(|message| {
            *message == AgentToRelay::Observe(vec![draining_observation("depot-1")])
        })
    })
    .await;
}

#[tokio::test]
async fn an_update_that_would_revert_the_configuration_ends_the_session() {
    let near = RelayDouble::start(5).await;
    let subscription = subscribe(&[&near]);
    wait_until_current_at(&subscription, 5).await;
    let mut reverting_update = full_update(6);
    reverting_update.configuration_version = 4;
    near.send(RelayToAgent::Update(reverting_update));
    wait_until("the agent connects again", || {
        near.script().connections >= 2
    })
    .await;
    assert_eq!(subscription.view().configuration_version, 5);
    assert_eq!(subscription.metrics().reverts_refused.get(), 1);
}
