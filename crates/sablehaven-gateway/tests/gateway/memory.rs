//! Tests of a gateway that has no memory left for the bodies of its callers.

use hyper::StatusCode;
use sablehaven_http::{ClientLimits, ClientSettings, MachineLimits};
use sablehaven_standins::routed::Behaviour;
use sablehaven_types::RequestKind;

use crate::support::routes::service_route;
use crate::support::{TestBed, run_test};

/// Memory for bodies, in bytes.
const BODY_BYTES: usize = 64 * 1024;

/// Settings of a gateway that holds few bytes of bodies.
fn small_bodies() -> ClientSettings {
    let machine = MachineLimits::detect();
    ClientLimits {
        body_bytes: BODY_BYTES,
        ..ClientLimits::for_machine(machine)
    }
    .into()
}

/// The lack of memory is no fault of the server, and another server's reply would not fit either.
#[test]
fn a_reply_without_memory_for_it_is_not_asked_for_at_another_server() {
    run_test(async {
        let mut bed = TestBed::with(|config| config.clients = small_bodies()).await;
        let long = Behaviour::answer(vec![b'a'; 2 * BODY_BYTES]);
        bed.add_servers("long", &[long.clone(), long]).await;
        let route = service_route("/l/", RequestKind::Safe, "long");
        bed.apply_routes(1, vec![route]).await;
        let response = bed.get("1", "/l/x").await;
        assert_eq!(response.status, StatusCode::BAD_GATEWAY);
        assert_eq!(bed.arrivals("long"), 1);
    });
}

#[test]
fn a_request_without_memory_for_its_body_is_refused_as_not_run() {
    run_test(async {
        let mut bed = TestBed::with(|config| config.clients = small_bodies()).await;
        bed.caller_limits.max_body_bytes = 4 * BODY_BYTES;
        bed.add_servers("one", &[Behaviour::answer("whole")]).await;
        let route = service_route("/o/", RequestKind::NonIdempotent, "one");
        bed.apply_routes(1, vec![route]).await;
        let body = "b".repeat(2 * BODY_BYTES);
        let response = bed.send("1", "POST", "/o/x", &[], &body).await;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(response.header("retry-after").is_some());
        assert_eq!(bed.arrivals("one"), 0);
        let response = bed.send("2", "POST", "/o/x", &[], "small").await;
        assert_eq!(response.status, StatusCode::OK);
    });
}
