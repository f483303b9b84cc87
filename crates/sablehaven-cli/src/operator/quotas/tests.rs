use super::*;

fn usage(tenant: &str, granted: u64, refused: u64) -> QuotaUsage {
    QuotaUsage {
        tenant: tenant.into(),
        quota: None,
        granted,
        refused,
        tokens: 1.5,
    }
}

#[test]
fn the_parts_of_all_replicas_are_added_by_tenant() {
    let first = vec![usage("a", 3, 1), usage("b", 5, 0)];
    let second = vec![usage("a", 4, 2)];
    let sums = sum(vec![first, second]);
    let figures: Vec<(&str, u64, u64, f64)> = sums
        .iter()
        .map(|sum| (sum.tenant.as_str(), sum.granted, sum.refused, sum.tokens))
        .collect();
    assert_eq!(figures, [("a", 7, 3, 3.0), ("b", 5, 0, 1.5)]);
}

#[test]
fn a_replica_that_did_not_answer_is_named() {
    let report = QuotaReport {
        tenants: vec![usage("a", 3, 1)],
        missing: vec!["00aa: no answer".to_owned()],
    };
    assert!(describe(&report).contains("not in the figures: 00aa: no answer"));
}
