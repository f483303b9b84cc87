//! When a query is answered on a gateway that the processor is taken from.

use std::time::{Duration, Instant};

use hyper::StatusCode;
use sablehaven_standins::routed::Behaviour;
use tokio::time::sleep;

use crate::support::routes::{gather, record};
use crate::support::{Bed, run};

const SHARDS: [&str; 4] = ["s0", "s1", "s2", "s3"];
/// Aim of the route, in which one shard never answers.
const AIM: Duration = Duration::from_millis(400);
/// The configured margin.
const MARGIN: Duration = Duration::from_millis(20);
/// What one hold-up takes: a multiple of what a busy machine adds by itself.
const HOLD_UP: Duration = Duration::from_millis(100);

async fn bed(most: Duration) -> Bed {
    let mut bed = Bed::with(|config| {
        config.answer_margin_ms = MARGIN.as_millis() as u64;
        config.max_answer_margin_ms = most.as_millis() as u64;
    })
    .await;
    for shard in SHARDS {
        let answer = Behaviour::answer(record(1));
        bed.serve(shard, &[answer.clone(), answer]).await;
    }
    bed.route(1, vec![gather("/g/", &SHARDS, 0.7)]).await;
    for server in &bed.servers["s2"] {
        server.set(Behaviour::Silent);
    }
    bed
}

/// Takes the gateway's thread away again and again.
async fn hold_up() {
    loop {
        std::thread::sleep(HOLD_UP);
        sleep(Duration::from_millis(5)).await;
    }
}

/// What a query takes, which is partial.
async fn query(bed: &Bed) -> Duration {
    query_with(bed, &[]).await
}

async fn query_with(bed: &Bed, headers: &[(&str, &str)]) -> Duration {
    let asked = Instant::now();
    let answer = bed.send("1", "GET", "/g/x", headers, "").await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.header("sablehaven-missing-parts"), Some("1"));
    asked.elapsed()
}

/// What a query takes on a free thread after two on one that was held up.
async fn query_after_hold_ups(bed: &Bed) -> Duration {
    let holding = tokio::task::spawn_local(hold_up());
    query(bed).await;
    query(bed).await;
    holding.abort();
    query(bed).await
}

#[test]
fn a_gateway_that_was_held_up_answers_sooner_and_an_idle_one_waits_again() {
    run(async {
        let bed = bed(Duration::from_millis(200)).await;
        let after = query_after_hold_ups(&bed).await;
        assert!(after < AIM - MARGIN - HOLD_UP / 2, "{after:?}");
        // Longer than any figure counts.
        sleep(Duration::from_secs(4)).await;
        let idle = query(&bed).await;
        assert!(idle > AIM - MARGIN - HOLD_UP / 2, "{idle:?}");
    });
}

#[test]
fn without_the_setting_a_gateway_that_was_held_up_waits_as_before() {
    run(async {
        let bed = bed(MARGIN).await;
        let after = query_after_hold_ups(&bed).await;
        assert!(after >= AIM - MARGIN, "{after:?}");
    });
}

#[test]
fn a_caller_that_spent_some_of_its_aim_before_is_answered_sooner() {
    run(async {
        let bed = bed(Duration::from_millis(200)).await;
        let whole = query_with(&bed, &[("sablehaven-deadline-ms", "3000")]).await;
        assert!(whole > AIM - MARGIN * 2, "{whole:?}");
        // 50 ms of its time are over.
        let spent = query_with(&bed, &[("sablehaven-deadline-ms", "2950")]).await;
        assert!(spent < AIM - MARGIN * 3 / 2, "{spent:?}");
    });
}
