//! Requests that may not be repeated: at most one run, and true refusals.

use hyper::StatusCode;
use sablehaven_standins::routed::Behaviour;
use sablehaven_types::RequestKind;

use crate::support::routes::single;
use crate::support::{Bed, run};

async fn bed(first: Behaviour, second: Behaviour) -> Bed {
    let mut bed = Bed::new().await;
    bed.serve("sync", &[first, second]).await;
    bed.route(1, vec![single("/s/", RequestKind::NonIdempotent, "sync")])
        .await;
    bed
}

#[test]
fn a_request_that_may_have_run_is_not_sent_again_and_gets_no_promise() {
    let unclear = [
        Behaviour::Reset,
        Behaviour::Close,
        Behaviour::CutOff,
        Behaviour::Garbage,
        Behaviour::UnframedReset,
        Behaviour::OtherRequest,
        Behaviour::Unsigned,
        Behaviour::Encoded,
    ];
    for behaviour in unclear {
        run(async move {
            let bed = bed(behaviour.clone(), behaviour.clone()).await;
            let answer = bed.send("1", "POST", "/s/x", &[], "grades").await;
            assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{behaviour:?}");
            assert_eq!(bed.arrivals("sync"), 1, "{behaviour:?}");
        });
    }
}

#[test]
fn a_request_that_a_server_turned_away_goes_to_another_one() {
    for turned_away in [Behaviour::Shed, Behaviour::Misdirected] {
        run(async move {
            let bed = bed(turned_away, Behaviour::answer("done")).await;
            let answer = bed.send("1", "POST", "/s/x", &[], "grades").await;
            assert_eq!(answer.status, StatusCode::OK);
            assert_eq!(&answer.body[..], b"done");
        });
    }
}

#[test]
fn a_request_that_all_servers_turned_away_is_refused_with_when_to_come_back() {
    run(async {
        let bed = bed(Behaviour::Shed, Behaviour::Shed).await;
        let answer = bed.send("1", "POST", "/s/x", &[], "grades").await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        let pause: f64 = answer
            .header("retry-after")
            .and_then(|text| text.parse().ok())
            .expect("when to come back");
        assert!(pause > 0.0);
    });
}

#[test]
fn a_server_s_own_503_promises_nothing_and_is_handed_back() {
    run(async {
        let bed = bed(Behaviour::Unavailable, Behaviour::answer("done")).await;
        let answer = bed.send("1", "POST", "/s/x", &[], "grades").await;
        // The server's answer has no word that it did not run the request, so the gateway may
        // neither send it again nor promise by its own 503 that it never ran.
        assert_eq!(bed.arrivals("sync"), 1);
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    });
}

#[test]
fn a_silent_server_is_not_hedged() {
    run(async {
        let bed = bed(Behaviour::Silent, Behaviour::answer("done")).await;
        let headers = [("sablehaven-deadline-ms", "600")];
        let answer = bed.send("1", "POST", "/s/x", &headers, "grades").await;
        assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
        assert_eq!(bed.arrivals("sync"), 1);
    });
}
