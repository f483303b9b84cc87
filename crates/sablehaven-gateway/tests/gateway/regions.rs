//! Routes that are bound to regions. The first server of each service is in the gateway's region `north`,
//! the others are in `south`.

use hyper::StatusCode;
use sablehaven_standins::routed::Behaviour;
use sablehaven_types::{RequestKind, Route, RouteTarget, WeightedService};

use crate::support::routes::{gather, single};
use crate::support::{Bed, assert_unservable, run};

fn bound_to(regions: &[&str], route: Route) -> Route {
    Route {
        allowed_regions: regions.iter().map(|region| (*region).into()).collect(),
        ..route
    }
}

#[test]
fn only_servers_of_allowed_regions_are_asked() {
    run(async {
        let mut bed = Bed::new().await;
        let servers = ["near", "far"].map(Behaviour::answer);
        bed.serve("search", &servers).await;
        let route = single("/q/", RequestKind::Safe, "search");
        bed.route(1, vec![bound_to(&["south"], route.clone())])
            .await;
        for number in 0..10 {
            let answer = bed.get(&format!("far-{number}"), "/q/x").await;
            assert_eq!(&answer.body[..], b"far");
        }
        assert_eq!(bed.server("search", 0).seen().len(), 0);
        // The regions change as anything else of a route does.
        bed.route(2, vec![bound_to(&["north"], route)]).await;
        for number in 0..10 {
            let answer = bed.get(&format!("near-{number}"), "/q/x").await;
            assert_eq!(&answer.body[..], b"near");
        }
    });
}

#[test]
fn retries_and_hedges_stay_in_the_allowed_regions() {
    run(async {
        let mut bed = Bed::new().await;
        bed.serve("fails", &[Behaviour::answer("near"), Behaviour::Reset])
            .await;
        bed.serve("slow", &[Behaviour::answer("near"), Behaviour::Silent])
            .await;
        let south = |prefix: &str, service: &str| {
            let mut route = bound_to(&["south"], single(prefix, RequestKind::Safe, service));
            route.timeout_ms = 600;
            route
        };
        bed.route(1, vec![south("/f/", "fails"), south("/s/", "slow")])
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
    run(async {
        let mut bed = Bed::new().await;
        bed.serve("search", &["near", "far"].map(Behaviour::answer))
            .await;
        let split = Route {
            target: RouteTarget::Split(vec![WeightedService {
                service: "search".into(),
                weight: 1.0,
            }]),
            ..single("/split/", RequestKind::NonIdempotent, "search")
        };
        let routes = vec![
            bound_to(&["west"], single("/q/", RequestKind::Safe, "search")),
            bound_to(&["west"], split),
            bound_to(&["west"], gather("/g/", &["search"], 1.0)),
        ];
        bed.route(1, routes).await;
        for (id, path) in [("1", "/q/x"), ("2", "/split/x"), ("3", "/g/x")] {
            assert_unservable(&bed.get(id, path).await);
        }
        assert_eq!(bed.arrivals("search"), 0);
    });
}

#[test]
fn shards_without_a_server_in_an_allowed_region_are_missing() {
    run(async {
        let mut bed = Bed::new().await;
        bed.serve_two_shards(|route| bound_to(&["south"], route))
            .await;
        let half = bed.get("1", "/half/x").await;
        assert_eq!(half.status, StatusCode::OK);
        assert_eq!(half.header("sablehaven-missing-parts"), Some("1"));
        assert_eq!(bed.arrivals("near-only"), 0);
        // What cannot be answered is not begun: the shard that has a server is not asked either.
        let asked = bed.arrivals("both");
        assert_unservable(&bed.get("2", "/all/x").await);
        assert_eq!(bed.arrivals("both"), asked);
    });
}
