//! Tests of the decision on the failed parts of a query.

use std::time::Duration;

use proptest::prelude::*;

use super::{AttemptPurpose, PartDecision, QueryParts, decide};
use crate::{
    RetryBounds,
    servers::budget::{BudgetLevel, RetryBudget},
};

const NOW: Duration = Duration::from_secs(20);

/// The level of a budget for `allowed` attempts of which `used` are taken.
fn level(allowed: u32, used: u32) -> BudgetLevel {
    let mut budget = budget(allowed);
    for _ in 0..used {
        assert!(budget.try_take(NOW, Some(1), 0.0));
    }
    budget.level(NOW, Some(1))
}

fn budget(allowed: u32) -> RetryBudget {
    // A gateway uses 0.85 of the bound. The extra 0.01 keeps rounding from changing the number of attempts.
    RetryBudget::new(RetryBounds {
        ratio: 0.0,
        slack: (f64::from(allowed) + 0.01) / 0.85,
        window_ms: 10_000,
        slack_pause_ms: 0,
    })
}

/// A query over 36 shards that tolerates one missing shard.
fn parts(arrived: usize, lost: usize, failed: usize) -> QueryParts {
    QueryParts {
        shards: 36,
        min_shards: 35,
        arrived,
        lost,
        failed,
    }
}

fn sent(decisions: &[PartDecision]) -> Vec<usize> {
    let positions = 0..decisions.len();
    positions
        .filter(|position| decisions[*position] == PartDecision::Send)
        .collect()
}

#[test]
fn an_optional_part_waits_while_the_budget_is_low() {
    let low = [level(10, 8)];
    assert_eq!(decide(&parts(20, 0, 1), &low), [PartDecision::Wait]);
    let full = [level(10, 0)];
    assert_eq!(decide(&parts(20, 0, 1), &full), [PartDecision::Send]);
}

#[test]
fn an_optional_part_is_given_up_when_all_others_have_arrived() {
    let low = [level(10, 8)];
    assert_eq!(decide(&parts(35, 0, 1), &low), [PartDecision::GiveUp]);
}

#[test]
fn required_attempts_use_the_fullest_budget_down_to_its_last_attempt() {
    let levels = [level(10, 10), level(10, 9)];
    let decisions = decide(&parts(20, 0, 2), &levels);
    assert_eq!(decisions, [PartDecision::Wait, PartDecision::Send]);
}

#[test]
fn a_query_that_cannot_afford_all_required_attempts_takes_none() {
    let levels = [level(10, 10), level(10, 10), level(10, 0)];
    let decisions = decide(&parts(20, 0, 3), &levels);
    assert_eq!(decisions, [PartDecision::GiveUp; 3]);
}

#[test]
fn lost_parts_make_failed_parts_required() {
    assert_eq!(parts(20, 0, 1).needed(), 0);
    assert_eq!(parts(20, 1, 1).needed(), 1);
    let levels = [level(10, 9)];
    assert_eq!(decide(&parts(20, 1, 1), &levels), [PartDecision::Send]);
}

/// As a budget is used up, speculative and optional attempts stop before required ones.
#[test]
fn a_reserve_is_kept_for_required_attempts() {
    let purposes = [
        AttemptPurpose::Speculative,
        AttemptPurpose::Optional,
        AttemptPurpose::Required,
    ];
    let taken = purposes.map(|purpose| {
        let mut budget = budget(100);
        let granted = (0..1_000).take_while(|_| budget.try_take(NOW, Some(1), purpose.reserve()));
        granted.count()
    });
    assert_eq!(taken, [75, 75, 100]);
}

proptest! {
    /// For any query and budgets, at least the required parts are sent, or none if the budgets don't cover them. If
    /// no attempt is running and none is sent, no part waits.
    #[test]
    fn a_query_gets_all_required_attempts_or_none(
        min_shards in 1..=36_usize,
        lost in 0..8_usize,
        arrived in 0..20_usize,
        used in prop::collection::vec(0..=10_u32, 1..8),
    ) {
        let levels: Vec<_> = used.iter().map(|used| level(10, *used)).collect();
        let parts = QueryParts { shards: 36, min_shards, arrived, lost, failed: levels.len() };
        let decisions = decide(&parts, &levels);
        prop_assert_eq!(decisions.len(), levels.len());
        let sent = sent(&decisions);
        for position in &sent {
            prop_assert!(levels[*position].remaining() >= 1.0);
        }
        let affordable = levels.iter().filter(|level| level.remaining() >= 1.0).count();
        if affordable < parts.needed() {
            prop_assert!(sent.is_empty());
            prop_assert!(!decisions.contains(&PartDecision::Wait));
        } else {
            prop_assert!(sent.len() >= parts.needed());
        }
        if arrived + lost + levels.len() == 36 && sent.is_empty() {
            prop_assert!(!decisions.contains(&PartDecision::Wait));
        }
    }

    /// With random needs and attempts of all purposes, several gateways together stay within the bound that they
    /// share, in every window.
    #[test]
    fn gateways_together_stay_within_the_bound(
        steps in prop::collection::vec((0..400_u64, 0..4_usize, 0..5_u8), 1..600),
    ) {
        let bounds = RetryBounds { ratio: 0.2, slack: 20.0, window_ms: 10_000, slack_pause_ms: 0 };
        let mut budgets = vec![RetryBudget::new(bounds); 4];
        let (mut needed, mut extra) = (Vec::new(), Vec::new());
        let mut at_ms = 20_000;
        for (pause_ms, gateway, kind) in steps {
            at_ms += pause_ms;
            let now = Duration::from_millis(at_ms);
            let purpose = match kind {
                0 => AttemptPurpose::Required,
                1 => AttemptPurpose::Optional,
                2 => AttemptPurpose::Speculative,
                _ => {
                    budgets[gateway].record_request(now);
                    needed.push(at_ms);
                    continue;
                }
            };
            if budgets[gateway].try_take(now, Some(4), purpose.reserve()) {
                extra.push(at_ms);
            }
        }
        let count = |times: &[u64], from: u64| {
            times.iter().filter(|at| (from..from + 10_000).contains(*at)).count() as f64
        };
        for from in extra.iter().copied() {
            let earlier = [0, 5_000, 10_000].map(|earlier| count(&needed, from - earlier));
            let max_needed = earlier.into_iter().fold(0.0, f64::max);
            prop_assert!(count(&extra, from) <= bounds.ratio * max_needed + bounds.slack);
        }
    }
}
