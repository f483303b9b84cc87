//! Requests that may not be repeated: what becomes of them after the dispatch.

use std::{sync::Arc, time::Duration};

use sablehaven_types::{Outcome, http};
use tokio::sync::Semaphore;

use crate::support::{
    backend::{Script, WrongEcho},
    bed::Bed,
    caller::Once,
    eventually,
    ledger::Entry,
};

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
        assert!(bed.is_released(&once));
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
    assert!(bed.is_settled_unknown(&once));
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
    assert!(bed.is_settled_unknown(&once));
}

#[tokio::test]
async fn where_no_connection_can_be_opened_it_did_not_run() {
    let bed = Bed::start(1, 1).await;
    // A port that is taken, so that no other test gets it, and on which nobody listens.
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    let any_port = ([127, 0, 0, 1], 0).into();
    socket.bind(any_port).expect("a port");
    let address = socket.local_addr().expect("bound");
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
    assert!(bed.is_released(&once));
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
    let is_done = || bed.is_done(&once);
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
    let is_settled = || matches!(bed.entry(&once), Some(Entry::Settled(..)));
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
    assert!(bed.is_done(&once));
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
