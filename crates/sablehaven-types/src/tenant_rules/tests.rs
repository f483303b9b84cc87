//! Tests of the validation of tenants, and that no output reveals a key.

use serde::Serialize;

use crate::{
    AllowedRegions, CallerLimits, KeyDigest, RequestKind, RequestQuota, Route, RouteDocument,
    RouteError, RouteTarget, RoutedService, ServiceName, Tenant,
};

const KEY: &str = "sesame-7f3a91";

fn tenant(name: &str, keys: &[&str]) -> Tenant {
    let keys = keys.iter();
    Tenant {
        name: name.into(),
        keys: keys.map(|key| KeyDigest::of(key.as_bytes())).collect(),
        priority: 0,
        allowed_regions: AllowedRegions::default(),
        quota: None,
    }
}

fn document(tenants: Vec<Tenant>) -> RouteDocument {
    RouteDocument {
        tenants,
        ..RouteDocument::default()
    }
}

fn tenant_with_quota(name: &str, per_second: f64, burst: f64) -> Tenant {
    Tenant {
        quota: Some(RequestQuota { per_second, burst }),
        ..tenant(name, &[KEY])
    }
}

/// Returns the validation error of a document. Its text must contain `expected_text` and no key.
fn error_of(tenants: Vec<Tenant>, expected_text: &str) -> RouteError {
    let document = document(tenants);
    let error = document.validate().expect_err("an invalid document");
    assert!(error.to_string().contains(expected_text), "{error}");
    for text in [error.to_string(), format!("{error:?}")] {
        assert!(!text.contains(KEY), "{text}");
    }
    error
}

#[test]
fn tenants_with_distinct_names_and_keys_are_valid() {
    let quota = RequestQuota {
        per_second: 0.5,
        burst: 0.0,
    };
    let limited = Tenant {
        quota: Some(quota),
        ..tenant("c", &["c-1"])
    };
    let tenants = vec![
        tenant("a", &[KEY, "a-2"]),
        tenant("b", &["b-1"]),
        tenant("without keys", &[]),
        limited,
    ];
    assert_eq!(document(tenants).validate(), Ok(()));
    // Listing a key twice for the same tenant has no effect.
    let repeated_key = document(vec![tenant("a", &[KEY, KEY])]);
    assert_eq!(repeated_key.validate(), Ok(()));
}

#[test]
fn tenants_with_the_same_key_or_name_are_refused() {
    let shared = vec![tenant("a", &[KEY]), tenant("b", &["b-1", KEY])];
    let tenant_b = "b".into();
    assert_eq!(
        error_of(shared, "'b'"),
        RouteError::DuplicateKey { tenant: tenant_b }
    );
    let same = vec![tenant("a", &[KEY]), tenant("a", &["a-2"])];
    let tenant_a = "a".into();
    assert_eq!(
        error_of(same, "'a'"),
        RouteError::DuplicateTenant { tenant: tenant_a }
    );
}

#[test]
fn empty_keys_and_names_that_are_invalid_in_a_header_are_refused() {
    let empty = vec![tenant("a", &[KEY, ""])];
    assert!(matches!(
        error_of(empty, "'a'"),
        RouteError::EmptyKey { .. }
    ));
    for (name, escaped) in [("", "''"), ("a\r\nx", "a\\r\\nx"), ("\u{7f}", "\\u{7f}")] {
        let tenants = vec![tenant(name, &[KEY])];
        let error = error_of(tenants, "tenant");
        assert!(matches!(error, RouteError::InvalidTenantName { .. }));
        assert!(error.to_string().contains(escaped), "{error}");
    }
}

#[test]
fn quotas_without_a_positive_rate_or_with_an_invalid_burst_are_refused() {
    let invalid = [
        (-1.0, 0.0),
        (0.0, 0.0),
        (f64::NAN, 0.0),
        (f64::INFINITY, 0.0),
        (1.0, -1.0),
        (1.0, f64::NAN),
        (1.0, f64::INFINITY),
    ];
    for (per_second, burst) in invalid {
        let error = error_of(vec![tenant_with_quota("a", per_second, burst)], "'a'");
        assert!(matches!(error, RouteError::InvalidQuota { .. }));
    }
}

#[test]
fn neither_the_debug_nor_the_serialized_form_of_a_document_contains_a_key() {
    let document = document(vec![tenant("a", &[KEY])]);
    assert!(!format!("{document:?}").contains(KEY));
    let bytes = rmp_serde::to_vec(&document).expect("encode the document");
    let contains = |part: &[u8]| bytes.windows(part.len()).any(|window| window == part);
    assert!(contains(b"a"), "the search finds the tenant's name");
    assert!(!contains(KEY.as_bytes()));
}

/// A route document in the format from before tenants were added.
#[derive(Serialize)]
struct OldDocument<'a> {
    version: u64,
    routes: Vec<OldRoute<'a>>,
    services: &'a std::collections::BTreeMap<ServiceName, RoutedService>,
    limits: CallerLimits,
}

/// A route in the format from before `is_public` was added.
#[derive(Serialize)]
struct OldRoute<'a> {
    name: &'a str,
    host: &'a str,
    path_prefix: &'a str,
    kind: RequestKind,
    timeout_ms: u64,
    aim_ms: u64,
    priority: u32,
    max_attempts: u32,
    target: &'a RouteTarget,
    allowed_regions: &'a AllowedRegions,
}

#[test]
fn a_document_without_tenants_encodes_as_in_the_old_format() {
    let route = Route {
        name: "r".to_owned(),
        host: "a.example".to_owned(),
        path_prefix: "/x/".to_owned(),
        kind: RequestKind::Safe,
        timeout_ms: 1_000,
        aim_ms: 100,
        priority: 1,
        max_attempts: 2,
        target: RouteTarget::Service("s".into()),
        allowed_regions: ["north".into()].into_iter().collect(),
        is_public: false,
    };
    let document = RouteDocument {
        version: 7,
        routes: vec![route.clone()],
        services: [("s".into(), RoutedService::default())].into(),
        ..RouteDocument::default()
    };
    let old = OldDocument {
        version: 7,
        routes: vec![OldRoute {
            name: &route.name,
            host: &route.host,
            path_prefix: &route.path_prefix,
            kind: route.kind,
            timeout_ms: route.timeout_ms,
            aim_ms: route.aim_ms,
            priority: route.priority,
            max_attempts: route.max_attempts,
            target: &route.target,
            allowed_regions: &route.allowed_regions,
        }],
        services: &document.services,
        limits: document.limits,
    };
    let bytes = rmp_serde::to_vec(&document).expect("encode the document");
    let old_bytes = rmp_serde::to_vec(&old).expect("encode the old document");
    assert_eq!(bytes, old_bytes);
    let decoded: RouteDocument =
        rmp_serde::from_slice(&old_bytes).expect("decode the old document");
    assert_eq!(decoded, document);
}
