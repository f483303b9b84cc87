//! Tests of the decisions of a sub-request, with a scripted routing policy.

use std::time::Duration;

use proptest::{
    prelude::*,
    test_runner::{Config as ProptestConfig, RngSeed, TestRunner},
};
use sablehaven_agent::{
    query::{AttemptFailure, Step, SubRequest},
    routing::{PinnedRouter, RoutingPolicy},
};
use sablehaven_routing::ExtraAttemptKind;
use sablehaven_types::{
    BackendId, IndexSnapshot, MissingReason, ShardAssignment, ShardId, SnapshotId,
};

use crate::support::policy::{HEDGE_AFTER, ScriptedPolicy};

const NOW: Duration = Duration::from_secs(1);
const SHARD: ShardId = ShardId(3);

fn pinned_snapshot(replicas: &[&str]) -> IndexSnapshot {
    IndexSnapshot {
        id: SnapshotId {
            generation: 1,
            partition_map: 1,
        },
        shards: vec![ShardAssignment {
            shard: SHARD,
            replicas: replicas.iter().map(|id| BackendId::from(*id)).collect(),
        }],
    }
}

fn run_sub_request(
    policy: &mut ScriptedPolicy,
    max_attempts: u32,
    failures: &[AttemptFailure],
) -> (SubRequest, Vec<Step>) {
    let snapshot = pinned_snapshot(&[]);
    let mut router = PinnedRouter::current(policy, &snapshot);
    let mut sub_request = SubRequest::new(SHARD, max_attempts);
    let mut steps = vec![sub_request.start(&mut router, NOW)];
    for failure in failures {
        steps.push(sub_request.attempt_failed(&mut router, NOW, *failure));
    }
    (sub_request, steps)
}

fn chosen_backend(step: &Step) -> Option<&str> {
    match step {
        Step::Send { chosen, .. } => Some(chosen.backend.as_str()),
        _ => None,
    }
}

#[test]
fn a_retry_goes_to_another_replica_and_takes_from_the_budget() {
    let mut policy = ScriptedPolicy::new(3, 1);
    let (_, steps) = run_sub_request(
        &mut policy,
        3,
        &[AttemptFailure::Failed, AttemptFailure::Failed],
    );
    assert_eq!(chosen_backend(&steps[0]), Some("b0"));
    assert_eq!(chosen_backend(&steps[1]), Some("b1"));
    assert_eq!(
        steps[2],
        Step::GiveUp(MissingReason::Failed),
        "the budget is empty"
    );
    assert_eq!(policy.extra_attempts, [ExtraAttemptKind::Retry]);
}

#[test]
fn a_retry_after_a_refusal_without_work_needs_no_budget() {
    let without_work = [
        AttemptFailure::Draining,
        AttemptFailure::SnapshotGone,
        AttemptFailure::NotConnected,
    ];
    for failure in without_work {
        let mut policy = ScriptedPolicy::new(2, 0);
        let (_, steps) = run_sub_request(&mut policy, 3, &[failure]);
        assert_eq!(chosen_backend(&steps[1]), Some("b1"), "{failure:?}");
    }
    let mut policy = ScriptedPolicy::new(2, 0);
    let (_, steps) = run_sub_request(&mut policy, 3, &[AttemptFailure::Shed]);
    assert_eq!(
        steps[1],
        Step::GiveUp(MissingReason::Shed),
        "a retry after shedding requires budget"
    );
}

#[test]
fn attempts_are_limited() {
    let mut policy = ScriptedPolicy::new(9, 9);
    let (_, steps) = run_sub_request(
        &mut policy,
        2,
        &[AttemptFailure::Shed, AttemptFailure::Shed],
    );
    assert_eq!(steps[2], Step::GiveUp(MissingReason::Shed));
}

#[test]
fn the_reason_is_the_common_or_the_most_informative_one() {
    use AttemptFailure::{BadReply, Draining, Failed, Shed, SnapshotGone};
    for (failures, reason) in [
        (
            vec![SnapshotGone, SnapshotGone],
            MissingReason::SnapshotGone,
        ),
        (vec![SnapshotGone, Shed], MissingReason::Shed),
        (vec![Shed, Failed], MissingReason::Failed),
        (vec![Failed, BadReply], MissingReason::BadReply),
        (vec![Draining, Draining], MissingReason::NoReplica),
    ] {
        let mut policy = ScriptedPolicy::new(2, 9);
        let (_, steps) = run_sub_request(&mut policy, 9, &failures);
        assert_eq!(steps.last(), Some(&Step::GiveUp(reason)), "{failures:?}");
    }
}

#[test]
fn a_hedge_refused_by_the_budget_is_tried_again_later() {
    let snapshot = pinned_snapshot(&[]);
    let mut policy = ScriptedPolicy::new(2, 0);
    let mut sub_request = SubRequest::new(SHARD, 3);
    let mut router = PinnedRouter::current(&mut policy, &snapshot);
    sub_request.start(&mut router, NOW);
    let refused = sub_request.hedge_due(&mut router, NOW);
    let hedge_after = Some(HEDGE_AFTER);
    assert_eq!(refused, Step::Wait { hedge_after });
    policy.extra_budget = 1;
    let mut router = PinnedRouter::current(&mut policy, &snapshot);
    let allowed = sub_request.hedge_due(&mut router, NOW);
    assert_eq!(chosen_backend(&allowed), Some("b1"));
    assert_eq!(policy.extra_attempts, [ExtraAttemptKind::Hedge]);
}

#[test]
fn a_failed_attempt_is_not_retried_while_its_hedge_runs() {
    let snapshot = pinned_snapshot(&[]);
    let mut policy = ScriptedPolicy::new(3, 9);
    let mut sub_request = SubRequest::new(SHARD, 3);
    let mut router = PinnedRouter::current(&mut policy, &snapshot);
    sub_request.start(&mut router, NOW);
    sub_request.hedge_due(&mut router, NOW);
    let step = sub_request.attempt_failed(&mut router, NOW, AttemptFailure::Failed);
    assert!(matches!(step, Step::Wait { .. }));
    let step = sub_request.attempt_failed(&mut router, NOW, AttemptFailure::Failed);
    assert_eq!(chosen_backend(&step), Some("b2"));
}

/// If the policy has switched to another partition map, a request must not be sent to a replica that the
/// pinned map does not assign to the shard.
#[test]
fn a_policy_on_another_map_may_only_choose_a_pinned_replica() {
    let mut policy: Box<dyn RoutingPolicy> = Box::new(ScriptedPolicy::new(1, 9));
    for (replicas, expected) in [(vec!["b0"], true), (vec!["b7"], false)] {
        let snapshot = pinned_snapshot(&replicas);
        let mut state = sablehaven_agent::routing::PolicyState {
            policy,
            snapshot: std::sync::Arc::new(IndexSnapshot {
                id: SnapshotId {
                    generation: 2,
                    partition_map: 2,
                },
                shards: Vec::new(),
            }),
        };
        let chosen = state.pinned(&snapshot).choose(NOW, SHARD, &[]);
        assert_eq!(chosen.is_ok(), expected);
        if !expected {
            assert_eq!(chosen, Err(MissingReason::SnapshotGone));
        }
        policy = state.policy;
    }
}

/// For every order of events, a sub-request waits only while attempts are in flight, asks no replica twice,
/// and stays within the limits for attempts and extra attempts.
#[test]
fn a_sub_request_never_waits_without_attempts_in_flight() {
    let failures = prop::sample::select(vec![
        AttemptFailure::Shed,
        AttemptFailure::Draining,
        AttemptFailure::SnapshotGone,
        AttemptFailure::DeadlineRefused,
        AttemptFailure::Failed,
        AttemptFailure::BadReply,
    ]);
    let events = prop::collection::vec(prop::option::weighted(0.6, failures), 0..20);
    let inputs = (0_usize..5, 0_u32..4, 1_u32..5, events);
    let mut runner = TestRunner::new(ProptestConfig {
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    });
    let result = runner.run(&inputs, |(replicas, budget, max_attempts, events)| {
        let snapshot = pinned_snapshot(&[]);
        let mut policy = ScriptedPolicy::new(replicas, budget);
        let mut router = PinnedRouter::current(&mut policy, &snapshot);
        let mut sub_request = SubRequest::new(SHARD, max_attempts);
        let mut asked = Vec::new();
        let mut in_flight = 0;
        let mut step = sub_request.start(&mut router, NOW);
        for event in events {
            match &step {
                Step::Send { chosen, .. } => {
                    prop_assert!(!asked.contains(&chosen.backend));
                    asked.push(chosen.backend.clone());
                    in_flight += 1;
                }
                Step::Wait { .. } => prop_assert!(in_flight > 0),
                Step::GiveUp(_) => {
                    prop_assert_eq!(in_flight, 0);
                    break;
                }
            }
            step = match event {
                Some(failure) => {
                    in_flight -= 1;
                    sub_request.attempt_failed(&mut router, NOW, failure)
                }
                None => sub_request.hedge_due(&mut router, NOW),
            };
        }
        prop_assert!(sub_request.attempts() <= max_attempts);
        prop_assert!(policy.extra_attempts.len() <= budget as usize);
        Ok(())
    });
    result.expect("holds for every order");
}
