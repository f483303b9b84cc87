//! Coverage is made of the replies that are merged.

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

/// Every shard that was asked is in the coverage exactly once, answered shards are exactly those
/// with a reply, and a shard without an end is missing for its deadline.
#[test]
fn coverage_and_replies_always_agree() {
    // Per shard: no end, a reply, or a reason.
    let end = prop_oneof![
        Just(None),
        Just(Some(None)),
        prop::sample::select(REASONS.to_vec()).prop_map(|reason| Some(Some(reason))),
    ];
    let mut runner = TestRunner::new(ProptestConfig {
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    });
    let result = runner.run(&prop::collection::vec(end, 0..60), |ends| {
        let asked: Vec<_> = (0..).map(ShardId).take(ends.len()).collect();
        let known = asked.iter().zip(&ends).filter_map(|(shard, end)| {
            let end = match end.as_ref()? {
                None => ShardResult::Answered(shard.0),
                Some(reason) => ShardResult::Missing(*reason),
            };
            Some((*shard, end))
        });
        let (replies, coverage) = split_results(&asked, known.collect());
        let expected: BTreeMap<_, _> = asked
            .iter()
            .zip(&ends)
            .filter(|(_, end)| **end == Some(None))
            .map(|(shard, _)| (*shard, shard.0))
            .collect();
        prop_assert_eq!(&replies, &expected);
        prop_assert_eq!(
            &coverage.answered,
            &expected.keys().copied().collect::<Vec<_>>()
        );
        prop_assert_eq!(coverage.shard_count(), asked.len());
        for entry in &coverage.missing {
            let end = ends[entry.shard.0 as usize];
            let expected = end.flatten().unwrap_or(MissingReason::Deadline);
            prop_assert_eq!(entry.reason, expected);
        }
        Ok(())
    });
    result.expect("coverage and replies agree");
}

#[test]
fn a_reply_of_a_shard_that_was_not_asked_is_in_neither() {
    let ends = BTreeMap::from([(ShardId(9), ShardResult::Answered("foreign"))]);
    let (replies, coverage) = split_results(&[ShardId(0)], ends);
    assert!(replies.is_empty());
    assert_eq!(coverage.shard_count(), 1);
}

/// "Not run" of a whole query needs every shard to be sure of it.
#[test]
fn one_shard_that_may_have_run_decides() {
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
