//! A quota at the ends of its type limits its tenant as its numbers say, and never refuses everything.

use std::time::Duration;

use sablehaven_quota::QuotaPart;
use sablehaven_types::{QuotaTolerance, RequestQuota, TenantName, TokenRequest, TokenVerdict};

fn request_of(tenant: TenantName) -> TokenRequest {
    TokenRequest {
        number: 0,
        tenant,
        wanted: 1,
        shed_permille: 0,
        patience_ms: 0,
        is_resend: false,
    }
}

/// Returns how many of 100 requests, one every 10 ms, a replica with one of `parts` parts grants.
fn granted(tolerance: QuotaTolerance, quota: RequestQuota, parts: u32) -> usize {
    let tenant = TenantName::from("tenant");
    let mut part = QuotaPart::new(tolerance);
    part.set_part_count(Duration::ZERO, Some(parts));
    part.set_tenants(Duration::ZERO, [(&tenant, Some(quota))].into_iter());
    let start = Duration::from_secs(60);
    let request = request_of(tenant);
    let verdicts =
        (0..100).map(|step| part.take(start + Duration::from_millis(step * 10), &request, 0.5));
    verdicts
        .filter(|verdict| matches!(verdict, TokenVerdict::Granted(_)))
        .count()
}

/// Guards against a rate beside which a single token is lost in rounding: every request was refused.
#[test]
fn quota_above_all_demand_refuses_nothing() {
    let tolerances = [
        QuotaTolerance::default(),
        QuotaTolerance {
            window_ms: 5_000,
            excess_permille: 100,
            slack: 20,
        },
    ];
    for tolerance in tolerances {
        for per_second in [
            1e4,
            1e9,
            4_294_967_296.0,
            9e15,
            18_446_744_073_709_551_616.0,
            f64::MAX,
        ] {
            for burst in [50.0, 1e9, f64::MAX] {
                for parts in [1, 3, 9] {
                    let quota = RequestQuota { per_second, burst };
                    let granted = granted(tolerance, quota, parts);
                    assert_eq!(granted, 100, "{quota:?}, {parts} parts, {tolerance:?}");
                }
            }
        }
    }
}

#[test]
fn quota_below_all_demand_grants_little() {
    for per_second in [f64::MIN_POSITIVE, 5e-324, 1e-9] {
        let quota = RequestQuota {
            per_second,
            burst: 0.0,
        };
        let granted = granted(QuotaTolerance::default(), quota, 1);
        assert!(granted <= 1, "{quota:?}: {granted}");
    }
}

/// Guards against a lowered burst that leaves a part with a debt of the former depth: nothing was granted until it was
/// refilled at the rate of the quota, which took 20,000 s here.
#[test]
fn lowered_burst_binds_a_tenant_within_a_window() {
    let tenant = TenantName::from("tenant");
    let mut part = QuotaPart::new(QuotaTolerance::default());
    part.set_part_count(Duration::ZERO, Some(1));
    let quota = |burst| RequestQuota {
        per_second: 50.0,
        burst,
    };
    part.set_tenants(Duration::ZERO, [(&tenant, Some(quota(1e6)))].into_iter());
    let changed_at = Duration::from_secs(60);
    part.set_tenants(changed_at, [(&tenant, Some(quota(50.0)))].into_iter());
    let request = request_of(tenant);
    let later = changed_at + 2 * QuotaTolerance::default().window();
    let verdict = part.take(later, &request, 0.5);
    assert_eq!(verdict, TokenVerdict::Granted(1));
}
