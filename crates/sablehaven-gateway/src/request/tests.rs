//! Tests of picking a service of a split route.

use sablehaven_types::WeightedService;

use super::pick_weighted;

#[test]
fn services_are_picked_by_weight_and_never_with_weight_zero() {
    let part = |service: &str, weight| WeightedService {
        service: service.into(),
        weight,
    };
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
