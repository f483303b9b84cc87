//! Whatever happens to replicas, gateways and messages, no window holds more requests than its bound.

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
/// Plans in which a broken variant has to show.
const PLAN_COUNT: u32 = 400;

fn run(plan: &Plan, disabled_safeguard: DisabledSafeguard) -> WorstWindow {
    let mut world = World::new(plan, disabled_safeguard);
    for phase in &plan.phases {
        world.run(phase);
    }
    world.finish();
    worst_window(&plan.tolerance, &world.served, &world.quotas)
}

/// Plans of a fixed seed in which the window is over its bound.
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
    fn no_window_goes_over_its_bound(plan in plan()) {
        let worst = run(&plan, DisabledSafeguard::Nothing);
        prop_assert!(worst.excess() <= ROUNDING_TOLERANCE, "{worst:?}");
    }
}

#[test]
fn tokens_that_are_good_for_ever_show() {
    assert!(plans_over_bound(DisabledSafeguard::TokenExpiry) > 0);
}

#[test]
fn a_replica_that_starts_full_shows() {
    assert!(plans_over_bound(DisabledSafeguard::EmptyStart) > 0);
}

#[test]
fn a_lower_limit_that_does_not_bind_shows() {
    assert!(plans_over_bound(DisabledSafeguard::LowerLimit) > 0);
}

#[test]
fn a_lender_that_keeps_what_it_lends_shows() {
    assert!(plans_over_bound(DisabledSafeguard::LoanDeduction) > 0);
}

#[test]
fn the_same_plans_stay_under_their_bound_when_nothing_is_broken() {
    assert_eq!(plans_over_bound(DisabledSafeguard::Nothing), 0);
}
