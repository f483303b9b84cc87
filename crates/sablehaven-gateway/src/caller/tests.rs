//! Tests of whether a caller stays valid over versions of the configuration.

use std::sync::Arc;

use hyper::header::{AUTHORIZATION, HeaderMap, HeaderValue};
use sablehaven_types::{AllowedRegions, KeyDigest, RouteDocument, Tenant};

use super::{Caller, CallerValidity};
use crate::{names::HeaderNames, route_table::RouteTable};

/// A configuration version with these tenants, given as name and key.
fn table(version: u64, tenants: &[(&str, &str)]) -> RouteTable {
    let tenant = |(name, key): &(&str, &str)| Tenant {
        name: (*name).into(),
        keys: vec![KeyDigest::of(key.as_bytes())],
        priority: 0,
        allowed_regions: AllowedRegions::default(),
        quota: None,
    };
    let document = RouteDocument {
        version,
        tenants: tenants.iter().map(tenant).collect(),
        ..RouteDocument::default()
    };
    RouteTable::new(Arc::new(document), None)
}

fn key(text: &str) -> Option<KeyDigest> {
    Some(KeyDigest::of(text.as_bytes()))
}

#[test]
fn a_key_is_needed_only_where_there_are_tenants_and_the_route_is_not_public() {
    let with_tenants = table(1, &[("a", "k")]);
    let without_tenants = table(1, &[]);
    assert!(Caller::find(&with_tenants, false, None).is_none());
    assert!(Caller::find(&with_tenants, false, key("x")).is_none());
    let name = |caller: Option<Caller>| {
        let caller = caller.expect("a caller");
        caller.tenant().map(|tenant| tenant.name.to_string())
    };
    assert_eq!(
        name(Caller::find(&with_tenants, false, key("k"))).as_deref(),
        Some("a")
    );
    assert_eq!(
        name(Caller::find(&with_tenants, true, key("k"))).as_deref(),
        Some("a")
    );
    assert_eq!(name(Caller::find(&with_tenants, true, key("x"))), None);
    assert_eq!(name(Caller::find(&with_tenants, true, None)), None);
    assert_eq!(name(Caller::find(&without_tenants, false, None)), None);
}

#[test]
fn a_revoked_key_invalidates_the_caller() {
    let before = table(1, &[("a", "k")]);
    let caller = Caller::find(&before, false, key("k")).expect("a caller");
    assert_eq!(caller.check_validity(&before), CallerValidity::Valid);
    let kept = table(2, &[("b", "other"), ("a", "k")]);
    assert_eq!(caller.check_validity(&kept), CallerValidity::Valid);
    let revoked = table(3, &[("a", "k-new")]);
    assert_eq!(caller.check_validity(&revoked), CallerValidity::KeyRevoked);
    let restored = table(4, &[("a", "k")]);
    assert_eq!(caller.check_validity(&restored), CallerValidity::Valid);
    let reassigned = table(5, &[("b", "k")]);
    assert_eq!(caller.check_validity(&reassigned), CallerValidity::Changed);
    let no_tenants = table(6, &[]);
    assert_eq!(caller.check_validity(&no_tenants), CallerValidity::Valid);
}

#[test]
fn a_caller_without_a_key_is_invalid_once_keys_are_needed() {
    let before = table(1, &[]);
    let caller = Caller::find(&before, false, None).expect("a caller");
    assert_eq!(caller.check_validity(&table(2, &[])), CallerValidity::Valid);
    let with_keys = table(3, &[("a", "k")]);
    assert_eq!(caller.check_validity(&with_keys), CallerValidity::Changed);
}

#[test]
fn on_a_public_route_an_anonymous_caller_stays_valid_and_a_revoked_tenant_does_not() {
    let before = table(1, &[("a", "k")]);
    let anonymous = Caller::find(&before, true, None).expect("a caller");
    let tenant = Caller::find(&before, true, key("k")).expect("a caller");
    let revoked = table(2, &[("a", "k-new")]);
    assert_eq!(anonymous.check_validity(&revoked), CallerValidity::Valid);
    assert_eq!(tenant.check_validity(&revoked), CallerValidity::Changed);
}

#[test]
fn servers_get_the_tenant_but_not_the_key_or_a_forged_tenant_header() {
    let names = HeaderNames::default();
    let sent = || {
        let mut headers = HeaderMap::new();
        headers.append(AUTHORIZATION, HeaderValue::from_static("Bearer k"));
        headers.append(&names.tenant, HeaderValue::from_static("b"));
        headers.append(&names.tenant, HeaderValue::from_static("c"));
        headers
    };
    let rewrite_tenant_headers = |caller: Option<Caller>| {
        let mut headers = sent();
        caller
            .expect("a caller")
            .rewrite_tenant_headers(&mut headers, &names);
        let tenant_headers: Vec<_> = headers.get_all(&names.tenant).iter().cloned().collect();
        (tenant_headers, headers.contains_key(AUTHORIZATION))
    };
    let with_tenants = table(1, &[("a", "k")]);
    let without_tenants = table(1, &[]);
    let tenant_headers = vec![HeaderValue::from_static("a")];
    assert_eq!(
        rewrite_tenant_headers(Caller::find(&with_tenants, false, key("k"))),
        (tenant_headers, false)
    );
    assert_eq!(
        rewrite_tenant_headers(Caller::find(&with_tenants, true, None)),
        (vec![], false)
    );
    assert_eq!(
        rewrite_tenant_headers(Caller::find(&without_tenants, false, None)),
        (vec![], true)
    );
}
