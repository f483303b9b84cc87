//! A planned stop interrupts no request.

use std::time::Duration;

use hyper::StatusCode;
use sablehaven_standins::routed::Behaviour;
use sablehaven_types::RequestKind;
use tokio::time::sleep;

use crate::support::routes::single;
use crate::support::{Bed, call, run, until};

#[test]
fn a_stopping_gateway_answers_what_it_read_and_what_still_comes() {
    run(async {
        let mut bed = Bed::new().await;
        let slow = Behaviour::after(Duration::from_millis(900), "whole");
        bed.serve("slow", &[slow]).await;
        bed.serve("quick", &[Behaviour::answer("quick")]).await;
        let routes = vec![
            single("/s/", RequestKind::NonIdempotent, "slow"),
            single("/q/", RequestKind::Safe, "quick"),
        ];
        bed.route(1, routes).await;
        let gateway = bed.gateway.take().expect("a gateway");
        let asked = bed.get("1", "/s/x");
        let stopping = async {
            until("the request is there", || bed.arrivals("slow") == 1).await;
            gateway.stop().await;
        };
        let meanwhile = async {
            until("the request is there", || bed.arrivals("slow") == 1).await;
            sleep(Duration::from_millis(100)).await;
            let ready = call(bed.ready, None, "GET", "/ready", &[], "").await;
            let late = bed.get("2", "/q/x").await;
            (ready, late)
        };
        let (answer, (), (ready, late)) = tokio::join!(asked, stopping, meanwhile);
        assert_eq!(&answer.body[..], b"whole");
        assert_eq!(answer.header("connection"), Some("close"));
        assert_eq!(ready.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(late.status, StatusCode::OK);
        assert_eq!(late.header("connection"), Some("close"));
        assert_eq!(bed.status().map(|status| status.is_ready), Some(false));
    });
}
