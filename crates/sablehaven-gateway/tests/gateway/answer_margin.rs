//! Tests of the time at which a query is answered by a gateway whose thread is stalled at times, as on a machine
//! with a fraction of a core.

use std::time::{Duration, Instant};

use hyper::StatusCode;
use sablehaven_standins::routed::Behaviour;
use tokio::time::sleep;

use crate::support::routes::{gather_route, record};
use crate::support::{TestBed, run_test};

const SHARDS: [&str; 4] = ["s0", "s1", "s2", "s3"];
/// Latency target of the route. One of its shards never answers, so a query is answered shortly before
/// the target.
const LATENCY_TARGET: Duration = Duration::from_millis(400);
/// The configured minimum of the answer margin.
const MIN_MARGIN: Duration = Duration::from_millis(20);
/// Duration of one stall. It is a multiple of the delays that a busy machine adds by itself.
const STALL: Duration = Duration::from_millis(100);

async fn start_test_bed(max_margin: Duration) -> TestBed {
    let mut bed = TestBed::with(|config| {
        config.answer_margin_ms = MIN_MARGIN.as_millis() as u64;
        config.max_answer_margin_ms = max_margin.as_millis() as u64;
    })
    .await;
    for shard in SHARDS {
        let behaviour = Behaviour::answer(record(1));
        bed.add_servers(shard, &[behaviour.clone(), behaviour])
            .await;
    }
    bed.apply_routes(1, vec![gather_route("/g/", &SHARDS, 0.7)])
        .await;
    for server in &bed.servers["s2"] {
        server.set(Behaviour::Silent);
    }
    bed
}

/// Blocks the gateway's thread repeatedly.
async fn stall_repeatedly() {
    loop {
        std::thread::sleep(STALL);
        sleep(Duration::from_millis(5)).await;
    }
}

/// Sends a query and returns how long it takes. The response must be partial.
async fn time_query(bed: &TestBed) -> Duration {
    time_query_with_headers(bed, &[]).await
}

async fn time_query_with_headers(bed: &TestBed, headers: &[(&str, &str)]) -> Duration {
    let started = Instant::now();
    let response = bed.send("1", "GET", "/g/x", headers, "").await;
    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(response.header("sablehaven-missing-parts"), Some("1"));
    started.elapsed()
}

/// Returns how long a query takes on an unblocked thread, after two queries on a stalled one.
async fn time_query_after_stalls(bed: &TestBed) -> Duration {
    let stalling = tokio::task::spawn_local(stall_repeatedly());
    time_query(bed).await;
    time_query(bed).await;
    stalling.abort();
    time_query(bed).await
}

#[test]
fn the_margin_grows_after_stalls_and_shrinks_again_without_them() {
    run_test(async {
        let bed = start_test_bed(Duration::from_millis(200)).await;
        let after_stalls = time_query_after_stalls(&bed).await;
        assert!(
            after_stalls < LATENCY_TARGET - MIN_MARGIN - STALL / 2,
            "{after_stalls:?}"
        );
        // Measured delays count for 3 s.
        sleep(Duration::from_secs(4)).await;
        let after_pause = time_query(&bed).await;
        assert!(
            after_pause > LATENCY_TARGET - MIN_MARGIN - STALL / 2,
            "{after_pause:?}"
        );
    });
}

#[test]
fn the_margin_stays_fixed_after_stalls_if_its_maximum_is_the_minimum() {
    run_test(async {
        let bed = start_test_bed(MIN_MARGIN).await;
        let after_stalls = time_query_after_stalls(&bed).await;
        assert!(
            after_stalls >= LATENCY_TARGET - MIN_MARGIN,
            "{after_stalls:?}"
        );
    });
}

#[test]
fn time_that_a_caller_spent_earlier_is_deducted_from_the_latency_target() {
    run_test(async {
        let bed = start_test_bed(Duration::from_millis(200)).await;
        let on_time = time_query_with_headers(&bed, &[("sablehaven-deadline-ms", "3000")]).await;
        assert!(on_time > LATENCY_TARGET - MIN_MARGIN * 2, "{on_time:?}");
        // The caller has spent 50 ms of its 3,000 ms.
        let delayed = time_query_with_headers(&bed, &[("sablehaven-deadline-ms", "2950")]).await;
        assert!(delayed < LATENCY_TARGET - MIN_MARGIN * 3 / 2, "{delayed:?}");
    });
}
