//! Properties of the single mechanisms.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sablehaven_routing::ExtraAttemptKind;
use sablehaven_routing::admission::AdmissionLimit;
use sablehaven_routing::budget::ExtraBudget;
use sablehaven_routing::health::{Availability, Change, Health, Sign};
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

/// What happens to a budget.
#[derive(Clone, Copy, Debug)]
enum Step {
    Earn(u32),
    Hedge,
    Retry,
    Reserve,
    Release,
    Shed,
}

fn steps() -> impl Strategy<Value = Vec<(u64, Step)>> {
    let step = prop_oneof![
        3 => (1u32..60).prop_map(Step::Earn),
        6 => Just(Step::Hedge),
        6 => Just(Step::Retry),
        2 => Just(Step::Reserve),
        2 => Just(Step::Release),
        1 => Just(Step::Shed),
    ];
    prop::collection::vec((0u64..200, step), 1..400)
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn extra_load_never_exceeds_the_share_of_needed_work(steps in steps(), per_mille in 1u32..200) {
        let share = f64::from(per_mille) / 1000.0;
        let mut budget = ExtraBudget::new(share);
        let (mut now, mut needed, mut extra) = (Duration::ZERO, 0u32, 0u32);
        for (gap_ms, step) in steps {
            now += millis(gap_ms);
            match step {
                Step::Earn(count) => {
                    needed += count;
                    budget.earn(now, count);
                }
                Step::Hedge => extra += u32::from(budget.take(now, ExtraAttemptKind::Hedge)),
                Step::Retry => extra += u32::from(budget.take(now, ExtraAttemptKind::Retry)),
                Step::Reserve => {
                    budget.reserve(now);
                }
                Step::Release => budget.release(),
                Step::Shed => budget.shed(now),
            }
            prop_assert!(f64::from(extra) <= share * f64::from(needed) + 1e-9);
        }
    }

    #[test]
    fn the_spill_settles_for_any_phases(phases in prop::collection::vec(0.0f64..1.0, 1..20)) {
        let settled = shares_of_agents(&phases, 400);
        let before = settled.last().copied().unwrap_or(0.0);
        let least = settled[200..].iter().copied().fold(f64::MAX, f64::min);
        let most = settled[200..].iter().copied().fold(0.0, f64::max);
        prop_assert!((0.3..0.8).contains(&before), "{before}");
        prop_assert!(most - least < 0.1, "{least} to {most}");
    }
}

/// The mean share that agents send to other regions, every 100 ms: demand is twice what the near
/// replicas take, and the far ones have as much room; pressures are those of a second ago.
fn shares_of_agents(phases: &[f64], intervals: u64) -> Vec<f64> {
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
            if spill.step_due(now) {
                spill.step(now, &pressures, phase);
            }
        }
        let sum: f64 = agents.iter().map(remote_part).sum();
        shares.push(sum / agents.len() as f64);
    }
    shares
}

/// Without replicas in the region, what leaves the zone is remote.
fn remote_part(spill: &Spill) -> f64 {
    let draws = 100;
    let away = (0..draws)
        .filter(|&draw| {
            spill.distance((f64::from(draw) + 0.5) / f64::from(draws)) != Distance::Zone
        })
        .count();
    away as f64 / f64::from(draws)
}

#[test]
fn work_stays_near_while_there_is_room_and_returns_when_there_is_again() {
    let mut spill = Spill::new(Duration::ZERO, 0.0);
    let mut now = Duration::ZERO;
    let mut step = |spill: &mut Spill, near: f64, far: f64| {
        for _ in 0..40 {
            now += millis(400);
            spill.step(now, &[Some(near), None, Some(far)], 0.5);
        }
    };
    step(&mut spill, 0.6, 0.0);
    assert_eq!(remote_part(&spill), 0.0);
    step(&mut spill, 2.5, 0.1);
    assert!(remote_part(&spill) > 0.5);
    step(&mut spill, 1.3, 1.3);
    assert!(remote_part(&spill) < 0.95);
    step(&mut spill, 0.4, 0.4);
    assert_eq!(remote_part(&spill), 0.0);
}

#[test]
fn a_shed_shrinks_the_budget_at_once_and_it_recovers_slowly() {
    let mut budget = ExtraBudget::new(0.05);
    for interval in 0..100 {
        budget.earn(millis(10 * interval), 10);
    }
    for _ in 0..60 {
        budget.shed(millis(1_000));
    }
    assert!(!budget.take(millis(1_000), ExtraAttemptKind::Hedge));
    assert!(budget.take(millis(1_000), ExtraAttemptKind::Retry));
    assert!(!budget.take(millis(4_000), ExtraAttemptKind::Hedge));
    budget.earn(millis(11_000), 1_000);
    assert!(budget.take(millis(11_000), ExtraAttemptKind::Hedge));
}

#[test]
fn what_is_set_aside_for_a_probe_outlasts_a_shrink() {
    let mut budget = ExtraBudget::new(0.05);
    for interval in 0..100 {
        budget.earn(millis(10 * interval), 10);
    }
    assert!(budget.reserve(millis(1_000)));
    for _ in 0..60 {
        budget.shed(millis(1_000));
    }
    assert!(budget.take(millis(1_000), ExtraAttemptKind::Hedge));
    assert!(!budget.take(millis(1_000), ExtraAttemptKind::Hedge));
}

#[test]
fn admission_follows_the_capacity_and_goes_away_with_the_overload() {
    let mut admission = AdmissionLimit::default();
    let capacity_per_ms = 0.5;
    let mut queued = 0.0;
    let mut admitted_late = 0u32;
    for now in 0..20_000u64 {
        queued = f64::max(queued - capacity_per_ms * 20.0, 0.0);
        if admission.admit(millis(now), 20) {
            admitted_late += u32::from(now >= 10_000);
            for _ in 0..20 {
                let sheds = queued >= 100.0;
                queued += if sheds { 0.0 } else { 1.0 };
                admission.finished(millis(now), sheds);
            }
        }
    }
    let share = f64::from(admitted_late) / 10_000.0;
    assert!((0.45..0.53).contains(&share), "{share}");
    assert!(admission.excess(millis(20_000)) > 1.5);

    let mut refused_late = 0;
    for now in (20_000..40_000u64).step_by(10) {
        let admitted = admission.admit(millis(now), 20);
        refused_late += u32::from(!admitted && now >= 30_000);
        for _ in 0..20 {
            admission.finished(millis(now), false);
        }
    }
    assert_eq!(refused_late, 0);
    assert_eq!(admission.limit(), None);
}

#[test]
fn callers_are_told_to_stay_away_longer_the_greater_the_excess() {
    assert!(retry_after(3.0, 0.5) > retry_after(1.0, 0.5));
    assert!(retry_after(1.0, 0.9) > retry_after(1.0, 0.1));
    assert!(retry_after(f64::MAX, 1.0) <= Duration::from_secs(15));
}

#[test]
fn quantiles_follow_the_last_windows_and_fall_back_to_a_known_distance() {
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
fn rests_after_failed_probes_grow_and_an_answer_ends_them() {
    let mut health = Health::new(BackendState::Live, 1);
    let mut now = millis(0);
    while health.record(now, Sign::Failed, 0.5) != Change::ShouldEject {}
    health.eject(now, 0.5);
    let mut rests = Vec::new();
    for _ in 0..4 {
        let began = now;
        while !health.probe_due(now) {
            now += millis(10);
        }
        rests.push(now - began);
        health.probe(now);
        health.end_probe();
        health.record(now, Sign::Failed, 0.5);
    }
    assert!(rests.windows(2).all(|pair| pair[1] > pair[0]), "{rests:?}");
    assert_eq!(health.record(now, Sign::Answered, 0.5), Change::Reinstated);
    assert_eq!(health.availability(now), Availability::Ready);
}

#[test]
fn a_newer_start_of_the_server_forgets_draining_and_an_older_word_does_not_count() {
    let mut health = Health::new(BackendState::Live, 2);
    assert!(!health.drains(1));
    assert!(health.drains(2));
    assert!(!health.drains(2));
    health.update(BackendState::Live, 2);
    assert_eq!(health.availability(millis(0)), Availability::Gone);
    health.update(BackendState::Live, 3);
    assert_eq!(health.availability(millis(0)), Availability::Ready);
    assert!(health.report(ObservationKind::Reachable));
}
