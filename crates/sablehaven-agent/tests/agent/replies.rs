//! Tests that replies that do not match their attempt are discarded and counted, and never merged.

use std::time::Duration;

use sablehaven_types::{MissingReason, Outcome, ShardId};

use crate::support::{
    backend::{Script, WrongEcho},
    bed::TestBed,
};

/// Runs `script` on one of two shards and asserts that only the reply of the other is merged and that
/// the discarded reply is counted under `reason`.
async fn assert_discarded(script: Script, reason: &str) {
    let bed = TestBed::start(2, 1).await;
    bed.backends[1].set_script(script);
    let agent = bed.start_agent().await;
    let answer = agent.caller.search("oil").await;
    assert_eq!(answer.envelope.outcome, Outcome::Done);
    assert_eq!(
        answer.items().len(),
        1,
        "only the reply of the other shard is merged"
    );
    let coverage = answer.envelope.coverage.expect("coverage");
    assert_eq!(coverage.answered, vec![ShardId(0)]);
    assert_eq!(coverage.missing[0].reason, MissingReason::BadReply);
    assert!(agent.discarded(reason) >= 1, "{reason} is counted");
}

#[tokio::test]
async fn a_reply_to_another_attempt_is_discarded() {
    assert_discarded(Script::WrongEcho(WrongEcho::Attempt), "wrong_attempt").await;
}

#[tokio::test]
async fn a_reply_of_another_shard_is_discarded() {
    assert_discarded(Script::WrongEcho(WrongEcho::Shard), "wrong_shard").await;
}

#[tokio::test]
async fn a_reply_of_another_snapshot_is_discarded() {
    assert_discarded(Script::WrongEcho(WrongEcho::Snapshot), "wrong_snapshot").await;
}

#[tokio::test]
async fn a_reply_without_an_echo_is_discarded() {
    assert_discarded(Script::WrongEcho(WrongEcho::Missing), "missing_echo").await;
}

#[tokio::test]
async fn a_truncated_reply_is_discarded() {
    assert_discarded(Script::Truncated, "truncated").await;
}

/// The whole body arrives, but the stream is reset before its end is signalled.
#[tokio::test]
async fn a_reply_whose_stream_is_reset_is_not_merged() {
    let bed = TestBed::start(2, 1).await;
    bed.backends[1].set_script(Script::ResetAfterBody);
    let agent = bed.start_agent().await;
    let answer = agent.caller.search("oil").await;
    assert_eq!(answer.items().len(), 1);
    let coverage = answer.envelope.coverage.expect("coverage");
    assert_eq!(coverage.answered, vec![ShardId(0)]);
}

#[tokio::test]
async fn a_reply_that_cannot_be_decoded_is_discarded() {
    assert_discarded(Script::Garbage, "undecodable").await;
}

#[tokio::test]
async fn a_repeated_reply_does_not_answer_the_next_request() {
    let bed = TestBed::start(1, 1).await;
    let agent = bed.start_agent().await;
    let first = agent.caller.search("first").await;
    assert!(first.items()[0].starts_with("first "));
    bed.backends[0].set_script(Script::PreviousReply);
    let second = agent.caller.search("second").await;
    assert_eq!(second.envelope.body, None, "no part of the first answer");
    assert_eq!(agent.discarded("wrong_attempt"), 1);
}

#[tokio::test]
async fn a_reply_after_the_deadline_is_not_used() {
    let bed = TestBed::start(2, 1).await;
    bed.backends[0].set_script(Script::Delay(Duration::from_millis(400)));
    let agent = bed.start_agent().await;
    let answer = agent
        .caller
        .search_with_deadline("oil", Duration::from_millis(150))
        .await;
    assert_eq!(answer.items().len(), 1);
    bed.backends[0].set_script(Script::Reply);
    let next = agent.caller.search("pasta").await;
    assert!(next.items().iter().all(|item| item.starts_with("pasta ")));
}

#[tokio::test]
async fn a_reply_over_the_size_limit_is_discarded() {
    let bed = TestBed::start(1, 1).await;
    let mut config = bed.agent_config();
    config.limits.reply_body_bytes = 8;
    let agent = bed.start_agent_with_config(config).await;
    let answer = agent.caller.search("oil").await;
    assert_eq!(answer.envelope.body, None);
    assert_eq!(agent.discarded("too_large"), 1);
}
