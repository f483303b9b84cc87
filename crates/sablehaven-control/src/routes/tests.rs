//! Tests of the routes' debug output.

use std::sync::Arc;

use bytes::Bytes;
use sablehaven_types::{AllowedRegions, KeyDigest, RouteDocument, Tenant};

use super::{PutRoutes, RoutesState};

#[test]
fn the_debug_output_of_routes_contains_no_key() {
    let key = "sesame-7f3a91";
    let tenant = Tenant {
        name: "desk".into(),
        keys: vec![KeyDigest::of(key.as_bytes())],
        priority: 0,
        allowed_regions: AllowedRegions::default(),
        quota: None,
    };
    let document = RouteDocument {
        version: 7,
        tenants: vec![tenant],
        ..RouteDocument::default()
    };
    let put = PutRoutes {
        document: Arc::new(document),
        source: Bytes::from(format!(r#"{{"tenants": [{{"api_keys": ["{key}"]}}]}}"#)),
    };
    let mut state = RoutesState::default();
    state.apply(put.clone());
    for output in [format!("{put:?}"), format!("{state:?}")] {
        assert!(output.contains("desk"), "{output}");
        assert!(!output.contains(key), "{output}");
    }
}
