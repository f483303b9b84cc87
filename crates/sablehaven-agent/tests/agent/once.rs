//! Tests of at-most-once requests up to the dispatch: claims, leases, resends and refusals.

use std::{sync::Arc, time::Duration};

use sablehaven_types::{ClaimAnswer, Outcome};
use tokio::sync::Semaphore;

use crate::support::{backend::Script, bed::TestBed, caller::OnceRequest, eventually};

#[tokio::test]
async fn the_outcome_is_recorded_before_the_answer() {
    let bed = TestBed::start(1, 1).await;
    let agent = bed.start_agent().await;
    let once = OnceRequest::unique();
    let answer = agent.caller.reserve(&once).await;
    assert_eq!(
        (answer.status, answer.envelope.outcome),
        (200, Outcome::Done)
    );
    assert!(bed.is_done(&once));
    let received = &bed.backends[0].received()[0];
    assert_eq!(
        received.request_id.as_deref(),
        Some(once.key.request.as_str())
    );
}

#[tokio::test]
async fn a_request_is_claimed_before_the_dispatch() {
    let bed = TestBed::start(1, 1).await;
    let relay = bed.relay.clone();
    bed.backends[0].set_script_fn(move |_| {
        let claimed = relay.lock().ledger.claims().len();
        assert_eq!(claimed, 1, "the request is claimed before the dispatch");
        Script::Reply
    });
    let agent = bed.start_agent().await;
    let answer = agent.caller.reserve(&OnceRequest::unique()).await;
    assert_eq!(answer.envelope.outcome, Outcome::Done);
}

#[tokio::test]
async fn a_resend_through_the_same_or_another_agent_gets_the_recorded_outcome() {
    let bed = TestBed::start(1, 1).await;
    let first = bed.start_agent().await;
    let other = bed.start_agent().await;
    let once = OnceRequest::unique();
    let answer = first.caller.reserve(&once).await;
    for agent in [&first, &other] {
        let resent = agent.caller.reserve(&once.as_resend()).await;
        assert_eq!(resent.envelope.outcome, Outcome::Done);
        assert_eq!(resent.envelope.body, answer.envelope.body);
    }
    assert_eq!(bed.backends[0].replied_count(), 1);
}

#[tokio::test]
async fn a_request_sent_to_two_agents_concurrently_runs_once() {
    let bed = TestBed::start(1, 1).await;
    let gate = Arc::new(Semaphore::new(0));
    bed.backends[0].set_script(Script::Gate(Arc::clone(&gate)));
    let first = bed.start_agent().await;
    let other = bed.start_agent().await;
    let once = OnceRequest::unique();
    let caller = first.caller.clone();
    let sent = once.clone();
    let running = tokio::spawn(async move { caller.reserve(&sent).await });
    eventually("the request of the first agent runs", || {
        bed.backends[0].running_count() == 1
    })
    .await;
    let resent = other.caller.reserve(&once.as_resend()).await;
    assert_eq!(
        (resent.status, resent.envelope.outcome),
        (504, Outcome::Unknown)
    );
    assert!(resent.envelope.retry_after_ms.is_some());
    gate.add_permits(1);
    let answer = running.await.expect("answered");
    assert_eq!(answer.envelope.outcome, Outcome::Done);
    assert_eq!(bed.backends[0].received().len(), 1);
}

#[tokio::test]
async fn without_a_lease_a_request_is_refused_before_the_claim() {
    let bed = TestBed::start(1, 1).await;
    bed.relay.lock().grants_leases = false;
    let agent = bed.start_agent().await;
    let once = OnceRequest::unique();
    let answer = agent.caller.reserve(&once).await;
    assert_eq!(
        (answer.status, answer.envelope.outcome),
        (503, Outcome::NotRun)
    );
    assert!(answer.envelope.retry_after_ms.is_some());
    assert!(bed.relay.lock().ledger.requests.is_empty());
    assert_eq!(bed.attempt_count(), 0);
    // The first request may have run, so `NotRun` could be false for a resend.
    let resent = agent.caller.reserve(&once.as_resend()).await;
    assert_eq!(
        (resent.status, resent.envelope.outcome),
        (504, Outcome::Unknown)
    );
}

#[tokio::test]
async fn a_claim_is_resent_with_the_same_id_if_its_reply_is_lost() {
    let bed = TestBed::start(1, 1).await;
    bed.relay.lock().ledger.lost_replies.claims = 2;
    let agent = bed.start_agent().await;
    let answer = agent.caller.reserve(&OnceRequest::unique()).await;
    assert_eq!(answer.envelope.outcome, Outcome::Done);
    let claims = bed.relay.lock().ledger.claims();
    assert_eq!(claims.len(), 3);
    assert!(claims.iter().all(|claim| *claim == claims[0]));
    assert_eq!(bed.backends[0].received().len(), 1);
}

#[tokio::test]
async fn a_request_is_not_dispatched_if_the_ledger_does_not_answer() {
    let bed = TestBed::start(1, 1).await;
    let agent = bed.start_agent().await;
    bed.relay.lock().ledger.lost_replies.claims = u32::MAX;
    let once = OnceRequest::unique().with_deadline(Duration::from_millis(400));
    let answer = agent.caller.reserve(&once).await;
    assert_eq!(
        (answer.status, answer.envelope.outcome),
        (503, Outcome::NotRun)
    );
    eventually("the claim is released", || bed.is_released(&once)).await;
    assert_eq!(bed.attempt_count(), 0);
    // The claim was released, so the resend runs.
    bed.relay.lock().ledger.lost_replies.claims = 0;
    let resent = agent.caller.reserve(&once.as_resend()).await;
    assert_eq!(resent.envelope.outcome, Outcome::Done);
}

#[tokio::test]
async fn the_outcome_of_a_resend_is_unknown_if_the_ledger_is_unreachable() {
    let bed = TestBed::start(1, 1).await;
    let agent = bed.start_agent().await;
    bed.relay.lock().ledger.unreachable = true;
    let mut once = OnceRequest::unique().as_resend();
    once.deadline = Some(Duration::from_millis(300));
    let answer = agent.caller.reserve(&once).await;
    assert_eq!(answer.envelope.outcome, Outcome::Unknown);
}

#[tokio::test]
async fn a_request_id_reused_with_another_body_is_refused() {
    let bed = TestBed::start(1, 1).await;
    let agent = bed.start_agent().await;
    let once = OnceRequest::unique();
    agent.caller.reserve(&once).await;
    let mut changed = once.clone();
    changed.pallet_id = "another pallet".to_owned();
    let answer = agent.caller.reserve(&changed).await;
    assert_eq!(
        (answer.status, answer.envelope.outcome),
        (409, Outcome::NotRun)
    );
    assert_eq!(bed.attempt_count(), 1);
}

/// The ledger keeps no records below its horizon, so the request may have run before.
#[tokio::test]
async fn a_request_below_the_ledger_horizon_is_unknown() {
    let bed = TestBed::start(1, 1).await;
    let agent = bed.start_agent().await;
    bed.relay.lock().ledger.forced_answer = Some(ClaimAnswer::BelowHorizon { horizon_ms: 1 });
    let answer = agent.caller.reserve(&OnceRequest::unique()).await;
    assert_eq!(answer.envelope.outcome, Outcome::Unknown);
    assert_eq!(bed.attempt_count(), 0);
}

#[tokio::test]
async fn requests_refused_by_the_ledger_are_not_run() {
    for forced in [
        ClaimAnswer::Full,
        ClaimAnswer::IssuedInFuture { limit_ms: 1 },
    ] {
        let bed = TestBed::start(1, 1).await;
        let agent = bed.start_agent().await;
        bed.relay.lock().ledger.forced_answer = Some(forced);
        let answer = agent.caller.reserve(&OnceRequest::unique()).await;
        assert_eq!(answer.envelope.outcome, Outcome::NotRun);
        assert_eq!(bed.attempt_count(), 0);
    }
}

#[tokio::test]
async fn a_request_issued_long_ago_is_not_dispatched() {
    let bed = TestBed::start(1, 1).await;
    let agent = bed.start_agent().await;
    let mut once = OnceRequest::unique();
    once.key.issued_at_ms -= 10 * 60 * 1_000;
    let answer = agent.caller.reserve(&once).await;
    assert_eq!(
        (answer.status, answer.envelope.outcome),
        (409, Outcome::NotRun)
    );
    assert!(bed.is_released(&once));
    assert_eq!(bed.attempt_count(), 0);
}
