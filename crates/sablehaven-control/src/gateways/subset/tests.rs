//! Tests of the number of advertised gateways.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use sablehaven_wire::GatewayLoad;

use super::{SubsetSize, TARGET_UTILISATION, ZoneLoad};

const TICK: Duration = Duration::from_millis(250);

fn load(busy_permille: u16, attempts: u32) -> GatewayLoad {
    GatewayLoad {
        busy_permille,
        attempts,
    }
}

#[test]
fn gateways_with_few_attempts_do_not_count_as_traffic() {
    let mut zone = ZoneLoad::default();
    assert_eq!(zone.minimum_attempts(4), 1);
    zone.add(load(300, 200));
    zone.add(load(500, 160));
    for _ in 0..30 {
        zone.add(load(40, 8));
    }
    let minimum = zone.minimum_attempts(4);
    assert_eq!(minimum, 24);
    assert!((zone.traffic(minimum) - 0.8).abs() < 1e-9);
}

#[test]
fn gateways_with_equal_attempts_all_count() {
    let mut zone = ZoneLoad::default();
    for _ in 0..30 {
        zone.add(load(100, 20));
    }
    assert!((zone.traffic(zone.minimum_attempts(4)) - 3.0).abs() < 1e-9);
}

#[test]
fn a_subset_grows_immediately_and_shrinks_slowly() {
    let start = Instant::now();
    let mut size = SubsetSize::default();
    assert_eq!(size.size(), 4);
    size.observe(start, 6.9);
    assert_eq!(size.size(), 20);
    size.observe(start + Duration::from_secs(1), 0.0);
    size.observe(start + Duration::from_secs(10), 0.0);
    assert_eq!(size.size(), 20);
    size.observe(start + Duration::from_secs(11), 0.0);
    assert_eq!(size.size(), 12);
    // The subset does not shrink below the needed size.
    size.observe(start + Duration::from_secs(12), 4.1);
    assert_eq!(size.size(), 12);
}

#[test]
fn periodic_traffic_does_not_change_the_subset_size() {
    let start = Instant::now();
    let mut size = SubsetSize::default();
    let mut sizes = Vec::new();
    for tick in 0..400_u32 {
        let phase = f64::from(tick) / 44.0 * std::f64::consts::TAU;
        size.observe(start + TICK * tick, 3.0 + 0.5 * phase.sin());
        sizes.push(size.size());
    }
    let settled = &sizes[44..];
    let largest = settled.iter().max().copied().unwrap_or(0);
    let smallest = settled.iter().min().copied().unwrap_or(0);
    assert!(largest - smallest <= 1, "{smallest} to {largest}");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// With constant traffic the size converges to the one at which gateways have the target utilisation.
    #[test]
    fn the_size_converges_to_the_traffic(before in 0.0..800.0_f64, traffic in 0.0..800.0_f64) {
        let start = Instant::now();
        let mut size = SubsetSize::default();
        size.observe(start, before);
        for tick in 0..1_000_u32 {
            size.observe(start + TICK * tick, traffic);
        }
        let needed = ((traffic / TARGET_UTILISATION).ceil() as usize).max(4);
        prop_assert!(size.size() >= needed);
        prop_assert!(size.size() <= needed + 1);
    }

    /// However the traffic changes, the advertised gateways always suffice for it.
    #[test]
    fn the_subset_is_never_too_small(traffics in prop::collection::vec(0.0..100.0_f64, 1..200)) {
        let start = Instant::now();
        let mut size = SubsetSize::default();
        for (traffic, tick) in traffics.into_iter().zip(0_u32..) {
            size.observe(start + TICK * tick, traffic);
            prop_assert!(size.size() as f64 * TARGET_UTILISATION >= traffic);
        }
    }
}
