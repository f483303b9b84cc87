//! Tests of the encoded routes that gateways are sent.

use std::sync::Arc;

use sablehaven_types::{AllowedRegions, KeyDigest, RouteDocument, Tenant};
use sablehaven_wire::ControlToGateway;

use super::{EncodedRoutes, MAXIMUM_FORMER_ROUTES};

/// Returns a version with `tenants` tenants that have one key each; only the key of the first tenant differs between
/// versions.
fn document(version: u64, tenants: usize) -> Arc<RouteDocument> {
    let tenant = |number: usize| Tenant {
        name: format!("tenant-{number}").into(),
        keys: vec![KeyDigest::of(
            format!("{number}/{}", if number == 0 { version } else { 0 }).as_bytes(),
        )],
        priority: 0,
        allowed_regions: AllowedRegions::default(),
        quota: None,
    };
    Arc::new(RouteDocument {
        version,
        tenants: (0..tenants).map(tenant).collect(),
        ..RouteDocument::default()
    })
}

/// Returns the message that a gateway with the version `held` is sent, and its size in bytes.
fn sent(routes: &mut EncodedRoutes, held: u64) -> Option<(ControlToGateway, usize)> {
    let bytes = routes.encode(held)?.bytes();
    let message = rmp_serde::from_slice(&bytes).expect("message decodes");
    Some((message, bytes.len()))
}

#[test]
fn a_gateway_is_sent_a_change_or_the_complete_routes_if_its_version_is_unknown() {
    let mut routes = EncodedRoutes::default();
    assert!(sent(&mut routes, 0).is_none());
    for version in [1, 2, 5] {
        routes.set_latest(&document(version, 3));
    }
    for held in [1, 2] {
        let Some((ControlToGateway::RoutesChange(change), _)) = sent(&mut routes, held) else {
            panic!("expected a change from {held}");
        };
        assert_eq!((change.base, change.version), (held, 5));
        let reached = change.apply(&document(held, 3)).expect("the base matches");
        let reached: Vec<_> = reached.tenants.iter().map(|tenant| &tenant.name).collect();
        assert_eq!(reached.len(), 3);
        assert_eq!(change.tenants.len(), 1);
    }
    for held in [0, 3, 4] {
        let Some((ControlToGateway::Routes(whole), _)) = sent(&mut routes, held) else {
            panic!("expected the complete routes for {held}");
        };
        assert_eq!(*whole, *document(5, 3));
    }
    for held in [5, 6] {
        assert!(sent(&mut routes, held).is_none(), "{held}");
    }
    // A slow session may set an older version; it has no effect.
    routes.set_latest(&document(2, 3));
    assert!(sent(&mut routes, 5).is_none());
}

#[test]
fn the_number_of_former_versions_is_bounded() {
    let mut routes = EncodedRoutes::default();
    for version in 1..=20 {
        routes.set_latest(&document(version, 1));
    }
    assert_eq!(routes.former.len(), MAXIMUM_FORMER_ROUTES);
    let mut is_change = |held: &u64| {
        let sent = sent(&mut routes, *held);
        matches!(sent, Some((ControlToGateway::RoutesChange(_), _)))
    };
    let changes: Vec<u64> = (1..20).filter(|held| is_change(held)).collect();
    assert_eq!(changes, [16, 17, 18, 19]);
}

#[test]
fn a_change_of_one_tenant_among_ten_thousand_is_a_small_message() {
    let mut routes = EncodedRoutes::default();
    routes.set_latest(&document(1, 10_000));
    routes.set_latest(&document(2, 10_000));
    let (_, whole) = sent(&mut routes, 0).expect("a message");
    let (_, change) = sent(&mut routes, 1).expect("a message");
    println!("10,000 tenants: complete {whole} bytes, one key replaced {change} bytes");
    assert!(change < 200 && whole > 1_000 * change, "{whole}, {change}");
}
