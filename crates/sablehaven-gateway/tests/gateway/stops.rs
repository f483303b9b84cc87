//! Tests that a planned stop interrupts no request.

use std::time::Duration;

use hyper::StatusCode;
use sablehaven_standins::routed::Behaviour;
use sablehaven_types::RequestKind;
use tokio::time::sleep;

use crate::support::routes::service_route;
use crate::support::{TestBed, run_test, send_request, wait_until};

#[test]
fn a_stopping_gateway_answers_open_requests_and_those_that_still_arrive() {
    run_test(async {
        let mut bed = TestBed::new().await;
        let slow = Behaviour::after(Duration::from_millis(900), "whole");
        bed.add_servers("slow", &[slow]).await;
        bed.add_servers("quick", &[Behaviour::answer("quick")])
            .await;
        let routes = vec![
            service_route("/s/", RequestKind::NonIdempotent, "slow"),
            service_route("/q/", RequestKind::Safe, "quick"),
        ];
        bed.apply_routes(1, routes).await;
        let gateway = bed.gateway.take().expect("a gateway");
        let request = bed.get("1", "/s/x");
        let stopping = async {
            wait_until("the request reaches the server", || {
                bed.arrivals("slow") == 1
            })
            .await;
            gateway.stop().await;
        };
        let requests_while_stopping = async {
            wait_until("the request reaches the server", || {
                bed.arrivals("slow") == 1
            })
            .await;
            sleep(Duration::from_millis(100)).await;
            let ready = send_request(bed.ready_address, None, "GET", "/ready", &[], "").await;
            let late = bed.get("2", "/q/x").await;
            (ready, late)
        };
        let (response, (), (ready, late)) =
            tokio::join!(request, stopping, requests_while_stopping);
        assert_eq!(&response.body[..], b"whole");
        assert_eq!(response.header("connection"), Some("close"));
        assert_eq!(ready.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(late.status, StatusCode::OK);
        assert_eq!(late.header("connection"), Some("close"));
        assert_eq!(bed.status().map(|status| status.is_ready), Some(false));
    });
}
