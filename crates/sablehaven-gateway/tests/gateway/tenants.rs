//! Whose requests are taken, what servers are told of their tenants, and where they may be served.

use std::time::Duration;

use hyper::StatusCode;
use sablehaven_standins::routed::Behaviour;
use sablehaven_types::{RequestKind, Route, Tenant};
use tokio::time::sleep;

use crate::support::routes::{gather, single};
use crate::support::tenants::tenant;
use crate::support::{Answer, Bed, assert_unservable, run};

const AUTHORIZATION: &str = "authorization";
const TENANT: &str = "sablehaven-tenant";

fn search() -> Route {
    single("/q/", RequestKind::Safe, "search")
}

fn public() -> Route {
    Route {
        is_public: true,
        ..single("/open/", RequestKind::Safe, "search")
    }
}

/// A gateway with the tenants `desk` (key `desk-1`) and `portal` (keys `portal-1` and `portal-2`), a route that needs a key and
/// a public one.
async fn bed() -> Bed {
    let mut bed = Bed::new().await;
    bed.serve("search", &["near", "far"].map(Behaviour::answer))
        .await;
    bed.tenants = vec![
        tenant("desk", &["desk-1"]),
        tenant("portal", &["portal-1", "portal-2"]),
    ];
    bed.route(1, vec![search(), public()]).await;
    bed
}

async fn ask(bed: &Bed, id: &str, path: &str, key: &str) -> Answer {
    let key = format!("Bearer {key}");
    bed.send(id, "GET", path, &[(AUTHORIZATION, &key)], "")
        .await
}

/// What servers were told of the tenant of the latest request, and whether they saw any key.
fn told(bed: &Bed) -> (Vec<String>, bool) {
    let servers = bed.servers["search"].iter();
    let seen = servers.flat_map(|server| server.seen());
    let latest = seen.max_by_key(|seen| seen.at).expect("a request");
    let of = |name: &str| {
        let headers = latest.headers.iter().filter(|(known, _)| known == name);
        headers.map(|(_, value)| value.clone()).collect::<Vec<_>>()
    };
    (of(TENANT), !of(AUTHORIZATION).is_empty())
}

#[test]
fn a_known_key_is_served_and_servers_are_told_the_tenant_and_not_the_key() {
    run(async {
        let bed = bed().await;
        for (key, name) in [
            ("desk-1", "desk"),
            ("portal-1", "portal"),
            ("portal-2", "portal"),
        ] {
            let answer = ask(&bed, key, "/q/x", key).await;
            assert_eq!(answer.status, StatusCode::OK);
            assert_eq!(told(&bed), (vec![name.to_owned()], false));
        }
    });
}

#[test]
fn without_one_known_key_the_answer_is_401_and_no_server_hears_of_it() {
    run(async {
        let bed = bed().await;
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
            let answer = bed.send("1", "GET", "/q/x", headers, "").await;
            assert_eq!(answer.status, StatusCode::UNAUTHORIZED, "{headers:?}");
            assert_eq!(answer.header("retry-after"), None);
            assert_eq!(answer.header("www-authenticate"), Some("Bearer"));
        }
        // A route that nobody has is none for anybody.
        assert_eq!(bed.get("2", "/none/x").await.status, StatusCode::NOT_FOUND);
        assert_eq!(bed.arrivals("search"), 0);
    });
}

#[test]
fn what_a_caller_claims_of_its_tenant_reaches_no_server() {
    run(async {
        let bed = bed().await;
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
            let answer = bed.send("1", "GET", "/q/x", &headers, "").await;
            assert_eq!(answer.status, StatusCode::OK);
            assert_eq!(told(&bed), (vec!["desk".to_owned()], false));
            let answer = bed.send("2", "GET", "/open/x", claim, "").await;
            assert_eq!(answer.status, StatusCode::OK);
            assert_eq!(told(&bed), (vec![], false));
        }
    });
}

#[test]
fn a_public_route_asks_for_no_key_and_a_known_one_counts_there_too() {
    run(async {
        let bed = bed().await;
        assert_eq!(bed.get("1", "/open/x").await.status, StatusCode::OK);
        assert_eq!(told(&bed), (vec![], false));
        let unknown = ask(&bed, "2", "/open/x", "unknown").await;
        assert_eq!(unknown.status, StatusCode::OK);
        assert_eq!(told(&bed), (vec![], false));
        let known = ask(&bed, "3", "/open/x", "desk-1").await;
        assert_eq!(known.status, StatusCode::OK);
        assert_eq!(told(&bed), (vec!["desk".to_owned()], false));
    });
}

#[test]
fn without_tenants_nobody_needs_a_key_and_nobody_can_claim_a_tenant() {
    run(async {
        let mut bed = Bed::new().await;
        let early = ask(&bed, "1", "/q/x", "desk-1").await;
        assert_eq!(early.status, StatusCode::SERVICE_UNAVAILABLE);
        bed.serve("search", &[Behaviour::answer("ok")]).await;
        bed.route(1, vec![search()]).await;
        assert_eq!(bed.get("2", "/q/x").await.status, StatusCode::OK);
        let headers = [(AUTHORIZATION, "Bearer any"), (TENANT, "desk")];
        let answer = bed.send("3", "GET", "/q/x", &headers, "").await;
        assert_eq!(answer.status, StatusCode::OK);
        assert_eq!(told(&bed), (vec![], true));
    });
}

#[test]
fn without_quotas_requests_send_no_message_to_control() {
    run(async {
        for tenants in [vec![], vec![tenant("desk", &["desk-1"])]] {
            let mut bed = Bed::new().await;
            bed.serve("search", &[Behaviour::answer("ok")]).await;
            bed.tenants = tenants;
            bed.route(1, vec![search(), public()]).await;
            for path in ["/q/x", "/open/x"] {
                let answer = ask(&bed, "1", path, "desk-1").await;
                assert_eq!(answer.status, StatusCode::OK);
            }
            ask(&bed, "2", "/q/x", "unknown").await;
            // What a request caused is said within the time between two signs of life.
            sleep(Duration::from_millis(600)).await;
            assert_eq!(bed.heard_names(), ["alive", "prefer", "status"]);
        }
    });
}

fn bound_to(regions: &[&str], tenant: Tenant) -> Tenant {
    Tenant {
        allowed_regions: regions.iter().map(|region| (*region).into()).collect(),
        ..tenant
    }
}

#[test]
fn a_request_is_served_where_both_its_route_and_its_tenant_allow() {
    run(async {
        let mut bed = Bed::new().await;
        bed.serve("search", &["near", "far"].map(Behaviour::answer))
            .await;
        bed.tenants = vec![
            tenant("anywhere", &["k-any"]),
            bound_to(&["south", "west"], tenant("far", &["k-far"])),
            bound_to(&["west"], tenant("nowhere", &["k-none"])),
        ];
        let north_and_south = Route {
            allowed_regions: ["north".into(), "south".into()].into_iter().collect(),
            ..single("/two/", RequestKind::Safe, "search")
        };
        let north = Route {
            allowed_regions: ["north".into()].into_iter().collect(),
            ..single("/north/", RequestKind::Safe, "search")
        };
        let shards = Route {
            allowed_regions: ["north".into()].into_iter().collect(),
            ..gather("/all/", &["search"], 1.0)
        };
        bed.route(1, vec![search(), north_and_south, north, shards])
            .await;
        for number in 0..5 {
            for path in ["/q/x", "/two/x"] {
                let answer = ask(&bed, &format!("far-{number}"), path, "k-far").await;
                assert_eq!(&answer.body[..], b"far", "{path}");
            }
            let answer = ask(&bed, &format!("near-{number}"), "/north/x", "k-any").await;
            assert_eq!(&answer.body[..], b"near");
        }
        let served = bed.arrivals("search");
        for path in ["/north/x", "/all/x"] {
            assert_unservable(&ask(&bed, "1", path, "k-far").await);
        }
        for path in ["/q/x", "/two/x", "/north/x"] {
            assert_unservable(&ask(&bed, "2", path, "k-none").await);
        }
        assert_eq!(bed.arrivals("search"), served);
    });
}
