//! Property tests and unit tests of the individual mechanisms.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sablehaven_routing::ExtraAttemptKind;
use sablehaven_routing::admission::AdmissionLimit;
use sablehaven_routing::budget::ExtraAttemptBudget;
use sablehaven_routing::health::{Availability, Health, HealthChange, HealthSignal};
use sablehaven_routing::hedging::hedge_after;
use sablehaven_routing::latency::LatencyDistribution;
use sablehaven_routing::retry_after::retry_after;
use sablehaven_routing::slow_start::SlowStart;
use sablehaven_routing::spill::{Pressures, Spill};
use sablehaven_types::Distance;
use sablehaven_types::{BackendState, ObservationKind};

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(12),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn millis(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// An operation on a budget.
#[derive(Clone, Copy, Debug)]
enum BudgetOperation {
    Deposit(u32),
    Hedge,
    Retry,
    Reserve,
    Release,
    Shed,
}

fn operations() -> impl Strategy<Value = Vec<(u64, BudgetOperation)>> {
    let operation = prop_oneof![
        3 => (1u32..60).prop_map(BudgetOperation::Deposit),
        6 => Just(BudgetOperation::Hedge),
        6 => Just(BudgetOperation::Retry),
        2 => Just(BudgetOperation::Reserve),
        2 => Just(BudgetOperation::Release),
        1 => Just(BudgetOperation::Shed),
    ];
    prop::collection::vec((0u64..200, operation), 1..400)
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn extra_load_never_exceeds_the_share_of_needed_work(operations in operations(), per_mille in 1u32..200) {
        let share = f64::from(per_mille) / 1000.0;
        let mut budget = ExtraAttemptBudget::new(share);
        let (mut now, mut needed, mut extra) = (Duration::ZERO, 0u32, 0u32);
        for (gap_ms, operation) in operations {
            now += millis(gap_ms);
            match operation {
                BudgetOperation::Deposit(count) => {
                    needed += count;
                    budget.deposit(now, count);
                }
                BudgetOperation::Hedge => extra += u32::from(budget.withdraw(now, ExtraAttemptKind::Hedge)),
                BudgetOperation::Retry => extra += u32::from(budget.withdraw(now, ExtraAttemptKind::Retry)),
                BudgetOperation::Reserve => {
                    budget.reserve(now);
                }
                BudgetOperation::Release => budget.release(),
                BudgetOperation::Shed => budget.record_shed(now),
            }
            prop_assert!(f64::from(extra) <= share * f64::from(needed) + 1e-9);
        }
    }

    #[test]
    fn spill_converges_for_any_step_phases(phases in prop::collection::vec(0.0f64..1.0, 1..20)) {
        let shares_over_time = simulated_remote_shares(&phases, 400);
        let final_share = shares_over_time.last().copied().unwrap_or(0.0);
        let min_share = shares_over_time[200..].iter().copied().fold(f64::MAX, f64::min);
        let max_share = shares_over_time[200..].iter().copied().fold(0.0, f64::max);
        prop_assert!((0.3..0.8).contains(&final_share), "{final_share}");
        prop_assert!(max_share - min_share < 0.1, "{min_share} to {max_share}");
    }
}

/// Returns the mean share that agents send to other regions, every 100 ms. The demand is twice the
/// capacity of the near replicas, and the far ones have the same capacity; the pressures that
/// agents see are one second old.
fn simulated_remote_shares(phases: &[f64], intervals: u64) -> Vec<f64> {
    let mut agents: Vec<Spill> = phases
        .iter()
        .map(|&phase| Spill::new(Duration::ZERO, phase))
        .collect();
    let mut shares = Vec::new();
    for interval in 0..intervals {
        let now = millis(100 * interval);
        let delayed = shares
            .len()
            .checked_sub(10)
            .map_or(0.0, |index| shares[index]);
        let pressures: Pressures = [Some(2.0 * (1.0 - delayed)), None, Some(2.0 * delayed)];
        for (spill, &phase) in agents.iter_mut().zip(phases) {
            if spill.is_step_due(now) {
                spill.step(now, &pressures, phase);
            }
        }
        let sum: f64 = agents.iter().map(remote_share).sum();
        shares.push(sum / agents.len() as f64);
    }
    shares
}

/// Share of draws outside the zone. Without replicas in the region, all of it goes to remote
/// replicas.
fn remote_share(spill: &Spill) -> f64 {
    let draws = 100;
    let remote = (0..draws)
        .filter(|&draw| {
            spill.distance((f64::from(draw) + 0.5) / f64::from(draws)) != Distance::Zone
        })
        .count();
    remote as f64 / f64::from(draws)
}

#[test]
fn work_stays_near_while_there_is_capacity_and_returns_once_there_is_again() {
    let mut spill = Spill::new(Duration::ZERO, 0.0);
    let mut now = Duration::ZERO;
    let mut step = |spill: &mut Spill, near: f64, far: f64| {
        for _ in 0..40 {
            now += millis(400);
            spill.step(now, &[Some(near), None, Some(far)], 0.5);
        }
    };
    step(&mut spill, 0.6, 0.0);
    assert_eq!(remote_share(&spill), 0.0);
    step(&mut spill, 2.5, 0.1);
    assert!(remote_share(&spill) > 0.5);
    step(&mut spill, 1.3, 1.3);
    assert!(remote_share(&spill) < 0.95);
    step(&mut spill, 0.4, 0.4);
    assert_eq!(remote_share(&spill), 0.0);
}

#[test]
fn a_shed_attempt_reduces_the_budget_at_once_and_it_recovers_slowly() {
    let mut budget = ExtraAttemptBudget::new(0.05);
    for interval in 0..100 {
        budget.deposit(millis(10 * interval), 10);
    }
    for _ in 0..60 {
        budget.record_shed(millis(1_000));
    }
    assert!(!budget.withdraw(millis(1_000), ExtraAttemptKind::Hedge));
    assert!(budget.withdraw(millis(1_000), ExtraAttemptKind::Retry));
    assert!(!budget.withdraw(millis(4_000), ExtraAttemptKind::Hedge));
    budget.deposit(millis(11_000), 1_000);
    assert!(budget.withdraw(millis(11_000), ExtraAttemptKind::Hedge));
}

#[test]
fn an_attempt_reserved_for_a_probe_survives_a_budget_reduction() {
    let mut budget = ExtraAttemptBudget::new(0.05);
    for interval in 0..100 {
        budget.deposit(millis(10 * interval), 10);
    }
    assert!(budget.reserve(millis(1_000)));
    for _ in 0..60 {
        budget.record_shed(millis(1_000));
    }
    assert!(budget.withdraw(millis(1_000), ExtraAttemptKind::Hedge));
    assert!(!budget.withdraw(millis(1_000), ExtraAttemptKind::Hedge));
}

#[test]
fn the_admission_limit_follows_capacity_and_is_removed_after_the_overload() {
    let mut admission = AdmissionLimit::default();
    let capacity_per_ms = 0.5;
    let mut queued = 0.0;
    let mut admitted_after_settling = 0u32;
    for now_ms in 0..20_000u64 {
        queued = f64::max(queued - capacity_per_ms * 20.0, 0.0);
        if admission.admit(millis(now_ms), 20) {
            admitted_after_settling += u32::from(now_ms >= 10_000);
            for _ in 0..20 {
                let is_shed = queued >= 100.0;
                queued += if is_shed { 0.0 } else { 1.0 };
                admission.record_attempt(millis(now_ms), is_shed);
            }
        }
    }
    let admitted_share = f64::from(admitted_after_settling) / 10_000.0;
    assert!((0.45..0.53).contains(&admitted_share), "{admitted_share}");
    assert!(admission.overload_ratio(millis(20_000)) > 1.5);

    let mut refused_after_recovery = 0;
    for now_ms in (20_000..40_000u64).step_by(10) {
        let admitted = admission.admit(millis(now_ms), 20);
        refused_after_recovery += u32::from(!admitted && now_ms >= 30_000);
        for _ in 0..20 {
            admission.record_attempt(millis(now_ms), false);
        }
    }
    assert_eq!(refused_after_recovery, 0);
    assert_eq!(admission.limit(), None);
}

#[test]
fn the_retry_delay_grows_with_the_overload_ratio() {
    assert!(retry_after(3.0, 0.5) > retry_after(1.0, 0.5));
    assert!(retry_after(1.0, 0.9) > retry_after(1.0, 0.1));
    assert!(retry_after(f64::MAX, 1.0) <= Duration::from_secs(15));
}

#[test]
fn quantiles_follow_the_latest_windows_and_fall_back_to_a_known_distance() {
    let mut latencies = LatencyDistribution::new(0.9);
    for sample in 0..1_000u64 {
        latencies.record(millis(sample), Distance::Zone, millis(sample % 100));
    }
    let first = latencies.quantile(Distance::Zone);
    assert!(first.is_some_and(|quantile| (millis(85)..millis(95)).contains(&quantile)));
    assert_eq!(latencies.quantile(Distance::Remote), first);
    for sample in 0..3_000u64 {
        latencies.record(millis(11_000 + 10 * sample), Distance::Zone, millis(5));
    }
    let later = latencies.quantile(Distance::Zone);
    assert!(later.is_some_and(|quantile| quantile < millis(6)));
}

#[test]
fn no_hedge_without_an_alternative_that_has_a_free_slot() {
    assert_eq!(hedge_after(Some(millis(20)), None, 4), None);
    assert_eq!(hedge_after(Some(millis(20)), Some(4.0), 4), None);
    assert_eq!(
        hedge_after(Some(millis(20)), Some(3.0), 4),
        Some(millis(20))
    );
}

#[test]
fn a_cold_back_end_grows_to_its_full_share() {
    let cold = SlowStart::cold(millis(1_000));
    let ramp = millis(10_000);
    assert!(cold.weight(millis(1_000), ramp) <= 0.1);
    assert!(cold.weight(millis(6_000), ramp) < cold.weight(millis(7_000), ramp));
    assert!((cold.weight(millis(11_000), ramp) - 1.0).abs() < f64::EPSILON);
    assert!((SlowStart::warm().weight(millis(0), ramp) - 1.0).abs() < f64::EPSILON);
}

#[test]
fn ejection_times_grow_with_failed_probes_and_a_reply_ends_them() {
    let mut health = Health::new(BackendState::Live, 1);
    let mut now = millis(0);
    while health.record(now, HealthSignal::Failed, 0.5) != HealthChange::ShouldEject {}
    health.eject(now, 0.5);
    let mut ejection_times = Vec::new();
    for _ in 0..4 {
        let ejected_at = now;
        while !health.is_probe_due(now) {
            now += millis(10);
        }
        ejection_times.push(now - ejected_at);
        health.start_probe(now);
        health.end_probe();
        health.record(now, HealthSignal::Failed, 0.5);
    }
    assert!(
        ejection_times.windows(2).all(|pair| pair[1] > pair[0]),
        "{ejection_times:?}"
    );
    assert_eq!(
        health.record(now, HealthSignal::Replied, 0.5),
        HealthChange::Reinstated
    );
    assert_eq!(health.availability(now), Availability::Ready);
}

#[test]
fn a_newer_incarnation_clears_draining_and_older_draining_reports_are_ignored() {
    let mut health = Health::new(BackendState::Live, 2);
    assert!(!health.mark_draining(1));
    assert!(health.mark_draining(2));
    assert!(!health.mark_draining(2));
    health.update(BackendState::Live, 2);
    assert_eq!(health.availability(millis(0)), Availability::Stopping);
    health.update(BackendState::Live, 3);
    assert_eq!(health.availability(millis(0)), Availability::Ready);
    assert!(health.mark_reported(ObservationKind::Reachable));
}
