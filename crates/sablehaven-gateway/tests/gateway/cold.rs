//! Tests that a gateway keeps to the request rate limit of cold servers. The first server of each service is in
//! zone `a`, the others are in `b`.

use std::time::Instant;

use hyper::StatusCode;
use sablehaven_standins::routed::Behaviour;
use sablehaven_types::RequestKind;

use crate::support::routes::service_route;
use crate::support::{TestBed, run_test};

/// Request rate limit of a cold server. The number of requests that a test allows grows at this rate.
const COLD_REQUESTS_PER_SECOND: f64 = 2.0;

async fn start_test_bed(bodies: &[&str]) -> TestBed {
    let mut bed = TestBed::new().await;
    bed.warmup_per_second = COLD_REQUESTS_PER_SECOND;
    let servers: Vec<Behaviour> = bodies.iter().copied().map(Behaviour::answer).collect();
    bed.add_servers("search", &servers).await;
    bed.apply_routes(1, vec![service_route("/q/", RequestKind::Safe, "search")])
        .await;
    bed
}

/// Maximum number of requests that the cold server may have received since `started`.
fn max_requests(started: Instant) -> usize {
    (started.elapsed().as_secs_f64() * COLD_REQUESTS_PER_SECOND).ceil() as usize + 1
}

#[test]
fn requests_beyond_the_limit_of_a_cold_server_go_to_the_others() {
    run_test(async {
        let mut bed = start_test_bed(&["near", "far"]).await;
        assert_eq!(&bed.get("warm", "/q/x").await.body[..], b"near");
        let before = bed.server("search", 0).seen().len();
        // A server can become cold again without a restart.
        bed.set_cold("search-0");
        bed.wait_until_applied(1).await;
        let started = Instant::now();
        for number in 0..30 {
            let response = bed.get(&format!("cold-{number}"), "/q/x").await;
            assert_eq!(response.status, StatusCode::OK);
        }
        let received = bed.server("search", 0).seen().len() - before;
        assert!(received <= max_requests(started), "{received} requests");
    });
}

#[test]
fn servers_count_as_cold_when_the_evacuation_of_their_zone_ends() {
    run_test(async {
        let bed = start_test_bed(&["near"]).await;
        bed.evacuate(5, &["a"]).await;
        bed.evacuate(6, &[]).await;
        let started = Instant::now();
        let mut refused = 0;
        for number in 0..30 {
            let response = bed.get(&format!("{number}"), "/q/x").await;
            refused += usize::from(response.status == StatusCode::SERVICE_UNAVAILABLE);
        }
        let received = bed.arrivals("search");
        assert!(received <= max_requests(started), "{received} requests");
        assert_eq!(refused + received, 30);
    });
}
