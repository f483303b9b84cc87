//! Requests to an overloaded service are refused before any work, with a retry delay.

use std::{sync::Arc, time::Duration};

use sablehaven_agent::routing::PolicyFactory;
use sablehaven_types::Outcome;

use crate::support::{
    bed::TestBed,
    caller::{Answer, OnceRequest},
    policy::ScriptedPolicy,
};

const RETRY_AFTER: Duration = Duration::from_millis(1_200);

fn overloaded_policy() -> PolicyFactory {
    Arc::new(|_, _, _| {
        let mut policy = ScriptedPolicy::new(1, 0);
        policy.refuse_with = Some(RETRY_AFTER);
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
    let bed = TestBed::start(2, 1).await;
    let agent = bed
        .start_agent_with_policies(bed.agent_config(), overloaded_policy())
        .await;
    assert_refused(&agent.caller.search("q").await);
    assert_refused(&agent.caller.get("depot").await);
    assert_refused(&agent.caller.reserve(&OnceRequest::unique()).await);
    assert!(bed.relay.lock().ledger.requests.is_empty());
    assert_eq!(bed.attempt_count(), 0);
}

#[tokio::test]
async fn a_resend_to_an_overloaded_service_gets_its_recorded_outcome() {
    let bed = TestBed::start(1, 1).await;
    let agent = bed.start_agent().await;
    let once = OnceRequest::unique();
    let first = agent.caller.reserve(&once).await;
    let overloaded_agent = bed
        .start_agent_with_policies(bed.agent_config(), overloaded_policy())
        .await;
    let resent = overloaded_agent.caller.reserve(&once.as_resend()).await;
    assert_eq!(resent.envelope.outcome, Outcome::Done);
    assert_eq!(resent.envelope.body, first.envelope.body);
}
