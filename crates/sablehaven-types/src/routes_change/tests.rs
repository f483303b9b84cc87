//! Tests of changes between versions of the routes.

use std::collections::BTreeMap;

use proptest::{collection::btree_map, prelude::*};

use super::RoutesChange;
use crate::{
    AllowedRegions, CallerLimits, KeyDigest, RequestKind, Route, RouteDocument, RouteTarget,
    RoutedService, Tenant,
};

fn route(id: u8, variant: u8) -> Route {
    Route {
        name: format!("r{id}"),
        // Hosts compare without regard to case, so both spellings are the same route key.
        host: if variant.is_multiple_of(2) {
            "a.example"
        } else {
            "A.example"
        }
        .to_owned(),
        path_prefix: format!("/{id}/"),
        kind: RequestKind::Safe,
        timeout_ms: 1_000,
        aim_ms: 100,
        priority: u32::from(variant),
        max_attempts: 2,
        target: RouteTarget::Service("s0".into()),
        allowed_regions: AllowedRegions::default(),
        is_public: variant == 3,
    }
}

fn tenant(name: u8, variant: u8) -> Tenant {
    Tenant {
        name: format!("t{name}").into(),
        keys: (0..variant)
            .map(|key| KeyDigest::of(&[name, key]))
            .collect(),
        priority: 0,
        allowed_regions: AllowedRegions::default(),
        quota: None,
    }
}

fn service(variant: u8) -> RoutedService {
    RoutedService {
        max_connections: u32::from(variant),
        ..RoutedService::default()
    }
}

/// Maps the ids of the items in a document to one of a few variants of each.
fn items() -> impl Strategy<Value = BTreeMap<u8, u8>> {
    btree_map(0..12_u8, 0..4_u8, 0..12)
}

prop_compose! {
    fn document(version: u64)(
        routes in items(),
        services in items(),
        tenants in items(),
        idle_timeout_ms in 1..3_u64,
    ) -> RouteDocument {
        let services = services.into_iter();
        RouteDocument {
            version,
            routes: routes.into_iter().map(|(id, variant)| route(id, variant)).collect(),
            services: services
                .map(|(name, variant)| (format!("s{name}").into(), service(variant)))
                .collect(),
            limits: CallerLimits { idle_timeout_ms, ..CallerLimits::default() },
            tenants: tenants.into_iter().map(|(name, variant)| tenant(name, variant)).collect(),
        }
    }
}

/// Sorts the routes and tenants of a document, so that documents can be compared whatever their order.
fn sorted(mut document: RouteDocument) -> RouteDocument {
    document
        .routes
        .sort_by(|one, other| one.path_prefix.cmp(&other.path_prefix));
    document
        .tenants
        .sort_by(|one, other| one.name.cmp(&other.name));
    document
}

proptest! {
    #[test]
    fn applying_a_change_yields_the_new_document(base in document(3), next in document(8)) {
        let change = RoutesChange::between(&base, &next);
        let bytes = rmp_serde::to_vec(&change).expect("encode the change");
        let change: RoutesChange = rmp_serde::from_slice(&bytes).expect("decode the change");
        let result = change.apply(&base).expect("the change applies to the base");
        prop_assert_eq!(sorted(result), sorted(next));
    }

    #[test]
    fn a_change_omits_unchanged_items(base in document(3)) {
        let next = RouteDocument { version: 4, ..base.clone() };
        let change = RoutesChange::between(&base, &next);
        prop_assert!(change.routes.is_empty() && change.gone_routes.is_empty());
        prop_assert!(change.services.is_empty() && change.gone_services.is_empty());
        prop_assert!(change.tenants.is_empty() && change.gone_tenants.is_empty());
        prop_assert_eq!(change.limits, None);
    }

    #[test]
    fn a_change_does_not_apply_to_another_version(
        base in document(3), next in document(8), other in document(4),
    ) {
        prop_assert_eq!(RoutesChange::between(&base, &next).apply(&other), None);
    }
}

#[test]
fn changing_one_key_among_ten_thousand_tenants_sends_only_that_tenant() {
    let keys =
        |tenant: usize| (0..4).map(move |key| KeyDigest::of(format!("{tenant}/{key}").as_bytes()));
    let tenants = (0..10_000).map(|number| Tenant {
        name: format!("tenant-{number}").into(),
        keys: keys(number).collect(),
        ..tenant(0, 0)
    });
    let base = RouteDocument {
        version: 1,
        tenants: tenants.collect(),
        ..RouteDocument::default()
    };
    let mut next = base.clone();
    next.version = 2;
    next.tenants[5_000].keys[0] = KeyDigest::of(b"another");
    let size = |bytes: Result<Vec<u8>, _>| bytes.expect("encode the value").len();
    let document_bytes = size(rmp_serde::to_vec(&next));
    let change_bytes = size(rmp_serde::to_vec(&RoutesChange::between(&base, &next)));
    println!(
        "10,000 tenants with 40,000 keys: document {document_bytes} bytes, change of one key {change_bytes} bytes"
    );
    assert!(document_bytes > 800_000, "{document_bytes}");
    assert!(change_bytes < 200, "{change_bytes}");
}
