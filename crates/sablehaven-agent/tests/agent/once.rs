//! Requests that may not be repeated: claim, lease, resends, refusals before the dispatch.

use std::{sync::Arc, time::Duration};

use sablehaven_types::{ClaimAnswer, Outcome};
use tokio::sync::Semaphore;

use crate::support::{backend::Script, bed::Bed, caller::Once, eventually};

#[tokio::test]
async fn it_runs_and_the_outcome_is_recorded_before_the_answer() {
    let bed = Bed::start(1, 1).await;
    let agent = bed.agent().await;
    let once = Once::fresh();
    let answer = agent.caller.reserve(&once).await;
    assert_eq!(
        (answer.status, answer.envelope.outcome),
        (200, Outcome::Done)
    );
    assert!(bed.is_done(&once));
    let seen = &bed.backends[0].seen()[0];
    assert_eq!(seen.request_id.as_deref(), Some(once.key.request.as_str()));
}

#[tokio::test]
async fn it_is_claimed_before_the_dispatch() {
    let bed = Bed::start(1, 1).await;
    let relay = bed.relay.clone();
    bed.backends[0].choose(move |_| {
        let claimed = relay.lock().ledger.claims().len();
        assert_eq!(claimed, 1, "the claim comes first");
        Script::Reply
    });
    let agent = bed.agent().await;
    let answer = agent.caller.reserve(&Once::fresh()).await;
    assert_eq!(answer.envelope.outcome, Outcome::Done);
}

#[tokio::test]
async fn a_resend_through_the_same_or_another_agent_gets_the_recorded_outcome() {
    let bed = Bed::start(1, 1).await;
    let first = bed.agent().await;
    let other = bed.agent().await;
    let once = Once::fresh();
    let answer = first.caller.reserve(&once).await;
    for agent in [&first, &other] {
        let resent = agent.caller.reserve(&once.again()).await;
        assert_eq!(resent.envelope.outcome, Outcome::Done);
        assert_eq!(resent.envelope.body, answer.envelope.body);
    }
    assert_eq!(bed.backends[0].replied(), 1);
}

#[tokio::test]
async fn two_agents_with_the_same_request_at_once_run_it_once() {
    let bed = Bed::start(1, 1).await;
    let gate = Arc::new(Semaphore::new(0));
    bed.backends[0].always(Script::Gate(Arc::clone(&gate)));
    let first = bed.agent().await;
    let other = bed.agent().await;
    let once = Once::fresh();
    let caller = first.caller.clone();
    let sent = once.clone();
    let running = tokio::spawn(async move { caller.reserve(&sent).await });
    eventually("the first runs", || bed.backends[0].running() == 1).await;
    let resent = other.caller.reserve(&once.again()).await;
    assert_eq!(
        (resent.status, resent.envelope.outcome),
        (504, Outcome::Unknown)
    );
    assert!(resent.envelope.retry_after_ms.is_some());
    gate.add_permits(1);
    let answer = running.await.expect("answered");
    assert_eq!(answer.envelope.outcome, Outcome::Done);
    assert_eq!(bed.backends[0].seen().len(), 1);
}

#[tokio::test]
async fn without_a_lease_it_is_refused_before_anything_happens() {
    let bed = Bed::start(1, 1).await;
    bed.relay.lock().grants_leases = false;
    let agent = bed.agent().await;
    let once = Once::fresh();
    let answer = agent.caller.reserve(&once).await;
    assert_eq!(
        (answer.status, answer.envelope.outcome),
        (503, Outcome::NotRun)
    );
    assert!(answer.envelope.retry_after_ms.is_some());
    assert!(bed.relay.lock().ledger.requests.is_empty());
    assert_eq!(bed.attempts(), 0);
    // A resend may have run before, so of it "not run" would not be true.
    let resent = agent.caller.reserve(&once.again()).await;
    assert_eq!(
        (resent.status, resent.envelope.outcome),
        (504, Outcome::Unknown)
    );
}

#[tokio::test]
async fn a_lost_claim_reply_is_asked_for_again_with_the_same_claim() {
    let bed = Bed::start(1, 1).await;
    bed.relay.lock().ledger.losses.claims = 2;
    let agent = bed.agent().await;
    let answer = agent.caller.reserve(&Once::fresh()).await;
    assert_eq!(answer.envelope.outcome, Outcome::Done);
    let claims = bed.relay.lock().ledger.claims();
    assert_eq!(claims.len(), 3);
    assert!(claims.iter().all(|claim| *claim == claims[0]));
    assert_eq!(bed.backends[0].seen().len(), 1);
}

#[tokio::test]
async fn without_an_answer_of_the_ledger_nothing_is_dispatched() {
    let bed = Bed::start(1, 1).await;
    let agent = bed.agent().await;
    bed.relay.lock().ledger.losses.claims = u32::MAX;
    let once = Once::fresh().within(Duration::from_millis(400));
    let answer = agent.caller.reserve(&once).await;
    assert_eq!(
        (answer.status, answer.envelope.outcome),
        (503, Outcome::NotRun)
    );
    eventually("the claim is given back", || bed.is_released(&once)).await;
    assert_eq!(bed.attempts(), 0);
    // The claim is free again: the resend runs.
    bed.relay.lock().ledger.losses.claims = 0;
    let resent = agent.caller.reserve(&once.again()).await;
    assert_eq!(resent.envelope.outcome, Outcome::Done);
}

#[tokio::test]
async fn an_unreachable_ledger_leaves_a_resend_unknown() {
    let bed = Bed::start(1, 1).await;
    let agent = bed.agent().await;
    bed.relay.lock().ledger.unreachable = true;
    let mut once = Once::fresh().again();
    once.deadline = Some(Duration::from_millis(300));
    let answer = agent.caller.reserve(&once).await;
    assert_eq!(answer.envelope.outcome, Outcome::Unknown);
}

#[tokio::test]
async fn the_same_id_with_another_body_is_refused() {
    let bed = Bed::start(1, 1).await;
    let agent = bed.agent().await;
    let once = Once::fresh();
    agent.caller.reserve(&once).await;
    let mut changed = once.clone();
    changed.id = "another pallet".to_owned();
    let answer = agent.caller.reserve(&changed).await;
    assert_eq!(
        (answer.status, answer.envelope.outcome),
        (409, Outcome::NotRun)
    );
    assert_eq!(bed.attempts(), 1);
}

#[tokio::test]
async fn below_the_horizon_it_is_unknown_because_it_may_have_run() {
    let bed = Bed::start(1, 1).await;
    let agent = bed.agent().await;
    bed.relay.lock().ledger.forced = Some(ClaimAnswer::BelowHorizon { horizon_ms: 1 });
    let answer = agent.caller.reserve(&Once::fresh()).await;
    assert_eq!(answer.envelope.outcome, Outcome::Unknown);
    assert_eq!(bed.attempts(), 0);
}

#[tokio::test]
async fn refusals_of_the_ledger_are_not_run() {
    for forced in [
        ClaimAnswer::Full,
        ClaimAnswer::IssuedInFuture { limit_ms: 1 },
    ] {
        let bed = Bed::start(1, 1).await;
        let agent = bed.agent().await;
        bed.relay.lock().ledger.forced = Some(forced);
        let answer = agent.caller.reserve(&Once::fresh()).await;
        assert_eq!(answer.envelope.outcome, Outcome::NotRun);
        assert_eq!(bed.attempts(), 0);
    }
}

#[tokio::test]
async fn a_request_issued_long_ago_is_not_dispatched() {
    let bed = Bed::start(1, 1).await;
    let agent = bed.agent().await;
    let mut once = Once::fresh();
    once.key.issued_at_ms -= 10 * 60 * 1_000;
    let answer = agent.caller.reserve(&once).await;
    assert_eq!(
        (answer.status, answer.envelope.outcome),
        (409, Outcome::NotRun)
    );
    assert!(bed.is_released(&once));
    assert_eq!(bed.attempts(), 0);
}
