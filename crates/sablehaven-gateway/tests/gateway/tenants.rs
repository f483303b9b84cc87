//! Tests of tenants: which requests are accepted, what servers are told about the tenant, and in which regions a
//! request may be served.

use std::time::Duration;

use hyper::StatusCode;
use sablehaven_standins::routed::Behaviour;
use sablehaven_types::{RequestKind, Route, Tenant};
use tokio::time::sleep;

use crate::support::routes::{gather_route, service_route};
use crate::support::tenants::tenant;
use crate::support::{Response, TestBed, assert_unavailable, run_test};

const AUTHORIZATION: &str = "authorization";
const TENANT: &str = "sablehaven-tenant";

fn search_route() -> Route {
    service_route("/q/", RequestKind::Safe, "search")
}

fn public_route() -> Route {
    Route {
        is_public: true,
        ..service_route("/open/", RequestKind::Safe, "search")
    }
}

/// Starts a gateway with the tenants `desk` (key `desk-1`) and `portal` (keys `portal-1` and `portal-2`), a route that
/// needs a key and a public one.
async fn start_test_bed() -> TestBed {
    let mut bed = TestBed::new().await;
    bed.add_servers("search", &["near", "far"].map(Behaviour::answer))
        .await;
    bed.tenants = vec![
        tenant("desk", &["desk-1"]),
        tenant("portal", &["portal-1", "portal-2"]),
    ];
    bed.apply_routes(1, vec![search_route(), public_route()])
        .await;
    bed
}

async fn get_with_key(bed: &TestBed, id: &str, path: &str, key: &str) -> Response {
    let key = format!("Bearer {key}");
    bed.send(id, "GET", path, &[(AUTHORIZATION, &key)], "")
        .await
}

/// The tenant headers of the latest request that a server received, and whether it had an `authorization` header.
fn received_tenant_and_key(bed: &TestBed) -> (Vec<String>, bool) {
    let servers = bed.servers["search"].iter();
    let seen = servers.flat_map(|server| server.seen());
    let latest = seen.max_by_key(|seen| seen.at).expect("a request");
    let values_of = |name: &str| {
        let headers = latest.headers.iter().filter(|(header, _)| header == name);
        headers.map(|(_, value)| value.clone()).collect::<Vec<_>>()
    };
    (values_of(TENANT), !values_of(AUTHORIZATION).is_empty())
}

#[test]
fn servers_are_told_the_tenant_of_a_known_key_and_not_the_key() {
    run_test(async {
        let bed = start_test_bed().await;
        for (key, name) in [
            ("desk-1", "desk"),
            ("portal-1", "portal"),
            ("portal-2", "portal"),
        ] {
            let response = get_with_key(&bed, key, "/q/x", key).await;
            assert_eq!(response.status, StatusCode::OK);
            assert_eq!(
                received_tenant_and_key(&bed),
                (vec![name.to_owned()], false)
            );
        }
    });
}

#[test]
fn without_exactly_one_known_key_the_response_is_401_and_no_server_gets_the_request() {
    run_test(async {
        let bed = start_test_bed().await;
        let headers: [&[(&str, &str)]; 7] = [
            &[],
            &[(AUTHORIZATION, "Bearer unknown")],
            &[(AUTHORIZATION, "Bearer")],
            &[(AUTHORIZATION, "Basic desk-1")],
            &[(AUTHORIZATION, "desk-1")],
            &[
                (AUTHORIZATION, "Bearer desk-1"),
                (AUTHORIZATION, "Bearer desk-1"),
            ],
            &[(TENANT, "desk")],
        ];
        for headers in headers {
            let response = bed.send("1", "GET", "/q/x", headers, "").await;
            assert_eq!(response.status, StatusCode::UNAUTHORIZED, "{headers:?}");
            assert_eq!(response.header("retry-after"), None);
            assert_eq!(response.header("www-authenticate"), Some("Bearer"));
        }
        // A path without a route gets 404, also without a key.
        assert_eq!(bed.get("2", "/none/x").await.status, StatusCode::NOT_FOUND);
        assert_eq!(bed.arrivals("search"), 0);
    });
}

#[test]
fn tenant_headers_of_a_caller_are_not_forwarded() {
    run_test(async {
        let bed = start_test_bed().await;
        let claims: [&[(&str, &str)]; 3] = [
            &[(TENANT, "portal")],
            &[(TENANT, "portal"), ("Sablehaven-Tenant", "other")],
            &[
                (TENANT, "portal"),
                ("connection", "sablehaven-tenant, authorization"),
            ],
        ];
        for claim in claims {
            let mut headers = vec![(AUTHORIZATION, "bearer desk-1")];
            headers.extend_from_slice(claim);
            let response = bed.send("1", "GET", "/q/x", &headers, "").await;
            assert_eq!(response.status, StatusCode::OK);
            assert_eq!(
                received_tenant_and_key(&bed),
                (vec!["desk".to_owned()], false)
            );
            let response = bed.send("2", "GET", "/open/x", claim, "").await;
            assert_eq!(response.status, StatusCode::OK);
            assert_eq!(received_tenant_and_key(&bed), (vec![], false));
        }
    });
}

#[test]
fn a_public_route_needs_no_key_and_a_known_key_still_determines_the_tenant() {
    run_test(async {
        let bed = start_test_bed().await;
        assert_eq!(bed.get("1", "/open/x").await.status, StatusCode::OK);
        assert_eq!(received_tenant_and_key(&bed), (vec![], false));
        let unknown = get_with_key(&bed, "2", "/open/x", "unknown").await;
        assert_eq!(unknown.status, StatusCode::OK);
        assert_eq!(received_tenant_and_key(&bed), (vec![], false));
        let known = get_with_key(&bed, "3", "/open/x", "desk-1").await;
        assert_eq!(known.status, StatusCode::OK);
        assert_eq!(
            received_tenant_and_key(&bed),
            (vec!["desk".to_owned()], false)
        );
    });
}

#[test]
fn without_tenants_no_key_is_needed_and_tenant_headers_are_not_forwarded() {
    run_test(async {
        let mut bed = TestBed::new().await;
        let early = get_with_key(&bed, "1", "/q/x", "desk-1").await;
        assert_eq!(early.status, StatusCode::SERVICE_UNAVAILABLE);
        bed.add_servers("search", &[Behaviour::answer("ok")]).await;
        bed.apply_routes(1, vec![search_route()]).await;
        assert_eq!(bed.get("2", "/q/x").await.status, StatusCode::OK);
        let headers = [(AUTHORIZATION, "Bearer any"), (TENANT, "desk")];
        let response = bed.send("3", "GET", "/q/x", &headers, "").await;
        assert_eq!(response.status, StatusCode::OK);
        assert_eq!(received_tenant_and_key(&bed), (vec![], true));
    });
}

#[test]
fn without_quotas_requests_cause_no_messages_to_control() {
    run_test(async {
        for tenants in [vec![], vec![tenant("desk", &["desk-1"])]] {
            let mut bed = TestBed::new().await;
            bed.add_servers("search", &[Behaviour::answer("ok")]).await;
            bed.tenants = tenants;
            bed.apply_routes(1, vec![search_route(), public_route()])
                .await;
            for path in ["/q/x", "/open/x"] {
                let response = get_with_key(&bed, "1", path, "desk-1").await;
                assert_eq!(response.status, StatusCode::OK);
            }
            get_with_key(&bed, "2", "/q/x", "unknown").await;
            // A message caused by a request would be sent within one keepalive interval (500 ms).
            sleep(Duration::from_millis(600)).await;
            assert_eq!(bed.received_kinds(), ["alive", "prefer", "status"]);
        }
    });
}

fn restricted_to(regions: &[&str], tenant: Tenant) -> Tenant {
    Tenant {
        allowed_regions: regions.iter().map(|region| (*region).into()).collect(),
        ..tenant
    }
}

#[test]
fn a_request_is_only_served_in_regions_that_both_its_route_and_its_tenant_allow() {
    run_test(async {
        let mut bed = TestBed::new().await;
        bed.add_servers("search", &["near", "far"].map(Behaviour::answer))
            .await;
        bed.tenants = vec![
            tenant("anywhere", &["k-any"]),
            restricted_to(&["south", "west"], tenant("far", &["k-far"])),
            restricted_to(&["west"], tenant("nowhere", &["k-none"])),
        ];
        let north_and_south = Route {
            allowed_regions: ["north".into(), "south".into()].into_iter().collect(),
            ..service_route("/two/", RequestKind::Safe, "search")
        };
        let north = Route {
            allowed_regions: ["north".into()].into_iter().collect(),
            ..service_route("/north/", RequestKind::Safe, "search")
        };
        let shards = Route {
            allowed_regions: ["north".into()].into_iter().collect(),
            ..gather_route("/all/", &["search"], 1.0)
        };
        bed.apply_routes(1, vec![search_route(), north_and_south, north, shards])
            .await;
        for number in 0..5 {
            for path in ["/q/x", "/two/x"] {
                let response = get_with_key(&bed, &format!("far-{number}"), path, "k-far").await;
                assert_eq!(&response.body[..], b"far", "{path}");
            }
            let response = get_with_key(&bed, &format!("near-{number}"), "/north/x", "k-any").await;
            assert_eq!(&response.body[..], b"near");
        }
        let served = bed.arrivals("search");
        for path in ["/north/x", "/all/x"] {
            assert_unavailable(&get_with_key(&bed, "1", path, "k-far").await);
        }
        for path in ["/q/x", "/two/x", "/north/x"] {
            assert_unavailable(&get_with_key(&bed, "2", path, "k-none").await);
        }
        assert_eq!(bed.arrivals("search"), served);
    });
}
