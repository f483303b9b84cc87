//! Tests of what leads from one version of the routes to another.

use std::collections::BTreeMap;

use proptest::{collection::btree_map, prelude::*};

use super::RoutesChange;
use crate::{
    AllowedRegions, CallerLimits, KeyDigest, RequestKind, Route, RouteDocument, RouteTarget,
    RoutedService, Tenant,
};

fn route(place: u8, variant: u8) -> Route {
    Route {
        name: format!("r{place}"),
        // The same place may be written with other letters.
        host: if variant.is_multiple_of(2) {
            "a.example"
        } else {
            "A.example"
        }
        .to_owned(),
        path_prefix: format!("/{place}/"),
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

/// Which things there are, each in one of a few variants.
fn things() -> impl Strategy<Value = BTreeMap<u8, u8>> {
    btree_map(0..12_u8, 0..4_u8, 0..12)
}

prop_compose! {
    fn document(version: u64)(
        routes in things(),
        services in things(),
        tenants in things(),
        idle_timeout_ms in 1..3_u64,
    ) -> RouteDocument {
        let services = services.into_iter();
        RouteDocument {
            version,
            routes: routes.into_iter().map(|(place, variant)| route(place, variant)).collect(),
            services: services
                .map(|(name, variant)| (format!("s{name}").into(), service(variant)))
                .collect(),
            limits: CallerLimits { idle_timeout_ms, ..CallerLimits::default() },
            tenants: tenants.into_iter().map(|(name, variant)| tenant(name, variant)).collect(),
        }
    }
}

/// The document with its routes and tenants in one order.
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
    fn a_change_leads_to_the_same_document(base in document(3), next in document(8)) {
        let change = RoutesChange::between(&base, &next);
        let bytes = rmp_serde::to_vec(&change).expect("it can be encoded");
        let change: RoutesChange = rmp_serde::from_slice(&bytes).expect("it can be decoded");
        let reached = change.apply(&base).expect("the base fits");
        prop_assert_eq!(sorted(reached), sorted(next));
    }

    #[test]
    fn what_is_the_same_does_not_travel(base in document(3)) {
        let next = RouteDocument { version: 4, ..base.clone() };
        let change = RoutesChange::between(&base, &next);
        prop_assert!(change.routes.is_empty() && change.gone_routes.is_empty());
        prop_assert!(change.services.is_empty() && change.gone_services.is_empty());
        prop_assert!(change.tenants.is_empty() && change.gone_tenants.is_empty());
        prop_assert_eq!(change.limits, None);
    }

    #[test]
    fn a_change_says_nothing_of_another_version(
        base in document(3), next in document(8), other in document(4),
    ) {
        prop_assert_eq!(RoutesChange::between(&base, &next).apply(&other), None);
    }
}

#[test]
fn a_key_of_one_tenant_among_ten_thousand_costs_no_more_than_the_tenant() {
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
    let size = |bytes: Result<Vec<u8>, _>| bytes.expect("it can be encoded").len();
    let whole = size(rmp_serde::to_vec(&next));
    let change = size(rmp_serde::to_vec(&RoutesChange::between(&base, &next)));
    println!(
        "10,000 tenants with 40,000 keys: whole {whole} bytes, one key exchanged {change} bytes"
    );
    assert!(whole > 800_000, "{whole}");
    assert!(change < 200, "{change}");
}
