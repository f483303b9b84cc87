//! Tests of callers that take their answers or send their requests too slowly.

use sablehaven_standins::routed::Behaviour;
use sablehaven_types::RequestKind;

use crate::support::raw_caller::{RawCaller, request_head};
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
