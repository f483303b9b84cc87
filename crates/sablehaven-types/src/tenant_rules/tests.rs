//! Tests of which tenants are valid, and that nothing shows a key.

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

fn limited(name: &str, per_second: f64, burst: f64) -> Tenant {
    Tenant {
        quota: Some(RequestQuota { per_second, burst }),
        ..tenant(name, &[KEY])
    }
}

/// The error of a document, which must name the tenant and no key.
fn error_of(tenants: Vec<Tenant>, named: &str) -> RouteError {
    let document = document(tenants);
    let error = document.validate().expect_err("an invalid document");
    assert!(error.to_string().contains(named), "{error}");
    for text in [error.to_string(), format!("{error:?}")] {
        assert!(!text.contains(KEY), "{text}");
    }
    error
}

#[test]
fn tenants_with_names_and_keys_of_their_own_are_valid() {
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
    // It means the same as naming the key once.
    let twice = document(vec![tenant("a", &[KEY, KEY])]);
    assert_eq!(twice.validate(), Ok(()));
}

#[test]
fn two_tenants_must_not_share_a_key_or_a_name() {
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
fn empty_keys_and_names_that_no_header_holds_are_refused() {
    let empty = vec![tenant("a", &[KEY, ""])];
    assert!(matches!(
        error_of(empty, "'a'"),
        RouteError::EmptyKey { .. }
    ));
    for (name, shown) in [("", "''"), ("a\r\nx", "a\\r\\nx"), ("\u{7f}", "\\u{7f}")] {
        let named = vec![tenant(name, &[KEY])];
        let error = error_of(named, "tenant");
        assert!(matches!(error, RouteError::InvalidTenantName { .. }));
        assert!(error.to_string().contains(shown), "{error}");
    }
}

#[test]
fn quotas_must_be_finite_and_not_negative() {
    let bad = [
        (-1.0, 0.0),
        (0.0, 0.0),
        (f64::NAN, 0.0),
        (f64::INFINITY, 0.0),
        (1.0, -1.0),
        (1.0, f64::NAN),
        (1.0, f64::INFINITY),
    ];
    for (per_second, burst) in bad {
        let error = error_of(vec![limited("a", per_second, burst)], "'a'");
        assert!(matches!(error, RouteError::InvalidQuota { .. }));
    }
}

#[test]
fn neither_debug_nor_the_serialized_form_of_a_document_holds_a_key() {
    let document = document(vec![tenant("a", &[KEY])]);
    assert!(!format!("{document:?}").contains(KEY));
    let bytes = rmp_serde::to_vec(&document).expect("it can be encoded");
    let holds = |part: &[u8]| bytes.windows(part.len()).any(|window| window == part);
    assert!(holds(b"a"), "the search finds what is there");
    assert!(!holds(KEY.as_bytes()));
}

/// A document as it was before there were tenants.
#[derive(Serialize)]
struct FormerDocument<'a> {
    version: u64,
    routes: Vec<FormerRoute<'a>>,
    services: &'a std::collections::BTreeMap<ServiceName, RoutedService>,
    limits: CallerLimits,
}

/// A route as it was before there were public ones.
#[derive(Serialize)]
struct FormerRoute<'a> {
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
fn without_tenants_a_document_encodes_as_before_there_were_any() {
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
    let former = FormerDocument {
        version: 7,
        routes: vec![FormerRoute {
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
    let bytes = rmp_serde::to_vec(&document).expect("it can be encoded");
    let former = rmp_serde::to_vec(&former).expect("it can be encoded");
    assert_eq!(bytes, former);
    let decoded: RouteDocument = rmp_serde::from_slice(&former).expect("it can be decoded");
    assert_eq!(decoded, document);
}
