//! Tests of non-idempotent requests: each runs at most once, and a response promises that it has not run only
//! if that is true.

use hyper::StatusCode;
use sablehaven_standins::routed::Behaviour;
use sablehaven_types::RequestKind;

use crate::support::routes::service_route;
use crate::support::{TestBed, run_test};

async fn start_test_bed(first: Behaviour, second: Behaviour) -> TestBed {
    let mut bed = TestBed::new().await;
    bed.add_servers("sync", &[first, second]).await;
    bed.apply_routes(
        1,
        vec![service_route("/s/", RequestKind::NonIdempotent, "sync")],
    )
    .await;
    bed
}

#[test]
fn a_request_that_may_have_run_is_not_retried_and_its_outcome_is_unknown() {
    let unclear_replies = [
        Behaviour::Reset,
        Behaviour::Close,
        Behaviour::CutOff,
        Behaviour::Garbage,
        Behaviour::UnframedReset,
        Behaviour::OtherRequest,
        Behaviour::Unsigned,
        Behaviour::Encoded,
    ];
    for behaviour in unclear_replies {
        run_test(async move {
            let bed = start_test_bed(behaviour.clone(), behaviour.clone()).await;
            let response = bed.send("1", "POST", "/s/x", &[], "grades").await;
            assert_eq!(response.status, StatusCode::BAD_GATEWAY, "{behaviour:?}");
            assert_eq!(bed.arrivals("sync"), 1, "{behaviour:?}");
        });
    }
}

#[test]
fn a_request_that_a_server_rejected_without_running_it_goes_to_another_server() {
    for rejection in [Behaviour::Shed, Behaviour::Misdirected] {
        run_test(async move {
            let bed = start_test_bed(rejection, Behaviour::answer("done")).await;
            let response = bed.send("1", "POST", "/s/x", &[], "grades").await;
            assert_eq!(response.status, StatusCode::OK);
            assert_eq!(&response.body[..], b"done");
        });
    }
}

#[test]
fn a_request_that_all_servers_rejected_is_refused_with_a_retry_delay() {
    run_test(async {
        let bed = start_test_bed(Behaviour::Shed, Behaviour::Shed).await;
        let response = bed.send("1", "POST", "/s/x", &[], "grades").await;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        let retry_after_s: f64 = response
            .header("retry-after")
            .and_then(|text| text.parse().ok())
            .expect("a Retry-After header");
        assert!(retry_after_s > 0.0);
    });
}

#[test]
fn a_503_of_a_server_without_a_not_executed_header_leaves_the_outcome_unknown() {
    run_test(async {
        let bed = start_test_bed(Behaviour::Unavailable, Behaviour::answer("done")).await;
        let response = bed.send("1", "POST", "/s/x", &[], "grades").await;
        // The server's response does not say that the request was not executed. So the gateway must neither retry it
        // nor respond with a 503 of its own, which would promise that the request has not run.
        assert_eq!(bed.arrivals("sync"), 1);
        assert_eq!(response.status, StatusCode::BAD_GATEWAY);
    });
}

#[test]
fn an_attempt_at_a_silent_server_is_not_hedged() {
    run_test(async {
        let bed = start_test_bed(Behaviour::Silent, Behaviour::answer("done")).await;
        let headers = [("sablehaven-deadline-ms", "600")];
        let response = bed.send("1", "POST", "/s/x", &headers, "grades").await;
        assert_eq!(response.status, StatusCode::GATEWAY_TIMEOUT);
        assert_eq!(bed.arrivals("sync"), 1);
    });
}
