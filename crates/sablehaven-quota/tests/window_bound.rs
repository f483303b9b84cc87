//! No window contains more requests than its bound, whatever faults replicas, gateways and messages suffer.

mod support;

use proptest::{
    prelude::*,
    strategy::ValueTree,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};
use support::{
    plan::{Plan, plan},
    windows::{WorstWindow, worst_window},
    world::{DisabledSafeguard, World},
};

/// Far below one request.
const ROUNDING_TOLERANCE: f64 = 1e-6;
/// The number of plans in which the absence of a safeguard has to be detected.
const PLAN_COUNT: u32 = 400;

fn run(plan: &Plan, disabled_safeguard: DisabledSafeguard) -> WorstWindow {
    let mut world = World::new(plan, disabled_safeguard);
    for phase in &plan.phases {
        world.run(phase);
    }
    world.finish();
    worst_window(&plan.tolerance, &world.served, &world.quotas)
}

/// Returns the number of plans, from a fixed seed, in which a window exceeds its bound.
fn plans_over_bound(disabled_safeguard: DisabledSafeguard) -> usize {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(Config::default(), rng);
    let strategy = plan();
    (0..PLAN_COUNT)
        .map(|_| strategy.new_tree(&mut runner).expect("a plan").current())
        .filter(|plan| run(plan, disabled_safeguard).excess() > ROUNDING_TOLERANCE)
        .count()
}

proptest! {
    #![proptest_config(Config::with_cases(400))]

    #[test]
    fn no_window_exceeds_its_bound(plan in plan()) {
        let worst = run(&plan, DisabledSafeguard::Nothing);
        prop_assert!(worst.excess() <= ROUNDING_TOLERANCE, "{worst:?}");
    }
}

#[test]
fn tokens_that_never_expire_are_detected() {
    assert!(plans_over_bound(DisabledSafeguard::TokenExpiry) > 0);
}

#[test]
fn a_replica_that_starts_full_is_detected() {
    assert!(plans_over_bound(DisabledSafeguard::EmptyStart) > 0);
}

#[test]
fn a_lowered_limit_that_is_ignored_is_detected() {
    assert!(plans_over_bound(DisabledSafeguard::LowerLimit) > 0);
}

#[test]
fn a_lender_that_keeps_lent_tokens_is_detected() {
    assert!(plans_over_bound(DisabledSafeguard::LoanDeduction) > 0);
}

#[test]
fn the_same_plans_stay_within_their_bound_with_all_safeguards() {
    assert_eq!(plans_over_bound(DisabledSafeguard::Nothing), 0);
}
