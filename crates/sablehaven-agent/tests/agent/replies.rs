//! Replies that do not belong to their attempt are discarded and counted, and never merged.

use std::time::Duration;

use sablehaven_types::{MissingReason, Outcome, ShardId};

use crate::support::{
    backend::{Script, WrongEcho},
    bed::Bed,
};

/// Lets one shard of two misbehave, and expects the other shard's reply alone, with the discarded
/// reply counted.
async fn is_discarded(script: Script, reason: &str) {
    let bed = Bed::start(2, 1).await;
    bed.backends[1].always(script);
    let agent = bed.agent().await;
    let answer = agent.caller.search("oil").await;
    assert_eq!(answer.envelope.outcome, Outcome::Done);
    assert_eq!(answer.items().len(), 1, "only the sound shard is merged");
    let coverage = answer.envelope.coverage.expect("coverage");
    assert_eq!(coverage.answered, vec![ShardId(0)]);
    assert_eq!(coverage.missing[0].reason, MissingReason::BadReply);
    assert!(agent.discarded(reason) >= 1, "{reason} is counted");
}

#[tokio::test]
async fn a_reply_to_another_attempt_is_discarded() {
    is_discarded(Script::Echo(WrongEcho::Attempt), "wrong_attempt").await;
}

#[tokio::test]
async fn a_reply_of_another_shard_is_discarded() {
    is_discarded(Script::Echo(WrongEcho::Shard), "wrong_shard").await;
}

#[tokio::test]
async fn a_reply_of_another_snapshot_is_discarded() {
    is_discarded(Script::Echo(WrongEcho::Snapshot), "wrong_snapshot").await;
}

#[tokio::test]
async fn a_reply_without_an_echo_is_discarded() {
    is_discarded(Script::Echo(WrongEcho::Missing), "missing_echo").await;
}

#[tokio::test]
async fn a_truncated_reply_is_discarded() {
    is_discarded(Script::Truncated, "truncated").await;
}

/// Every byte has come, but the stream was reset before it said that it is whole.
#[tokio::test]
async fn a_reply_that_breaks_off_is_not_merged() {
    let bed = Bed::start(2, 1).await;
    bed.backends[1].always(Script::BrokenOff);
    let agent = bed.agent().await;
    let answer = agent.caller.search("oil").await;
    assert_eq!(answer.items().len(), 1);
    let coverage = answer.envelope.coverage.expect("coverage");
    assert_eq!(coverage.answered, vec![ShardId(0)]);
}

#[tokio::test]
async fn a_reply_that_is_no_message_is_discarded() {
    is_discarded(Script::Garbage, "undecodable").await;
}

#[tokio::test]
async fn a_reply_sent_twice_does_not_answer_the_next_caller() {
    let bed = Bed::start(1, 1).await;
    let agent = bed.agent().await;
    let first = agent.caller.search("first").await;
    assert!(first.items()[0].starts_with("first "));
    bed.backends[0].always(Script::PreviousReply);
    let second = agent.caller.search("second").await;
    assert_eq!(
        second.envelope.body, None,
        "nothing of the first caller's answer"
    );
    assert_eq!(agent.discarded("wrong_attempt"), 1);
}

#[tokio::test]
async fn a_reply_after_the_deadline_is_in_no_answer() {
    let bed = Bed::start(2, 1).await;
    bed.backends[0].always(Script::Delay(Duration::from_millis(400)));
    let agent = bed.agent().await;
    let answer = agent
        .caller
        .search_within("oil", Duration::from_millis(150))
        .await;
    assert_eq!(answer.items().len(), 1);
    bed.backends[0].always(Script::Reply);
    let next = agent.caller.search("pasta").await;
    assert!(next.items().iter().all(|item| item.starts_with("pasta ")));
}

#[tokio::test]
async fn a_reply_over_the_size_limit_is_discarded() {
    let bed = Bed::start(1, 1).await;
    let mut config = bed.config();
    config.limits.reply_body_bytes = 8;
    let agent = bed.agent_with(config).await;
    let answer = agent.caller.search("oil").await;
    assert_eq!(answer.envelope.body, None);
    assert_eq!(agent.discarded("too_large"), 1);
}
