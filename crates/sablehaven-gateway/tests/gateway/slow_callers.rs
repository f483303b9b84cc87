//! Tests of callers that take their answers or send their requests too slowly.

use sablehaven_standins::routed::Behaviour;
use sablehaven_types::RequestKind;

use crate::support::raw_caller::{RawCaller, has_status, request_head};
use crate::support::routes::service_route;
use crate::support::{TestBed, run_test, wait_until};

/// Receive buffer of a caller that takes little of its answer, in bytes.
const SMALL_BUFFER_BYTES: u32 = 4 * 1024;
/// Size of an answer that no buffer of the system holds, in bytes.
const LONG_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Number of connections of callers that are open at the gateway.
fn open_connections(bed: &TestBed) -> usize {
    let gateway = bed.gateway.as_ref().expect("a gateway");
    gateway.metrics().clients().usage().connections
}

#[test]
fn a_caller_that_takes_nothing_of_its_answer_is_disconnected() {
    run_test(async {
        let mut bed = TestBed::new().await;
        bed.caller_limits.idle_timeout_ms = 300;
        let long_answer = Behaviour::answer(vec![b'a'; LONG_ANSWER_BYTES]);
        bed.add_servers("long", &[long_answer]).await;
        let route = service_route("/l/", RequestKind::Safe, "long");
        bed.apply_routes(1, vec![route]).await;
        let size = SMALL_BUFFER_BYTES;
        let mut caller = RawCaller::connect_with_receive_buffer(bed.address, size).await;
        caller.send(&request_head("GET", "/l/x", &[])).await;
        wait_until("the request reaches the server", || {
            bed.arrivals("long") == 1
        })
        .await;
        wait_until("the caller is disconnected", || open_connections(&bed) == 0).await;
    });
}

/// The gateway reads a body before it sends the request, so whoever does not finish in time can be told that it has not
/// run.
#[test]
fn a_body_that_is_not_complete_in_time_is_refused_as_not_run() {
    run_test(async {
        let mut bed = TestBed::new().await;
        bed.add_servers("one", &[Behaviour::answer("whole")]).await;
        let route = service_route("/o/", RequestKind::NonIdempotent, "one");
        bed.apply_routes(1, vec![route]).await;
        for framing in ["content-length: 10", "transfer-encoding: chunked"] {
            let mut caller = RawCaller::connect(bed.address).await;
            let headers = ["sablehaven-deadline-ms: 300", framing];
            caller.send(&request_head("POST", "/o/x", &headers)).await;
            caller.send("2\r\nbb\r\n").await;
            let response = caller.receive().await;
            assert!(has_status(&response, 408), "{framing}: {response}");
        }
        assert_eq!(bed.arrivals("one"), 0);
    });
}
