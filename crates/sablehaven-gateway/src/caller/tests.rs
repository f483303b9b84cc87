//! Tests of whether a caller's standing holds over versions.

use std::sync::Arc;

use hyper::header::{AUTHORIZATION, HeaderMap, HeaderValue};
use sablehaven_types::{AllowedRegions, KeyDigest, RouteDocument, Tenant};

use super::{Caller, CallerValidity};
use crate::{names::HeaderNames, route_table::RouteTable};

/// A version with one key for each of these tenants.
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
    let some = table(1, &[("a", "k")]);
    let none = table(1, &[]);
    assert!(Caller::find(&some, false, None).is_none());
    assert!(Caller::find(&some, false, key("x")).is_none());
    let name = |caller: Option<Caller>| {
        let caller = caller.expect("a caller");
        caller.tenant().map(|tenant| tenant.name.to_string())
    };
    assert_eq!(
        name(Caller::find(&some, false, key("k"))).as_deref(),
        Some("a")
    );
    assert_eq!(
        name(Caller::find(&some, true, key("k"))).as_deref(),
        Some("a")
    );
    assert_eq!(name(Caller::find(&some, true, key("x"))), None);
    assert_eq!(name(Caller::find(&some, true, None)), None);
    assert_eq!(name(Caller::find(&none, false, None)), None);
}

#[test]
fn a_key_that_goes_ends_the_standing() {
    let before = table(1, &[("a", "k")]);
    let caller = Caller::find(&before, false, key("k")).expect("a caller");
    assert_eq!(caller.check_validity(&before), CallerValidity::Valid);
    let kept = table(2, &[("b", "other"), ("a", "k")]);
    assert_eq!(caller.check_validity(&kept), CallerValidity::Valid);
    let gone = table(3, &[("a", "k-new")]);
    assert_eq!(caller.check_validity(&gone), CallerValidity::KeyRevoked);
    let back = table(4, &[("a", "k")]);
    assert_eq!(caller.check_validity(&back), CallerValidity::Valid);
    let moved = table(5, &[("b", "k")]);
    assert_eq!(caller.check_validity(&moved), CallerValidity::Changed);
    let nobody = table(6, &[]);
    assert_eq!(caller.check_validity(&nobody), CallerValidity::Valid);
}

#[test]
fn a_caller_without_a_key_is_looked_up_anew_when_keys_are_needed() {
    let before = table(1, &[]);
    let caller = Caller::find(&before, false, None).expect("a caller");
    assert_eq!(caller.check_validity(&table(2, &[])), CallerValidity::Valid);
    let needed = table(3, &[("a", "k")]);
    assert_eq!(caller.check_validity(&needed), CallerValidity::Changed);
}

#[test]
fn nobody_on_a_public_route_stays_nobody_and_a_tenant_without_its_key_comes_again() {
    let before = table(1, &[("a", "k")]);
    let nobody = Caller::find(&before, true, None).expect("a caller");
    let tenant = Caller::find(&before, true, key("k")).expect("a caller");
    let gone = table(2, &[("a", "k-new")]);
    assert_eq!(nobody.check_validity(&gone), CallerValidity::Valid);
    assert_eq!(tenant.check_validity(&gone), CallerValidity::Changed);
}

#[test]
fn servers_get_the_tenant_and_neither_the_key_nor_what_the_caller_claims() {
    let names = HeaderNames::default();
    let sent = || {
        let mut headers = HeaderMap::new();
        headers.append(AUTHORIZATION, HeaderValue::from_static("Bearer k"));
        headers.append(&names.tenant, HeaderValue::from_static("b"));
        headers.append(&names.tenant, HeaderValue::from_static("c"));
        headers
    };
    let mark = |caller: Option<Caller>| {
        let mut headers = sent();
        caller.expect("a caller").mark(&mut headers, &names);
        let told: Vec<_> = headers.get_all(&names.tenant).iter().cloned().collect();
        (told, headers.contains_key(AUTHORIZATION))
    };
    let some = table(1, &[("a", "k")]);
    let none = table(1, &[]);
    let told = vec![HeaderValue::from_static("a")];
    assert_eq!(mark(Caller::find(&some, false, key("k"))), (told, false));
    assert_eq!(mark(Caller::find(&some, true, None)), (vec![], false));
    assert_eq!(mark(Caller::find(&none, false, None)), (vec![], true));
}
