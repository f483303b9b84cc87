//! Tests of the outcomes of at-most-once requests after the dispatch.

use std::{sync::Arc, time::Duration};

use sablehaven_types::{Outcome, http};
use tokio::sync::Semaphore;

use crate::support::{
    backend::{Script, WrongEcho},
    bed::TestBed,
    caller::OnceRequest,
    eventually,
    ledger::LedgerEntry,
};

#[tokio::test]
async fn a_refusal_of_the_back_end_releases_the_claim() {
    for reason in [
        http::REFUSED_SHED,
        http::REFUSED_DRAINING,
        http::REFUSED_SNAPSHOT,
        http::REFUSED_DEADLINE,
    ] {
        let bed = TestBed::start(1, 2).await;
        let refuse = Script::Refuse { reason, echo: true };
        bed.backends
            .iter()
            .for_each(|backend| backend.set_script(refuse.clone()));
        let agent = bed.start_agent().await;
        let once = OnceRequest::unique();
        let answer = agent.caller.reserve(&once).await;
        assert_eq!(
            (answer.status, answer.envelope.outcome),
            (503, Outcome::NotRun),
            "{reason}"
        );
        assert!(answer.envelope.retry_after_ms.is_some());
        assert!(bed.is_released(&once));
        assert_eq!(bed.attempt_count(), 1, "never retried after the dispatch");
        bed.backends
            .iter()
            .for_each(|backend| backend.set_script(Script::Reply));
    }
}

#[tokio::test]
async fn a_refusal_without_an_attempt_id_leaves_the_outcome_unknown() {
    let bed = TestBed::start(1, 1).await;
    bed.backends[0].set_script(Script::Refuse {
        reason: http::REFUSED_SHED,
        echo: false,
    });
    let agent = bed.start_agent().await;
    let once = OnceRequest::unique();
    let answer = agent.caller.reserve(&once).await;
    assert_eq!(answer.envelope.outcome, Outcome::Unknown);
    assert!(bed.is_settled_unknown(&once));
}

#[tokio::test]
async fn an_inconclusive_attempt_is_unknown_and_a_resend_does_not_run() {
    for script in [
        Script::Status(500),
        Script::WrongEcho(WrongEcho::Attempt),
        Script::WrongEcho(WrongEcho::Shard),
        Script::WrongEcho(WrongEcho::Snapshot),
        Script::WrongEcho(WrongEcho::Missing),
        Script::Truncated,
        Script::Garbage,
    ] {
        let bed = TestBed::start(1, 2).await;
        bed.backends
            .iter()
            .for_each(|backend| backend.set_script(script.clone()));
        let agent = bed.start_agent().await;
        let other = bed.start_agent().await;
        let once = OnceRequest::unique();
        let answer = agent.caller.reserve(&once).await;
        assert_eq!(
            (answer.status, answer.envelope.outcome),
            (504, Outcome::Unknown)
        );
        bed.backends
            .iter()
            .for_each(|backend| backend.set_script(Script::Reply));
        for agent in [&agent, &other] {
            let resent = agent.caller.reserve(&once.as_resend()).await;
            assert_eq!(resent.envelope.outcome, Outcome::Unknown);
        }
        assert_eq!(bed.attempt_count(), 1);
    }
}

#[tokio::test]
async fn a_connection_lost_while_a_request_runs_leaves_the_outcome_unknown() {
    let bed = TestBed::start(1, 1).await;
    bed.backends[0].set_script(Script::NeverReply);
    let agent = bed.start_agent().await;
    let once = OnceRequest::unique();
    let caller = agent.caller.clone();
    let sent = once.clone();
    let request_task = tokio::spawn(async move { caller.reserve(&sent).await });
    eventually("the request runs", || bed.backends[0].running_count() == 1).await;
    bed.backends[0].shut_down();
    let answer = request_task.await.expect("answered");
    assert_eq!(answer.envelope.outcome, Outcome::Unknown);
    assert!(bed.is_settled_unknown(&once));
}

#[tokio::test]
async fn a_request_is_not_run_if_no_connection_can_be_opened() {
    let bed = TestBed::start(1, 1).await;
    // A bound port on which nothing listens; binding it keeps other tests from getting it.
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    let any_port = ([127, 0, 0, 1], 0).into();
    socket.bind(any_port).expect("a port");
    let address = socket.local_addr().expect("bound");
    let mut record = bed.backend_record(0);
    record.address = address;
    bed.relay.publish(|state| {
        state.backends.insert(record.id.clone(), record);
    });
    let agent = bed.start_agent().await;
    let once = OnceRequest::unique();
    let answer = agent.caller.reserve(&once).await;
    assert_eq!(
        (answer.status, answer.envelope.outcome),
        (503, Outcome::NotRun)
    );
    assert!(bed.is_released(&once));
}

#[tokio::test]
async fn a_late_reply_is_recorded_after_the_caller_got_unknown() {
    let bed = TestBed::start(1, 1).await;
    let gate = Arc::new(Semaphore::new(0));
    bed.backends[0].set_script(Script::Gate(Arc::clone(&gate)));
    let agent = bed.start_agent().await;
    let once = OnceRequest::unique().with_deadline(Duration::from_millis(200));
    let answer = agent.caller.reserve(&once).await;
    assert_eq!(
        (answer.status, answer.envelope.outcome),
        (504, Outcome::Unknown)
    );
    let resent = agent.caller.reserve(&once.as_resend()).await;
    assert_eq!(
        resent.envelope.outcome,
        Outcome::Unknown,
        "the claim is still held"
    );
    gate.add_permits(1);
    let is_done = || bed.is_done(&once);
    eventually("the late reply is recorded", is_done).await;
    let resent = agent.caller.reserve(&once.as_resend()).await;
    assert_eq!(resent.envelope.outcome, Outcome::Done);
    assert_eq!(bed.attempt_count(), 1);
}

#[tokio::test]
async fn the_outcome_is_recorded_if_the_caller_disconnects() {
    let bed = TestBed::start(1, 1).await;
    let gate = Arc::new(Semaphore::new(0));
    bed.backends[0].set_script(Script::Gate(Arc::clone(&gate)));
    let agent = bed.start_agent().await;
    let once = OnceRequest::unique();
    let caller = agent.caller.clone();
    let sent = once.clone();
    let request_task = tokio::spawn(async move { caller.reserve(&sent).await });
    eventually("the request runs", || bed.backends[0].running_count() == 1).await;
    request_task.abort();
    gate.add_permits(1);
    let is_settled = || matches!(bed.ledger_entry(&once), Some(LedgerEntry::Settled(..)));
    eventually("the outcome is recorded", is_settled).await;
}

#[tokio::test]
async fn a_settle_request_is_resent_if_its_reply_is_lost() {
    let bed = TestBed::start(1, 1).await;
    bed.relay.lock().ledger.lost_replies.settles = 2;
    let agent = bed.start_agent().await;
    let answer = agent.caller.reserve(&OnceRequest::unique()).await;
    assert_eq!(answer.envelope.outcome, Outcome::Done);
    assert_eq!(bed.attempt_count(), 1);
}

#[tokio::test]
async fn an_outcome_is_recorded_once_the_ledger_is_reachable_again() {
    let bed = TestBed::start(1, 1).await;
    let gate = Arc::new(Semaphore::new(0));
    bed.backends[0].set_script(Script::Gate(Arc::clone(&gate)));
    let agent = bed.start_agent().await;
    let once = OnceRequest::unique();
    let caller = agent.caller.clone();
    let sent = once.clone();
    let request_task = tokio::spawn(async move { caller.reserve(&sent).await });
    eventually("the request runs", || bed.backends[0].running_count() == 1).await;
    bed.relay.lock().ledger.unreachable = true;
    gate.add_permits(1);
    let was_tried = || bed.relay.lock().ledger.unanswered_requests > 0;
    eventually("the agent tries to record the outcome", was_tried).await;
    bed.relay.lock().ledger.unreachable = false;
    let answer = request_task.await.expect("answered");
    assert_eq!(answer.envelope.outcome, Outcome::Done);
    assert!(bed.is_done(&once));
}

#[tokio::test]
async fn at_most_once_requests_are_never_hedged() {
    let bed = TestBed::start(1, 2).await;
    let agent = bed.start_agent().await;
    for _ in 0..100 {
        agent.caller.search("learn").await;
    }
    let before = bed.attempt_count();
    let slow = Script::Delay(Duration::from_millis(300));
    bed.backends
        .iter()
        .for_each(|backend| backend.set_script(slow.clone()));
    let answer = agent.caller.reserve(&OnceRequest::unique()).await;
    assert_eq!(answer.envelope.outcome, Outcome::Done);
    assert_eq!(bed.attempt_count(), before + 1);
}
