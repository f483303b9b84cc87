//! Tests with a request that crashes every server that runs it.
//!
//! They guard against this failure: all servers of a service crash within half a second without high load, and again
//! each time they have restarted. Every query over the service's shards fails in the meantime.
//!
//! A query is sent to one server of each shard, and each of them crashes while running it. The gateway treats the
//! lost connections as server failures and retries at the next server of each shard, which crashes too. Some seconds
//! later the same query arrives again, at any gateway, and crashes the servers that have restarted. The cause was
//! that a request that crashes servers was not distinguished from one whose server failed: it was retried like any
//! other, and nothing about it was remembered.
//!
//! Evidence: one request crashed 90 servers in three waves of 30, at ten shards with three servers each. Before the
//! first wave no extra attempt had been refused for lack of budget (`unaffordable` was 0), and the servers of the later
//! waves had just started.

use std::time::Duration;

use hyper::StatusCode;
use sablehaven_standins::routed::Behaviour;
use sablehaven_types::RequestKind;

use crate::support::routes::{gather_route, record, service_route};
use crate::support::{TestBed, run_test};

const SHARDS: [&str; 4] = ["s0", "s1", "s2", "s3"];
const SERVERS_PER_SHARD: usize = 3;
/// Maximum number of crashes before a request is quarantined: one per shard, and two that confirm that the request is
/// the cause.
const MAX_CRASHES: usize = SHARDS.len() + 2;
const CRASHING_PATH: &str = "/g/deadly";
/// Time for which a server works on the request before it crashes.
const CRASH_DELAY: Duration = Duration::from_millis(10);

/// Starts shards whose servers crash when they run [`CRASHING_PATH`] and answer all other requests.
async fn start_test_bed() -> TestBed {
    let mut bed = TestBed::new().await;
    for shard in SHARDS {
        let behaviours = vec![Behaviour::answer(record(1)); SERVERS_PER_SHARD];
        bed.add_servers(shard, &behaviours).await;
        for server in &bed.servers[shard] {
            server.crash_on(CRASHING_PATH, CRASH_DELAY);
        }
    }
    bed.apply_routes(1, vec![gather_route("/g/", &SHARDS, 1.0)])
        .await;
    bed
}

fn crash_count(bed: &TestBed) -> usize {
    let servers = bed.servers.values().flatten();
    servers.filter(|server| server.has_crashed()).count()
}

fn arrival_count(bed: &TestBed) -> usize {
    let shards = SHARDS.iter();
    shards.map(|shard| bed.arrivals(shard)).sum()
}

#[test]
fn a_request_that_crashes_servers_leaves_most_of_them_running() {
    run_test(async {
        let bed = start_test_bed().await;
        let response = bed.get("1", CRASHING_PATH).await;
        assert_eq!(response.status, StatusCode::BAD_GATEWAY);
        assert!(
            crash_count(&bed) <= MAX_CRASHES,
            "{} crashed",
            crash_count(&bed)
        );
        let other = bed.get("2", "/g/other").await;
        assert_eq!(other.status, StatusCode::OK);
    });
}

#[test]
fn a_repeated_request_that_crashed_servers_reaches_at_most_two_more() {
    run_test(async {
        let bed = start_test_bed().await;
        bed.get("1", CRASHING_PATH).await;
        let before = arrival_count(&bed);
        for id in ["2", "3", "4"] {
            let response = bed.get(id, CRASHING_PATH).await;
            assert!(!response.status.is_success());
        }
        assert!(
            arrival_count(&bed) <= before + 2,
            "{before}, {}",
            arrival_count(&bed)
        );
        let refused = bed.get("5", CRASHING_PATH).await;
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
        let retry_after = refused.header("retry-after").expect("a Retry-After header");
        assert!(
            retry_after.parse::<f64>().expect("seconds") > 30.0,
            "{retry_after}"
        );
        let other = bed.get("6", "/g/other").await;
        assert_eq!(other.status, StatusCode::OK);
    });
}

#[test]
fn a_crashing_request_to_one_service_is_quarantined_whether_or_not_it_is_idempotent() {
    // Three lost attempts make the request suspect, and two trials confirm that it is the cause.
    const MAX_SERVICE_CRASHES: usize = 5;
    for (kind, method) in [
        (RequestKind::Safe, "GET"),
        (RequestKind::NonIdempotent, "POST"),
    ] {
        run_test(async move {
            let mut bed = TestBed::new().await;
            bed.add_servers("sync", &vec![Behaviour::answer("done"); 8])
                .await;
            for server in &bed.servers["sync"] {
                server.crash_on("/s/deadly", CRASH_DELAY);
            }
            bed.apply_routes(1, vec![service_route("/s/", kind, "sync")])
                .await;
            for id in 0..8 {
                let id = id.to_string();
                bed.send(&id, method, "/s/deadly", &[], "body").await;
            }
            assert!(
                crash_count(&bed) <= MAX_SERVICE_CRASHES,
                "{kind:?}: {} crashed",
                crash_count(&bed)
            );
            let refused = bed.send("9", method, "/s/deadly", &[], "body").await;
            assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
            let other = bed.send("10", method, "/s/other", &[], "body").await;
            assert_eq!(
                other.status,
                StatusCode::OK,
                "{kind:?} {} {other:?}",
                crash_count(&bed)
            );
        });
    }
}
