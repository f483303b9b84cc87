//! Tests of the responses that the gateway gives without a server: refusals and errors.

use std::time::Duration;

use hyper::StatusCode;
use sablehaven_standins::routed::Behaviour;
use sablehaven_types::RequestKind;

use crate::support::routes::service_route;
use crate::support::{HEADER_NAMES, TestBed, run_test, send_request};

#[test]
fn without_routes_the_response_is_503_with_a_retry_delay_and_never_404() {
    run_test(async {
        let bed = TestBed::new().await;
        let response = bed.get("1", "/anything").await;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(response.header("retry-after").is_some());
        let ready = send_request(bed.ready_address, None, "GET", "/ready", &[], "").await;
        assert_eq!(ready.status, StatusCode::SERVICE_UNAVAILABLE);
    });
}

#[test]
fn a_resend_waits_for_the_first_routes_and_a_first_try_is_refused_with_a_retry_delay() {
    run_test(async {
        let mut bed = TestBed::new().await;
        let address = bed.address;
        let first_try_headers = [("sablehaven-deadline-ms", "20000")];
        let response = bed.send("1", "GET", "/q/x", &first_try_headers, "").await;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(response.header("retry-after").is_some());
        let resend = async {
            let resend_headers = [("sablehaven-deadline-ms", "19000")];
            send_request(address, Some("1-2"), "GET", "/q/x", &resend_headers, "").await
        };
        let configuration_change = async {
            // Gives the resend time to reach the gateway. If it arrived after the routes, the test would show nothing.
            tokio::time::sleep(Duration::from_millis(300)).await;
            bed.add_servers("search", &[Behaviour::answer("ok")]).await;
            bed.apply_routes(1, vec![service_route("/q/", RequestKind::Safe, "search")])
                .await;
        };
        let (response, ()) = tokio::join!(resend, configuration_change);
        assert_eq!(response.status, StatusCode::OK);
    });
}

#[test]
fn a_resend_that_waited_in_vain_is_refused_with_half_of_its_time_left() {
    run_test(async {
        let bed = TestBed::new().await;
        let first_try_headers = [("sablehaven-deadline-ms", "3000")];
        bed.send("1", "GET", "/q/x", &first_try_headers, "").await;
        let resend_headers = [("sablehaven-deadline-ms", "500")];
        let response = bed.send("1-2", "GET", "/q/x", &resend_headers, "").await;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(response.header("retry-after").is_some());
        let min_wait = Duration::from_millis(200);
        assert!(response.elapsed >= min_wait, "{:?}", response.elapsed);
    });
}

#[test]
fn requests_that_cannot_be_served_get_the_matching_status() {
    run_test(async {
        let mut bed = TestBed::new().await;
        bed.add_servers("search", &[Behaviour::answer("ok")]).await;
        bed.apply_routes(1, vec![service_route("/q/", RequestKind::Safe, "search")])
            .await;
        let ready = send_request(bed.ready_address, None, "GET", "/ready", &[], "").await;
        assert_eq!(ready.status, StatusCode::OK);
        let unknown = bed.get("1", "/other/x").await;
        assert_eq!(unknown.status, StatusCode::NOT_FOUND);
        let without_id = send_request(bed.address, None, "GET", "/q/x", &[], "").await;
        assert_eq!(without_id.status, StatusCode::BAD_REQUEST);
        let large_body = bed.send("2", "POST", "/q/x", &[], &"x".repeat(1_001)).await;
        assert_eq!(large_body.status, StatusCode::PAYLOAD_TOO_LARGE);
        let long = "y".repeat(40_000);
        let large_header = bed.send("3", "GET", "/q/x", &[("x-long", &long)], "").await;
        assert_eq!(
            large_header.status,
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE
        );
        assert_eq!(bed.arrivals("search"), 0);
    });
}

#[test]
fn a_request_for_a_service_without_servers_is_refused_at_once() {
    run_test(async {
        let mut bed = TestBed::new().await;
        bed.add_servers("other", &[Behaviour::answer("ok")]).await;
        bed.apply_routes(1, vec![service_route("/q/", RequestKind::Safe, "search")])
            .await;
        let response = bed.get("1", "/q/x").await;
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(response.header("retry-after").is_some());
    });
}

#[test]
fn requests_beyond_the_maximum_are_refused_at_once() {
    run_test(async {
        let mut bed = TestBed::with(|config| config.max_requests = 2).await;
        bed.add_servers("search", &[Behaviour::Silent]).await;
        bed.apply_routes(1, vec![service_route("/q/", RequestKind::Safe, "search")])
            .await;
        let deadline = [("sablehaven-deadline-ms", "700")];
        let open_request = |id: &'static str| bed.send(id, "GET", "/q/x", &deadline, "");
        let refused = async {
            tokio::time::sleep(Duration::from_millis(150)).await;
            bed.send("3", "GET", "/q/x", &deadline, "").await
        };
        let (first, second, third) = tokio::join!(open_request("1"), open_request("2"), refused);
        assert_eq!(first.status, StatusCode::GATEWAY_TIMEOUT);
        assert_eq!(second.status, StatusCode::GATEWAY_TIMEOUT);
        assert_eq!(third.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(third.header("retry-after").is_some());
    });
}

#[test]
fn routes_of_an_older_version_are_ignored() {
    run_test(async {
        let mut bed = TestBed::new().await;
        bed.add_servers("search", &[Behaviour::answer("new")]).await;
        bed.apply_routes(5, vec![service_route("/q/", RequestKind::Safe, "search")])
            .await;
        bed.set_routes(4, vec![service_route("/old/", RequestKind::Safe, "search")]);
        // The older routes are sent along with this newer list, and the gateway reports the list once it has received
        // it.
        bed.publish_listing();
        bed.wait_until_applied(5).await;
        assert_eq!(bed.get("1", "/q/x").await.status, StatusCode::OK);
        assert_eq!(bed.get("2", "/old/x").await.status, StatusCode::NOT_FOUND);
        assert_eq!(bed.status().map(|status| status.routes_version), Some(5));
    });
}

#[test]
fn while_most_requests_fail_some_are_refused_and_reach_no_server() {
    run_test(async {
        let mut bed = TestBed::new().await;
        bed.add_servers("search", &[Behaviour::Reset]).await;
        bed.apply_routes(1, vec![service_route("/q/", RequestKind::Safe, "search")])
            .await;
        let mut refused = Vec::new();
        for number in 0..100 {
            let id = number.to_string();
            let response = bed.get(&id, "/q/x").await;
            if response.status == StatusCode::SERVICE_UNAVAILABLE {
                assert!(response.header("retry-after").is_some());
                refused.push(id);
            }
        }
        assert!(refused.len() > 20, "{} of 100 were refused", refused.len());
        assert!(refused.len() < 95, "{} of 100 were refused", refused.len());
        let seen = bed.server("search", 0).seen();
        let has_reached = |id: &&String| {
            let reached_ids = seen
                .iter()
                .filter_map(|seen| seen.header(HEADER_NAMES.request_id));
            reached_ids
                .into_iter()
                .any(|reached_id| reached_id == id.as_str())
        };
        assert_eq!(refused.iter().find(has_reached), None);
    });
}

#[test]
fn a_resend_is_not_refused_for_the_failures_of_other_requests() {
    run_test(async {
        let mut bed = TestBed::new().await;
        bed.add_servers("search", &[Behaviour::Reset]).await;
        bed.apply_routes(1, vec![service_route("/q/", RequestKind::Safe, "search")])
            .await;
        let first_try_headers = [("sablehaven-deadline-ms", "3000")];
        let resend_headers = [("sablehaven-deadline-ms", "2500")];
        let mut refused_first_tries = 0;
        let mut refused_resends = 0;
        for number in 0..100 {
            let id = format!("{number}-1");
            let response = bed.send(&id, "GET", "/q/x", &first_try_headers, "").await;
            refused_first_tries += usize::from(response.status == StatusCode::SERVICE_UNAVAILABLE);
            let id = format!("{number}-2");
            let response = bed.send(&id, "GET", "/q/x", &resend_headers, "").await;
            refused_resends += usize::from(response.status == StatusCode::SERVICE_UNAVAILABLE);
        }
        assert!(
            refused_first_tries > 20,
            "{refused_first_tries} of 100 were refused"
        );
        assert_eq!(refused_resends, 0);
    });
}

#[test]
fn a_request_with_any_number_as_its_deadline_is_answered() {
    let digits = "9".repeat(400);
    for deadline in [
        "0",
        "-1",
        "18446744073709551615",
        "18446744073709551616",
        "1e999",
        &digits,
    ] {
        run_test(async move {
            let mut bed = TestBed::new().await;
            bed.add_servers("search", &[Behaviour::answer("ok")]).await;
            let mut route = service_route("/q/", RequestKind::Safe, "search");
            route.timeout_ms = u64::MAX;
            route.aim_ms = u64::MAX;
            bed.apply_routes(1, vec![route]).await;
            let headers = [("sablehaven-deadline-ms", deadline)];
            let response = bed.send("1", "GET", "/q/x", &headers, "").await;
            // No server can answer in time, so the request is refused at once and not run.
            let expected = if deadline == "0" {
                StatusCode::SERVICE_UNAVAILABLE
            } else {
                StatusCode::OK
            };
            assert_eq!(response.status, expected, "{deadline}");
        });
    }
}
