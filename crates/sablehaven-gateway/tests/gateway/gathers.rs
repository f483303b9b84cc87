//! Tests of queries over shards that get a complete, a partial or no result. The response always reports the missing
//! parts correctly.

use std::time::Duration;

use hyper::StatusCode;
use sablehaven_standins::routed::Behaviour;

use crate::support::routes::{gather_route, record};
use crate::support::{Response, TestBed, run_test, wait_until};

fn missing_parts(response: &Response) -> usize {
    let text = response
        .header("sablehaven-missing-parts")
        .expect("the number of missing parts");
    text.parse().expect("a number")
}

fn part_stamps(response: &Response) -> Vec<String> {
    let text = response
        .header("sablehaven-part-stamps")
        .expect("the stamps of the parts");
    text.split(',')
        .map(|stamp| stamp.trim().to_owned())
        .collect()
}

fn answer_with_records(values: &[u8]) -> Behaviour {
    Behaviour::answer(
        values
            .iter()
            .flat_map(|value| record(*value))
            .collect::<Vec<u8>>(),
    )
}

const SHARDS: [&str; 4] = ["s0", "s1", "s2", "s3"];

/// Starts four shards, each with two servers that give the same answer.
async fn start_test_bed(min_coverage: f64) -> TestBed {
    add_shards(TestBed::new().await, min_coverage).await
}

/// Like [`start_test_bed`], but without slack, so that no extra attempt is allowed until many requests have arrived.
async fn start_test_bed_without_slack(min_coverage: f64) -> TestBed {
    let bed = TestBed::with(|config| config.retries.slack = 0.0).await;
    add_shards(bed, min_coverage).await
}

async fn add_shards(mut bed: TestBed, min_coverage: f64) -> TestBed {
    for (position, shard) in SHARDS.iter().enumerate() {
        let behaviour = answer_with_records(&[position as u8, 10 + position as u8]);
        bed.add_servers(shard, &[behaviour.clone(), behaviour])
            .await;
    }
    bed.apply_routes(1, vec![gather_route("/g/", &SHARDS, min_coverage)])
        .await;
    bed
}

#[test]
fn a_complete_result_has_the_greatest_records_of_one_server_per_shard() {
    run_test(async {
        let bed = start_test_bed(0.9).await;
        let response = bed.get("1", "/g/x").await;
        assert_eq!(response.status, StatusCode::OK);
        let expected = [record(13), record(12), record(11)].concat();
        assert_eq!(response.body[..], expected[..]);
        assert_eq!(missing_parts(&response), 0);
        let mut shards: Vec<String> = part_stamps(&response)
            .iter()
            .map(|stamp| stamp[..2].to_owned())
            .collect();
        shards.sort();
        assert_eq!(shards, SHARDS);
        for shard in SHARDS {
            let seen: Vec<_> = bed.servers[shard]
                .iter()
                .flat_map(|server| server.seen())
                .collect();
            assert!(
                seen.iter()
                    .all(|request| request.header("sablehaven-request-id") == Some("1"))
            );
        }
    });
}

#[test]
fn a_shard_whose_servers_reset_connections_is_counted_as_missing() {
    run_test(async {
        let bed = start_test_bed(0.7).await;
        for server in &bed.servers["s3"] {
            server.set(Behaviour::Reset);
        }
        let response = bed.get("1", "/g/x").await;
        assert_eq!(response.status, StatusCode::OK);
        assert_eq!(missing_parts(&response), 1);
        assert_eq!(part_stamps(&response).len(), 3);
        let expected = [record(12), record(11), record(10)].concat();
        assert_eq!(response.body[..], expected[..]);
    });
}

#[test]
fn an_error_response_of_a_server_does_not_count_as_a_part() {
    run_test(async {
        let bed = start_test_bed(0.7).await;
        for server in &bed.servers["s1"] {
            server.set(Behaviour::Fail);
        }
        let response = bed.get("1", "/g/x").await;
        assert_eq!(response.status, StatusCode::OK);
        assert_eq!(missing_parts(&response), 1);
        assert!(
            part_stamps(&response)
                .iter()
                .all(|stamp| !stamp.starts_with("s1"))
        );
    });
}

#[test]
fn a_query_fails_when_too_few_shards_answer() {
    run_test(async {
        let bed = start_test_bed(0.9).await;
        for server in &bed.servers["s3"] {
            server.set(Behaviour::Reset);
        }
        let response = bed.get("1", "/g/x").await;
        assert_eq!(response.status, StatusCode::BAD_GATEWAY);
        assert!(response.header("sablehaven-part-stamps").is_none());
        // A query that cannot succeed any more is answered at once, not shortly before the deadline.
        assert!(
            response.elapsed < Duration::from_secs(2),
            "{:?}",
            response.elapsed
        );
    });
}

#[test]
fn a_query_is_answered_before_its_latency_target_with_the_parts_that_have_arrived() {
    run_test(async {
        let bed = start_test_bed(0.7).await;
        for server in &bed.servers["s2"] {
            server.set(Behaviour::Silent);
        }
        let response = bed.get("1", "/g/x").await;
        assert_eq!(response.status, StatusCode::OK);
        assert_eq!(missing_parts(&response), 1);
        assert!(
            response.elapsed >= Duration::from_millis(300),
            "{:?}",
            response.elapsed
        );
    });
}

#[test]
fn open_attempts_are_cancelled_when_the_query_is_answered() {
    run_test(async {
        let bed = start_test_bed(0.7).await;
        let slow = Behaviour::after(Duration::from_secs(5), record(1));
        for server in &bed.servers["s2"] {
            server.set(slow.clone());
        }
        let response = bed.get("1", "/g/x").await;
        assert_eq!(missing_parts(&response), 1);
        let all_abandoned = || {
            let servers = &bed.servers["s2"];
            let received: usize = servers.iter().map(|server| server.seen().len()).sum();
            let abandoned: u64 = servers.iter().map(|server| server.abandoned()).sum();
            abandoned == received as u64
        };
        wait_until("the attempts are cancelled", all_abandoned).await;
    });
}

#[test]
fn an_attempt_at_a_stalled_server_is_hedged() {
    run_test(async {
        let bed = start_test_bed(1.0).await;
        bed.server("s2", 0).set(Behaviour::Silent);
        let response = bed.get("1", "/g/x").await;
        assert_eq!(response.status, StatusCode::OK);
        assert_eq!(missing_parts(&response), 0);
        assert_eq!(bed.server("s2", 1).seen().len(), 1);
    });
}

#[test]
fn a_lost_part_that_the_query_needs_is_retried() {
    run_test(async {
        let bed = start_test_bed(1.0).await;
        bed.server("s2", 0).set(Behaviour::Reset);
        for number in 0..4 {
            let response = bed.get(&format!("{number}"), "/g/x").await;
            assert_eq!(response.status, StatusCode::OK);
            assert_eq!(missing_parts(&response), 0);
        }
    });
}

#[test]
fn a_query_that_cannot_reach_its_coverage_fails_at_once_with_an_unknown_outcome() {
    run_test(async {
        let bed = start_test_bed_without_slack(1.0).await;
        for server in 0..2 {
            bed.server("s2", server).set(Behaviour::Reset);
            let slow = Behaviour::after(Duration::from_millis(250), record(1));
            bed.server("s0", server).set(slow);
        }
        let response = bed.get("1", "/g/x").await;
        assert_eq!(response.status, StatusCode::BAD_GATEWAY);
        assert!(
            response.elapsed < Duration::from_millis(200),
            "{response:?}"
        );
    });
}

#[test]
fn a_lost_part_that_the_query_does_not_need_is_left_out_once_all_others_have_arrived() {
    run_test(async {
        let bed = start_test_bed_without_slack(0.75).await;
        for server in 0..2 {
            bed.server("s2", server).set(Behaviour::Reset);
        }
        let response = bed.get("1", "/g/x").await;
        assert_eq!(response.status, StatusCode::OK);
        assert_eq!(missing_parts(&response), 1);
        assert!(
            response.elapsed < Duration::from_millis(200),
            "{response:?}"
        );
    });
}

#[test]
fn a_query_uses_the_shards_of_the_routes_version_at_its_arrival() {
    run_test(async {
        let mut bed = start_test_bed(1.0).await;
        for shard in ["t0", "t1"] {
            bed.add_servers(shard, &[answer_with_records(&[200])]).await;
        }
        let slow = Behaviour::after(Duration::from_millis(250), record(1));
        bed.server("s0", 0).set(slow.clone());
        bed.server("s0", 1).set(slow);
        let request = bed.get("1", "/g/x");
        let address = bed.address;
        let other_request = async {
            tokio::time::sleep(Duration::from_millis(80)).await;
            crate::support::send_request(address, Some("other"), "GET", "/none", &[], "").await
        };
        let (response, _) = tokio::join!(request, other_request);
        assert_eq!(response.status, StatusCode::OK);
        let first = part_stamps(&response);
        assert!(
            first.iter().all(|stamp| stamp.starts_with('s')),
            "{first:?}"
        );
        bed.apply_routes(2, vec![gather_route("/g/", &["t0", "t1"], 1.0)])
            .await;
        let second = part_stamps(&bed.get("2", "/g/x").await);
        assert!(
            second.iter().all(|stamp| stamp.starts_with('t')),
            "{second:?}"
        );
    });
}
