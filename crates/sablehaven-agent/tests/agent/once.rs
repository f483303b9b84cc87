//! Requests that may not be repeated.

use std::{sync::Arc, time::Duration};

use sablehaven_types::{ClaimAnswer, Outcome, RecordedOutcome, http};
use tokio::sync::Semaphore;

use crate::support::{
    backend::{Script, WrongEcho},
    bed::Bed,
    caller::Once,
    eventually,
    ledger::Entry,
};

fn entry(bed: &Bed, once: &Once) -> Option<Entry> {
    bed.relay.lock().ledger.entries.get(&once.key).cloned()
}

fn is_released(bed: &Bed, once: &Once) -> bool {
    matches!(entry(bed, once), Some(Entry::Released(_)))
}

fn is_settled_unknown(bed: &Bed, once: &Once) -> bool {
    let settled = entry(bed, once);
    matches!(settled, Some(Entry::Settled(_, RecordedOutcome::Unknown)))
}

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
    assert!(matches!(
        entry(&bed, &once),
        Some(Entry::Settled(_, RecordedOutcome::Done { .. }))
    ));
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
    eventually("the claim is given back", || is_released(&bed, &once)).await;
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
async fn a_refusal_of_the_back_end_releases_the_claim() {
    for word in [
        http::REFUSED_SHED,
        http::REFUSED_DRAINING,
        http::REFUSED_SNAPSHOT,
        http::REFUSED_DEADLINE,
    ] {
        let bed = Bed::start(1, 2).await;
        let refuse = Script::Refuse { word, echo: true };
        bed.backends
            .iter()
            .for_each(|backend| backend.always(refuse.clone()));
        let agent = bed.agent().await;
        let once = Once::fresh();
        let answer = agent.caller.reserve(&once).await;
        assert_eq!(
            (answer.status, answer.envelope.outcome),
            (503, Outcome::NotRun),
            "{word}"
        );
        assert!(answer.envelope.retry_after_ms.is_some());
        assert!(is_released(&bed, &once));
        assert_eq!(bed.attempts(), 1, "never retried after the dispatch");
        bed.backends
            .iter()
            .for_each(|backend| backend.always(Script::Reply));
    }
}

#[tokio::test]
async fn a_refusal_that_names_no_attempt_proves_nothing() {
    let bed = Bed::start(1, 1).await;
    bed.backends[0].always(Script::Refuse {
        word: http::REFUSED_SHED,
        echo: false,
    });
    let agent = bed.agent().await;
    let once = Once::fresh();
    let answer = agent.caller.reserve(&once).await;
    assert_eq!(answer.envelope.outcome, Outcome::Unknown);
    assert!(is_settled_unknown(&bed, &once));
}

#[tokio::test]
async fn an_unsure_end_is_unknown_and_a_resend_does_not_run_it() {
    for script in [
        Script::Status(500),
        Script::Echo(WrongEcho::Attempt),
        Script::Echo(WrongEcho::Shard),
        Script::Echo(WrongEcho::Snapshot),
        Script::Echo(WrongEcho::Missing),
        Script::Truncated,
        Script::Garbage,
    ] {
        let bed = Bed::start(1, 2).await;
        bed.backends
            .iter()
            .for_each(|backend| backend.always(script.clone()));
        let agent = bed.agent().await;
        let other = bed.agent().await;
        let once = Once::fresh();
        let answer = agent.caller.reserve(&once).await;
        assert_eq!(
            (answer.status, answer.envelope.outcome),
            (504, Outcome::Unknown)
        );
        bed.backends
            .iter()
            .for_each(|backend| backend.always(Script::Reply));
        for agent in [&agent, &other] {
            let resent = agent.caller.reserve(&once.again()).await;
            assert_eq!(resent.envelope.outcome, Outcome::Unknown);
        }
        assert_eq!(bed.attempts(), 1);
    }
}

#[tokio::test]
async fn a_back_end_lost_in_the_middle_leaves_it_unknown() {
    let bed = Bed::start(1, 1).await;
    bed.backends[0].always(Script::Never);
    let agent = bed.agent().await;
    let once = Once::fresh();
    let caller = agent.caller.clone();
    let sent = once.clone();
    let asking = tokio::spawn(async move { caller.reserve(&sent).await });
    eventually("it runs", || bed.backends[0].running() == 1).await;
    bed.backends[0].lose();
    let answer = asking.await.expect("answered");
    assert_eq!(answer.envelope.outcome, Outcome::Unknown);
    assert!(is_settled_unknown(&bed, &once));
}

#[tokio::test]
async fn where_no_connection_can_be_opened_it_did_not_run() {
    let bed = Bed::start(1, 1).await;
    // A port that was free a moment ago and that nobody listens on.
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port");
    let address = listener.local_addr().expect("bound");
    drop(listener);
    let mut record = bed.record(0);
    record.address = address;
    bed.relay.publish(|state| {
        state.backends.insert(record.id.clone(), record);
    });
    let agent = bed.agent().await;
    let once = Once::fresh();
    let answer = agent.caller.reserve(&once).await;
    assert_eq!(
        (answer.status, answer.envelope.outcome),
        (503, Outcome::NotRun)
    );
    assert!(is_released(&bed, &once));
}

#[tokio::test]
async fn a_late_reply_is_recorded_though_the_caller_was_told_unknown() {
    let bed = Bed::start(1, 1).await;
    let gate = Arc::new(Semaphore::new(0));
    bed.backends[0].always(Script::Gate(Arc::clone(&gate)));
    let agent = bed.agent().await;
    let once = Once::fresh().within(Duration::from_millis(200));
    let answer = agent.caller.reserve(&once).await;
    assert_eq!(
        (answer.status, answer.envelope.outcome),
        (504, Outcome::Unknown)
    );
    let resent = agent.caller.reserve(&once.again()).await;
    assert_eq!(resent.envelope.outcome, Outcome::Unknown, "still held");
    gate.add_permits(1);
    let is_done = || {
        matches!(
            entry(&bed, &once),
            Some(Entry::Settled(_, RecordedOutcome::Done { .. }))
        )
    };
    eventually("the late reply is recorded", is_done).await;
    let resent = agent.caller.reserve(&once.again()).await;
    assert_eq!(resent.envelope.outcome, Outcome::Done);
    assert_eq!(bed.attempts(), 1);
}

#[tokio::test]
async fn a_caller_who_goes_away_leaves_no_claim_without_outcome() {
    let bed = Bed::start(1, 1).await;
    let gate = Arc::new(Semaphore::new(0));
    bed.backends[0].always(Script::Gate(Arc::clone(&gate)));
    let agent = bed.agent().await;
    let once = Once::fresh();
    let caller = agent.caller.clone();
    let sent = once.clone();
    let asking = tokio::spawn(async move { caller.reserve(&sent).await });
    eventually("it runs", || bed.backends[0].running() == 1).await;
    asking.abort();
    gate.add_permits(1);
    let is_settled = || matches!(entry(&bed, &once), Some(Entry::Settled(..)));
    eventually("the outcome is recorded", is_settled).await;
}

#[tokio::test]
async fn a_lost_settle_reply_is_sent_again() {
    let bed = Bed::start(1, 1).await;
    bed.relay.lock().ledger.losses.settles = 2;
    let agent = bed.agent().await;
    let answer = agent.caller.reserve(&Once::fresh()).await;
    assert_eq!(answer.envelope.outcome, Outcome::Done);
    assert_eq!(bed.attempts(), 1);
}

#[tokio::test]
async fn an_outcome_is_recorded_once_the_ledger_can_be_reached_again() {
    let bed = Bed::start(1, 1).await;
    let gate = Arc::new(Semaphore::new(0));
    bed.backends[0].always(Script::Gate(Arc::clone(&gate)));
    let agent = bed.agent().await;
    let once = Once::fresh();
    let caller = agent.caller.clone();
    let sent = once.clone();
    let asking = tokio::spawn(async move { caller.reserve(&sent).await });
    eventually("it runs", || bed.backends[0].running() == 1).await;
    bed.relay.lock().ledger.unreachable = true;
    gate.add_permits(1);
    let was_tried = || bed.relay.lock().ledger.unanswered > 0;
    eventually("recording is tried", was_tried).await;
    bed.relay.lock().ledger.unreachable = false;
    let answer = asking.await.expect("answered");
    assert_eq!(answer.envelope.outcome, Outcome::Done);
    let recorded = entry(&bed, &once);
    assert!(matches!(
        recorded,
        Some(Entry::Settled(_, RecordedOutcome::Done { .. }))
    ));
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
    assert!(is_released(&bed, &once));
    assert_eq!(bed.attempts(), 0);
}

#[tokio::test]
async fn it_is_never_hedged() {
    let bed = Bed::start(1, 2).await;
    let agent = bed.agent().await;
    for _ in 0..100 {
        agent.caller.search("learn").await;
    }
    let before = bed.attempts();
    let slow = Script::Delay(Duration::from_millis(300));
    bed.backends
        .iter()
        .for_each(|backend| backend.always(slow.clone()));
    let answer = agent.caller.reserve(&Once::fresh()).await;
    assert_eq!(answer.envelope.outcome, Outcome::Done);
    assert_eq!(bed.attempts(), before + 1);
}
