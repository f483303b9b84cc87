//! Tests of picking a service of a split route.

use sablehaven_types::WeightedService;

use super::pick_weighted;

fn part(service: &str, weight: f64) -> WeightedService {
    WeightedService {
        service: service.into(),
        weight,
    }
}

/// Guards against weights whose sum is infinite: all requests went to the last service.
#[test]
fn services_are_picked_by_weights_at_the_ends_of_their_type() {
    for weight in [f64::MAX, f64::MIN_POSITIVE, 5e-324] {
        let parts = [part("a", weight), part("b", weight)];
        let picked = [0.1, 0.9].map(|draw| pick_weighted(&parts, draw).as_str());
        assert_eq!(picked, ["a", "b"], "{weight}");
    }
}

#[test]
fn services_are_picked_by_weight_and_never_with_weight_zero() {
    let parts = [part("a", 3.0), part("none", 0.0), part("b", 1.0)];
    let mut counts = std::collections::BTreeMap::new();
    for step in 0..1_000 {
        let picked = pick_weighted(&parts, f64::from(step) / 1_000.0);
        *counts.entry(picked.as_str().to_owned()).or_insert(0) += 1;
    }
    assert_eq!(counts["a"], 750);
    assert_eq!(counts["b"], 250);
    assert!(!counts.contains_key("none"));
}
