//! Tests of the sums over control replicas and of their text form.

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
fn usage_is_summed_over_replicas_by_tenant() {
    let first = vec![usage("a", 3, 1), usage("b", 5, 0)];
    let second = vec![usage("a", 4, 2)];
    let sums = sum_by_tenant(vec![first, second]);
    let actual: Vec<(&str, u64, u64, f64)> = sums
        .iter()
        .map(|sum| (sum.tenant.as_str(), sum.granted, sum.refused, sum.tokens))
        .collect();
    assert_eq!(actual, [("a", 7, 3, 3.0), ("b", 5, 0, 1.5)]);
}

#[test]
fn report_names_replicas_without_response() {
    let report = QuotaReport {
        tenants: vec![usage("a", 3, 1)],
        missing: vec!["00aa: no answer".to_owned()],
    };
    assert!(describe(&report).contains("not included in the sums: 00aa: no answer"));
}
