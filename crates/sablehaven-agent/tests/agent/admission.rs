//! A pressed service: refused at once, before any work, with the time to come back.

use std::{sync::Arc, time::Duration};

use sablehaven_agent::routing::PolicyFactory;
use sablehaven_types::Outcome;

use crate::support::{
    bed::Bed,
    caller::{Answer, Once},
    policy::Scripted,
};

const COME_BACK: Duration = Duration::from_millis(1_200);

fn pressed() -> PolicyFactory {
    Arc::new(|_, _, _| {
        let mut policy = Scripted::new(1, 0);
        policy.refuses = Some(COME_BACK);
        Box::new(policy)
    })
}

fn assert_refused(answer: &Answer) {
    assert_eq!(
        (answer.status, answer.envelope.outcome),
        (503, Outcome::NotRun)
    );
    assert_eq!(answer.envelope.retry_after_ms, Some(1_200));
    assert_eq!(
        answer.headers["retry-after"], "2",
        "whole seconds, rounded up"
    );
}

#[tokio::test]
async fn queries_and_requests_are_refused_before_any_work() {
    let bed = Bed::start(2, 1).await;
    let agent = bed.agent_routed(bed.config(), pressed()).await;
    assert_refused(&agent.caller.search("q").await);
    assert_refused(&agent.caller.get("depot").await);
    assert_refused(&agent.caller.reserve(&Once::fresh()).await);
    assert!(bed.relay.lock().ledger.requests.is_empty());
    assert_eq!(bed.attempts(), 0);
}

#[tokio::test]
async fn a_resend_still_gets_its_recorded_outcome() {
    let bed = Bed::start(1, 1).await;
    let agent = bed.agent().await;
    let once = Once::fresh();
    let first = agent.caller.reserve(&once).await;
    let pressed = bed.agent_routed(bed.config(), pressed()).await;
    let resent = pressed.caller.reserve(&once.again()).await;
    assert_eq!(resent.envelope.outcome, Outcome::Done);
    assert_eq!(resent.envelope.body, first.envelope.body);
}
