//! Tests of what is shown of the routes.

use std::sync::Arc;

use bytes::Bytes;
use sablehaven_types::{AllowedRegions, KeyDigest, RouteDocument, Tenant};

use super::{PutRoutes, RoutesState};

#[test]
fn the_debug_form_of_routes_holds_no_key() {
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
    for shown in [format!("{put:?}"), format!("{state:?}")] {
        assert!(shown.contains("desk"), "{shown}");
        assert!(!shown.contains(key), "{shown}");
    }
}
