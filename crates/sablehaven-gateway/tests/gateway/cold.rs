//! Cold servers get no more than they bear. The first server of each service is in zone `a`, the others are
//! in `b`.

use std::time::Instant;

use hyper::StatusCode;
use sablehaven_standins::routed::Behaviour;
use sablehaven_types::RequestKind;

use crate::support::routes::single;
use crate::support::{Bed, run};

/// Requests a second that a cold server bears in these tests, and what the test allows for its duration.
const BORNE_PER_SECOND: f64 = 2.0;

async fn bed(bodies: &[&str]) -> Bed {
    let mut bed = Bed::new().await;
    bed.warmup_per_second = BORNE_PER_SECOND;
    let servers: Vec<Behaviour> = bodies.iter().copied().map(Behaviour::answer).collect();
    bed.serve("search", &servers).await;
    bed.route(1, vec![single("/q/", RequestKind::Safe, "search")])
        .await;
    bed
}

/// What the server may have got since `started`.
fn allowed(started: Instant) -> usize {
    (started.elapsed().as_secs_f64() * BORNE_PER_SECOND).ceil() as usize + 1
}

#[test]
fn while_a_server_is_cold_the_others_get_what_it_does_not_bear() {
    run(async {
        let mut bed = bed(&["near", "far"]).await;
        assert_eq!(&bed.get("warm", "/q/x").await.body[..], b"near");
        let before = bed.server("search", 0).seen().len();
        // The same start of a server may turn cold again.
        bed.cool("search-0");
        bed.settle(1).await;
        let started = Instant::now();
        for number in 0..30 {
            let answer = bed.get(&format!("cold-{number}"), "/q/x").await;
            assert_eq!(answer.status, StatusCode::OK);
        }
        let got = bed.server("search", 0).seen().len() - before;
        assert!(got <= allowed(started), "{got} requests");
    });
}

#[test]
fn a_server_whose_zone_was_evacuated_counts_as_cold_at_first() {
    run(async {
        let bed = bed(&["near"]).await;
        bed.evacuate(5, &["a"]).await;
        bed.evacuate(6, &[]).await;
        let started = Instant::now();
        let mut refused = 0;
        for number in 0..30 {
            let answer = bed.get(&format!("{number}"), "/q/x").await;
            refused += usize::from(answer.status == StatusCode::SERVICE_UNAVAILABLE);
        }
        let got = bed.arrivals("search");
        assert!(got <= allowed(started), "{got} requests");
        assert_eq!(refused + got, 30);
    });
}
