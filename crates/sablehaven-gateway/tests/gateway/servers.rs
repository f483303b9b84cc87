//! Tests of draining servers, callers that disconnect, deadlines, the budget of extra attempts, and connections to
//! servers.

use std::time::Duration;

use hyper::StatusCode;
use sablehaven_standins::routed::Behaviour;
use sablehaven_types::RequestKind;
use tokio::time::timeout;

use crate::support::routes::service_route;
use crate::support::{TestBed, run_test, wait_until};

#[test]
fn a_draining_server_gets_no_new_requests_and_finishes_those_it_has() {
    run_test(async {
        let mut bed = TestBed::new().await;
        let slow = Behaviour::after(Duration::from_millis(200), "slow");
        bed.add_servers("search", &[slow, Behaviour::answer("other")])
            .await;
        bed.apply_routes(
            1,
            vec![service_route("/q/", RequestKind::NonIdempotent, "search")],
        )
        .await;
        let (first, ()) = tokio::join!(bed.get("1", "/q/x"), async {
            wait_until("the request reaches the server", || {
                bed.arrivals("search") == 1
            })
            .await;
        });
        assert_eq!(&first.body[..], b"slow");
        bed.set_draining("search-0");
        bed.wait_until_applied(1).await;
        for number in 0..5 {
            let response = bed.get(&format!("later-{number}"), "/q/x").await;
            assert_eq!(&response.body[..], b"other");
        }
        assert_eq!(bed.server("search", 0).seen().len(), 1);
    });
}

#[test]
fn when_the_caller_disconnects_the_attempts_are_cancelled() {
    run_test(async {
        let mut bed = TestBed::new().await;
        let slow = Behaviour::after(Duration::from_secs(20), "late");
        bed.add_servers("search", &[slow.clone(), slow]).await;
        bed.apply_routes(1, vec![service_route("/q/", RequestKind::Safe, "search")])
            .await;
        let result = timeout(Duration::from_millis(150), bed.get("1", "/q/x")).await;
        assert!(result.is_err());
        let all_abandoned = || {
            let servers = &bed.servers["search"];
            let received: u64 = servers
                .iter()
                .map(|server| server.seen().len() as u64)
                .sum();
            let abandoned: u64 = servers.iter().map(|server| server.abandoned()).sum();
            received > 0 && received == abandoned
        };
        wait_until("the attempts are cancelled", all_abandoned).await;
    });
}

#[test]
fn a_request_ends_at_the_timeout_of_its_route() {
    run_test(async {
        let mut bed = TestBed::new().await;
        bed.add_servers("search", &[Behaviour::Silent]).await;
        let mut route = service_route("/q/", RequestKind::Safe, "search");
        route.timeout_ms = 300;
        bed.apply_routes(1, vec![route]).await;
        let response = bed.get("1", "/q/x").await;
        assert_eq!(response.status, StatusCode::GATEWAY_TIMEOUT);
        assert!(
            response.elapsed >= Duration::from_millis(280),
            "{:?}",
            response.elapsed
        );
    });
}

#[test]
fn extra_attempts_stay_within_the_budget() {
    run_test(async {
        let mut bed = TestBed::with(|config| {
            config.retries.slack = 10.0;
            // All requests fail, and none of them may be refused by the throttle.
            config.max_throttled = 0.0;
        })
        .await;
        bed.add_servers("search", &[Behaviour::Reset, Behaviour::Reset])
            .await;
        bed.apply_routes(1, vec![service_route("/q/", RequestKind::Safe, "search")])
            .await;
        for number in 0..60 {
            bed.get(&format!("{number}"), "/q/x").await;
        }
        let extra_attempts = bed.arrivals("search") - 60;
        // A fifth of the 60 requests, plus half of the slack of 10: shares are computed with room for one more gateway.
        assert!(extra_attempts <= 12 + 5, "{extra_attempts} extra attempts");
        assert!(extra_attempts >= 3, "{extra_attempts} extra attempts");
    });
}

#[test]
fn a_gateway_that_is_not_advertised_to_callers_uses_none_of_the_shared_slack() {
    run_test(async {
        let mut bed = TestBed::with(|config| config.max_throttled = 0.0).await;
        bed.add_servers("search", &[Behaviour::Reset, Behaviour::Reset])
            .await;
        bed.set_unadvertised();
        bed.apply_routes(1, vec![service_route("/q/", RequestKind::Safe, "search")])
            .await;
        for number in 0..60 {
            bed.get(&format!("{number}"), "/q/x").await;
        }
        let extra_attempts = bed.arrivals("search") - 60;
        assert!(
            extra_attempts <= 12,
            "{extra_attempts} extra attempts, more than a fifth of 60"
        );
    });
}

#[test]
fn connections_are_reused_for_many_requests() {
    run_test(async {
        let mut bed = TestBed::new().await;
        bed.add_servers("search", &[Behaviour::answer("ok")]).await;
        bed.apply_routes(1, vec![service_route("/q/", RequestKind::Safe, "search")])
            .await;
        for number in 0..30 {
            bed.get(&format!("{number}"), "/q/x").await;
        }
        assert!(bed.server("search", 0).connections() <= 2);
    });
}

#[test]
fn a_near_server_that_fails_quickly_is_not_preferred() {
    run_test(async {
        let mut bed = TestBed::new().await;
        bed.add_servers("search", &[Behaviour::Fail, Behaviour::answer("ok")])
            .await;
        bed.apply_routes(1, vec![service_route("/q/", RequestKind::Safe, "search")])
            .await;
        for number in 0..30 {
            let response = bed.get(&format!("{number}"), "/q/x").await;
            assert_eq!(&response.body[..], b"ok");
        }
        let failed = bed.server("search", 0).seen().len();
        assert!(
            failed < 10,
            "{failed} of 30 requests went to the failing server"
        );
    });
}

#[test]
fn connections_beyond_the_share_of_a_gateway_are_closed_when_gateways_are_added() {
    run_test(async {
        let mut bed = TestBed::new().await;
        let slow = Behaviour::after(Duration::from_millis(100), "ok");
        bed.add_servers("search", &[slow]).await;
        bed.apply_routes(1, vec![service_route("/q/", RequestKind::Safe, "search")])
            .await;
        let bed = &bed;
        let send_six_requests = |round: usize| async move {
            let ids: Vec<String> = (0..6).map(|number| format!("{round}-{number}")).collect();
            let requests = ids.iter().map(|id| bed.get(id, "/q/x"));
            futures::future::join_all(requests).await
        };
        let server = bed.server("search", 0);
        send_six_requests(0).await;
        assert!(server.open_connections() > 2);
        // 64 connections are shared by these 40 gateways and the one more that shares have room for, so each gets one.
        bed.set_gateway_count(40);
        for round in 1..20 {
            let responses = send_six_requests(round).await;
            assert!(responses.iter().all(|response| &response.body[..] == b"ok"));
            if server.open_connections() <= 1 {
                return;
            }
        }
        panic!("{} connections are still open", server.open_connections());
    });
}
