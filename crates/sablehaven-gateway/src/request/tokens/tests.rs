use sablehaven_types::{AllowedRegions, RequestQuota};

use super::*;

fn tenant(quota: Option<RequestQuota>) -> Tenant {
    Tenant {
        name: "desk".into(),
        keys: Vec::new(),
        priority: 0,
        allowed_regions: AllowedRegions::default(),
        quota,
    }
}

fn limited() -> Tenant {
    tenant(Some(RequestQuota {
        per_second: 1.0,
        burst: 0.0,
    }))
}

#[test]
fn what_a_replica_says_decides_whatever_the_lot() {
    let left = Duration::from_secs(2);
    let tenant = limited();
    assert_eq!(decide(Waited::Granted, &tenant, 1.0, 0.0), Ok(()));
    let refused = decide(Waited::OverQuota(left), &tenant, 0.0, 0.9);
    assert_eq!(refused, Err(Refusal::OverQuota { left }));
    let refused = decide(Waited::OverFairShare, &tenant, 0.1, 0.9);
    assert_eq!(refused, Err(Refusal::TooMany));
}

#[test]
fn without_a_word_a_quota_is_kept_and_pressure_goes_by_lot() {
    let refused = decide(Waited::Undecided, &limited(), 0.0, 0.5);
    assert_eq!(refused, Err(Refusal::NoTokens));
    let unlimited = tenant(None);
    assert_eq!(decide(Waited::Undecided, &unlimited, 0.3, 0.5), Ok(()));
    let refused = decide(Waited::Undecided, &unlimited, 0.7, 0.5);
    assert_eq!(refused, Err(Refusal::TooMany));
}
