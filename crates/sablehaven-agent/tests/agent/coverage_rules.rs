//! Tests that the coverage of a query agrees with the replies that are merged.

use std::collections::BTreeMap;

use proptest::{
    prelude::*,
    test_runner::{Config as ProptestConfig, RngSeed, TestRunner},
};
use sablehaven_agent::query::{ShardResult, combined_reason, may_have_run, split_results};
use sablehaven_types::{Coverage, MissingReason, MissingShard, ShardId};

const REASONS: [MissingReason; 6] = [
    MissingReason::Deadline,
    MissingReason::NoReplica,
    MissingReason::Shed,
    MissingReason::Failed,
    MissingReason::SnapshotGone,
    MissingReason::BadReply,
];

/// Every shard that was asked is in the coverage exactly once, the answered shards are exactly those
/// with a reply, and a shard without a result is missing with the reason `Deadline`.
#[test]
fn coverage_agrees_with_the_replies() {
    // For each shard: no result, a reply, or the reason why it is missing.
    let result = prop_oneof![
        Just(None),
        Just(Some(None)),
        prop::sample::select(REASONS.to_vec()).prop_map(|reason| Some(Some(reason))),
    ];
    let mut runner = TestRunner::new(ProptestConfig {
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    });
    let outcome = runner.run(&prop::collection::vec(result, 0..60), |results| {
        let asked: Vec<_> = (0..).map(ShardId).take(results.len()).collect();
        let known = asked.iter().zip(&results).filter_map(|(shard, result)| {
            let result = match result.as_ref()? {
                None => ShardResult::Answered(shard.0),
                Some(reason) => ShardResult::Missing(*reason),
            };
            Some((*shard, result))
        });
        let (replies, coverage) = split_results(&asked, known.collect());
        let expected: BTreeMap<_, _> = asked
            .iter()
            .zip(&results)
            .filter(|(_, result)| **result == Some(None))
            .map(|(shard, _)| (*shard, shard.0))
            .collect();
        prop_assert_eq!(&replies, &expected);
        prop_assert_eq!(
            &coverage.answered,
            &expected.keys().copied().collect::<Vec<_>>()
        );
        prop_assert_eq!(coverage.shard_count(), asked.len());
        for entry in &coverage.missing {
            let result = results[entry.shard.0 as usize];
            let expected = result.flatten().unwrap_or(MissingReason::Deadline);
            prop_assert_eq!(entry.reason, expected);
        }
        Ok(())
    });
    outcome.expect("coverage and replies agree");
}

#[test]
fn a_reply_of_a_shard_that_was_not_asked_is_ignored() {
    let results = BTreeMap::from([(ShardId(9), ShardResult::Answered("foreign"))]);
    let (replies, coverage) = split_results(&[ShardId(0)], results);
    assert!(replies.is_empty());
    assert_eq!(coverage.shard_count(), 1);
}

/// A query counts as not run only if no shard may have run it.
#[test]
fn one_shard_that_may_have_run_determines_the_reason() {
    for reason in REASONS.into_iter().filter(|reason| may_have_run(*reason)) {
        let missing = [MissingReason::Shed, reason, MissingReason::SnapshotGone];
        let missing = missing
            .into_iter()
            .zip(0..)
            .map(|(reason, shard)| MissingShard {
                shard: ShardId(shard),
                reason,
            });
        let coverage = Coverage {
            answered: Vec::new(),
            missing: missing.collect(),
        };
        assert_eq!(combined_reason(&coverage), Some(reason));
    }
    assert_eq!(combined_reason(&Coverage::default()), None);
}
