//! A request that ends every server that runs it.
//!
//! Symptom: all servers of a service end within half a second, out of a quiet moment, and again each time they have
//! come back; every query over its shards fails meanwhile.
//!
//! Sequence: a query goes to one server of each shard; each of them ends while it runs the query; the gateway takes the lost
//! connections for failures of servers and sends the query to the next server of each shard, which ends too. Some seconds
//! later the same query comes again, at any gateway, and takes down the servers that have started since.
//!
//! Cause: nothing told a request that takes servers down from one whose server failed: it was retried as any other, and
//! nothing of it was remembered.
//!
//! What settled it: 90 servers ended under one request in three waves of 30, ten shards with three servers each; no
//! extra attempt was short of budget before the first wave (`unaffordable` 0), and the servers of the later waves had just started.

use std::time::Duration;

use hyper::StatusCode;
use sablehaven_standins::routed::Behaviour;
use sablehaven_types::RequestKind;

use crate::support::routes::{gather, record, single};
use crate::support::{Bed, run};

const SHARDS: [&str; 4] = ["s0", "s1", "s2", "s3"];
const SERVERS_OF_EACH: usize = 3;
/// Servers that end before a request is known for it: one of each shard, and two that show that it was the request.
const MOST_CRASHES: usize = SHARDS.len() + 2;
const DEADLY: &str = "/g/deadly";
/// Time for which a server works on the request before it ends.
const WORK: Duration = Duration::from_millis(10);

/// Shards whose servers end when they run [`DEADLY`], and answer everything else.
async fn bed() -> Bed {
    let mut bed = Bed::new().await;
    for shard in SHARDS {
        let answers = vec![Behaviour::answer(record(1)); SERVERS_OF_EACH];
        bed.serve(shard, &answers).await;
        for server in &bed.servers[shard] {
            server.crash_on(DEADLY, WORK);
        }
    }
    bed.route(1, vec![gather("/g/", &SHARDS, 1.0)]).await;
    bed
}

fn crashes(bed: &Bed) -> usize {
    let servers = bed.servers.values().flatten();
    servers.filter(|server| server.has_crashed()).count()
}

fn arrivals(bed: &Bed) -> usize {
    let shards = SHARDS.iter();
    shards.map(|shard| bed.arrivals(shard)).sum()
}

#[test]
fn a_request_that_crashes_servers_leaves_most_of_them_running() {
    run(async {
        let bed = bed().await;
        let answer = bed.get("1", DEADLY).await;
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
        assert!(crashes(&bed) <= MOST_CRASHES, "{} crashed", crashes(&bed));
        let other = bed.get("2", "/g/other").await;
        assert_eq!(other.status, StatusCode::OK);
    });
}

#[test]
fn a_request_that_has_crashed_servers_reaches_next_to_none_when_it_comes_again() {
    run(async {
        let bed = bed().await;
        bed.get("1", DEADLY).await;
        let before = arrivals(&bed);
        for id in ["2", "3", "4"] {
            let answer = bed.get(id, DEADLY).await;
            assert!(!answer.status.is_success());
        }
        assert!(arrivals(&bed) <= before + 2, "{before}, {}", arrivals(&bed));
        let refused = bed.get("5", DEADLY).await;
        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
        let pause = refused.header("retry-after").expect("when to come back");
        assert!(pause.parse::<f64>().expect("seconds") > 30.0, "{pause}");
        let other = bed.get("6", "/g/other").await;
        assert_eq!(other.status, StatusCode::OK);
    });
}

#[test]
fn a_request_to_one_service_is_quarantined_too_whether_or_not_it_may_be_repeated() {
    // Three losses make it suspect, two single attempts show that it is the request.
    const MOST: usize = 5;
    for (kind, method) in [
        (RequestKind::Safe, "GET"),
        (RequestKind::NonIdempotent, "POST"),
    ] {
        run(async move {
            let mut bed = Bed::new().await;
            bed.serve("sync", &vec![Behaviour::answer("done"); 8]).await;
            for server in &bed.servers["sync"] {
                server.crash_on("/s/deadly", WORK);
            }
            bed.route(1, vec![single("/s/", kind, "sync")]).await;
            for id in 0..8 {
                let id = id.to_string();
                bed.send(&id, method, "/s/deadly", &[], "body").await;
            }
            assert!(crashes(&bed) <= MOST, "{kind:?}: {} crashed", crashes(&bed));
            let refused = bed.send("9", method, "/s/deadly", &[], "body").await;
            assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
            let other = bed.send("10", method, "/s/other", &[], "body").await;
            assert_eq!(
                other.status,
                StatusCode::OK,
                "{kind:?} {} {other:?}",
                crashes(&bed)
            );
        });
    }
}
