//! Tests of evacuated zones, whose servers get no new requests. The first server of each service is in zone `a`, the
//! others are in `b`.

use std::time::Duration;

use hyper::StatusCode;
use sablehaven_standins::routed::Behaviour;
use sablehaven_types::{RequestKind, Route};

use crate::support::routes::service_route;
use crate::support::{TestBed, assert_unavailable, run_test, wait_until};

fn safe_route() -> Route {
    service_route("/q/", RequestKind::Safe, "search")
}

#[test]
fn servers_of_an_evacuated_zone_get_no_requests_until_the_evacuation_ends() {
    run_test(async {
        let mut bed = TestBed::new().await;
        bed.add_servers("search", &["near", "far"].map(Behaviour::answer))
            .await;
        bed.apply_routes(1, vec![safe_route()]).await;
        assert_eq!(&bed.get("1", "/q/x").await.body[..], b"near");
        bed.evacuate(5, &["a"]).await;
        for number in 0..10 {
            let response = bed.get(&format!("away-{number}"), "/q/x").await;
            assert_eq!(&response.body[..], b"far");
        }
        // A newer server list does not end the evacuation.
        bed.add_servers("search", &[Behaviour::answer("far")]).await;
        bed.wait_until_applied(1).await;
        assert_eq!(&bed.get("2", "/q/x").await.body[..], b"far");
        assert_eq!(bed.server("search", 0).seen().len(), 1);
        bed.evacuate(9, &["b"]).await;
        assert_eq!(&bed.get("3", "/q/x").await.body[..], b"near");
    });
}

#[test]
fn a_late_evacuation_message_with_an_older_revision_is_ignored() {
    run_test(async {
        let mut bed = TestBed::new().await;
        bed.add_servers("search", &["near", "far"].map(Behaviour::answer))
            .await;
        bed.apply_routes(1, vec![safe_route()]).await;
        bed.evacuate(5, &["a"]).await;
        bed.evacuate(4, &[]).await;
        // Messages on a connection arrive in order, so once these routes are in force, the evacuation message has
        // arrived as well.
        bed.apply_routes(2, vec![safe_route()]).await;
        assert_eq!(&bed.get("1", "/q/x").await.body[..], b"far");
    });
}

#[test]
fn requests_in_flight_finish_and_requests_that_wait_for_a_connection_are_not_sent() {
    run_test(async {
        let mut bed = TestBed::new().await;
        let slow = Behaviour::after(Duration::from_millis(400), "near");
        bed.add_servers("search", &[slow]).await;
        let mut route = service_route("/q/", RequestKind::NonIdempotent, "search");
        route.aim_ms = 2_000;
        bed.apply_routes(1, vec![route]).await;
        // Leaves the gateway one connection to the server, so that the second request waits for it.
        bed.set_gateway_count(1_000);
        bed.apply_routes(
            2,
            vec![service_route("/q/", RequestKind::NonIdempotent, "search")],
        )
        .await;
        let (first, second, ()) = tokio::join!(
            bed.get("1", "/q/x"),
            async {
                wait_until("the first request reaches the server", || {
                    bed.arrivals("search") == 1
                })
                .await;
                bed.get("2", "/q/x").await
            },
            async {
                wait_until("the first request reaches the server", || {
                    bed.arrivals("search") == 1
                })
                .await;
                bed.evacuate(5, &["a"]).await;
            }
        );
        assert_eq!(&first.body[..], b"near");
        assert_eq!(second.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(bed.arrivals("search"), 1);
    });
}

#[test]
fn shards_whose_only_servers_are_evacuated_are_reported_as_missing() {
    run_test(async {
        let mut bed = TestBed::new().await;
        bed.set_up_two_shards(|route| route).await;
        bed.evacuate(5, &["a"]).await;
        let partial = bed.get("1", "/half/x").await;
        assert_eq!(partial.status, StatusCode::OK);
        assert_eq!(partial.header("sablehaven-missing-parts"), Some("1"));
        assert_unavailable(&bed.get("2", "/all/x").await);
        let only = service_route("/one/", RequestKind::Safe, "near-only");
        bed.apply_routes(2, vec![only]).await;
        assert_unavailable(&bed.get("3", "/one/x").await);
        assert_eq!(bed.arrivals("near-only"), 0);
    });
}
