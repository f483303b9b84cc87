//! Tests of routes that are restricted to regions. The first server of each service is in the gateway's region
//! `north`, the others are in `south`.

use hyper::StatusCode;
use sablehaven_standins::routed::Behaviour;
use sablehaven_types::{RequestKind, Route, RouteTarget, WeightedService};

use crate::support::routes::{gather_route, service_route};
use crate::support::{TestBed, assert_unavailable, run_test};

fn restricted_to(regions: &[&str], route: Route) -> Route {
    Route {
        allowed_regions: regions.iter().map(|region| (*region).into()).collect(),
        ..route
    }
}

#[test]
fn requests_only_go_to_servers_in_allowed_regions() {
    run_test(async {
        let mut bed = TestBed::new().await;
        let servers = ["near", "far"].map(Behaviour::answer);
        bed.add_servers("search", &servers).await;
        let route = service_route("/q/", RequestKind::Safe, "search");
        bed.apply_routes(1, vec![restricted_to(&["south"], route.clone())])
            .await;
        for number in 0..10 {
            let response = bed.get(&format!("far-{number}"), "/q/x").await;
            assert_eq!(&response.body[..], b"far");
        }
        assert_eq!(bed.server("search", 0).seen().len(), 0);
        // The allowed regions change with the routes, like any other property of a route.
        bed.apply_routes(2, vec![restricted_to(&["north"], route)])
            .await;
        for number in 0..10 {
            let response = bed.get(&format!("near-{number}"), "/q/x").await;
            assert_eq!(&response.body[..], b"near");
        }
    });
}

#[test]
fn retries_and_hedges_stay_in_the_allowed_regions() {
    run_test(async {
        let mut bed = TestBed::new().await;
        bed.add_servers("fails", &[Behaviour::answer("near"), Behaviour::Reset])
            .await;
        bed.add_servers("slow", &[Behaviour::answer("near"), Behaviour::Silent])
            .await;
        let south = |prefix: &str, service: &str| {
            let mut route = restricted_to(
                &["south"],
                service_route(prefix, RequestKind::Safe, service),
            );
            route.timeout_ms = 600;
            route
        };
        bed.apply_routes(1, vec![south("/f/", "fails"), south("/s/", "slow")])
            .await;
        let failed = bed.get("1", "/f/x").await;
        assert_eq!(failed.status, StatusCode::BAD_GATEWAY);
        let late = bed.get("2", "/s/x").await;
        assert_eq!(late.status, StatusCode::GATEWAY_TIMEOUT);
        assert_eq!(bed.server("fails", 0).seen().len(), 0);
        assert_eq!(bed.server("slow", 0).seen().len(), 0);
    });
}

#[test]
fn without_a_server_in_an_allowed_region_the_request_is_refused_at_once() {
    run_test(async {
        let mut bed = TestBed::new().await;
        bed.add_servers("search", &["near", "far"].map(Behaviour::answer))
            .await;
        let split = Route {
            target: RouteTarget::Split(vec![WeightedService {
                service: "search".into(),
                weight: 1.0,
            }]),
            ..service_route("/split/", RequestKind::NonIdempotent, "search")
        };
        let routes = vec![
            restricted_to(&["west"], service_route("/q/", RequestKind::Safe, "search")),
            restricted_to(&["west"], split),
            restricted_to(&["west"], gather_route("/g/", &["search"], 1.0)),
        ];
        bed.apply_routes(1, routes).await;
        for (id, path) in [("1", "/q/x"), ("2", "/split/x"), ("3", "/g/x")] {
            assert_unavailable(&bed.get(id, path).await);
        }
        assert_eq!(bed.arrivals("search"), 0);
    });
}

#[test]
fn shards_without_a_server_in_an_allowed_region_are_missing() {
    run_test(async {
        let mut bed = TestBed::new().await;
        bed.set_up_two_shards(|route| restricted_to(&["south"], route))
            .await;
        let partial = bed.get("1", "/half/x").await;
        assert_eq!(partial.status, StatusCode::OK);
        assert_eq!(partial.header("sablehaven-missing-parts"), Some("1"));
        assert_eq!(bed.arrivals("near-only"), 0);
        // A query that cannot be answered is not started, so the shard that has a server gets no request either.
        let arrivals_before = bed.arrivals("both");
        assert_unavailable(&bed.get("2", "/all/x").await);
        assert_eq!(bed.arrivals("both"), arrivals_before);
    });
}
