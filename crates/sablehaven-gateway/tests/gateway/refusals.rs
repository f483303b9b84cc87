//! What the gateway answers by itself.

use std::time::Duration;

use hyper::StatusCode;
use sablehaven_standins::routed::Behaviour;
use sablehaven_types::RequestKind;

use crate::support::routes::single;
use crate::support::{Bed, NAMES, call, run};

#[test]
fn without_routes_the_answer_is_503_with_when_to_come_back_and_never_404() {
    run(async {
        let bed = Bed::new().await;
        let answer = bed.get("1", "/anything").await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(answer.header("retry-after").is_some());
        let ready = call(bed.ready, None, "GET", "/ready", &[], "").await;
        assert_eq!(ready.status, StatusCode::SERVICE_UNAVAILABLE);
    });
}

#[test]
fn a_second_try_waits_for_the_first_routes_and_a_first_one_is_told_when_to_come_back() {
    run(async {
        let mut bed = Bed::new().await;
        let address = bed.address;
        let first_try = [("sablehaven-deadline-ms", "20000")];
        let answer = bed.send("1", "GET", "/q/x", &first_try, "").await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(answer.header("retry-after").is_some());
        let asking = async {
            let second_try = [("sablehaven-deadline-ms", "19000")];
            call(address, Some("1-2"), "GET", "/q/x", &second_try, "").await
        };
        let serving = async {
            // The second try is at the gateway by then; without that the test would show nothing.
            tokio::time::sleep(Duration::from_millis(300)).await;
            bed.serve("search", &[Behaviour::answer("ok")]).await;
            bed.route(1, vec![single("/q/", RequestKind::Safe, "search")])
                .await;
        };
        let (answer, ()) = tokio::join!(asking, serving);
        assert_eq!(answer.status, StatusCode::OK);
    });
}

#[test]
fn a_second_try_that_waited_in_vain_is_refused_with_half_of_its_time_left() {
    run(async {
        let bed = Bed::new().await;
        let first_try = [("sablehaven-deadline-ms", "3000")];
        bed.send("1", "GET", "/q/x", &first_try, "").await;
        let second_try = [("sablehaven-deadline-ms", "500")];
        let answer = bed.send("1-2", "GET", "/q/x", &second_try, "").await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(answer.header("retry-after").is_some());
        let waited = Duration::from_millis(200);
        assert!(answer.taken >= waited, "{:?}", answer.taken);
    });
}

#[test]
fn requests_that_cannot_be_served_are_told_why() {
    run(async {
        let mut bed = Bed::new().await;
        bed.serve("search", &[Behaviour::answer("ok")]).await;
        bed.route(1, vec![single("/q/", RequestKind::Safe, "search")])
            .await;
        let ready = call(bed.ready, None, "GET", "/ready", &[], "").await;
        assert_eq!(ready.status, StatusCode::OK);
        let unknown = bed.get("1", "/other/x").await;
        assert_eq!(unknown.status, StatusCode::NOT_FOUND);
        let nameless = call(bed.address, None, "GET", "/q/x", &[], "").await;
        assert_eq!(nameless.status, StatusCode::BAD_REQUEST);
        let large = bed.send("2", "POST", "/q/x", &[], &"x".repeat(1_001)).await;
        assert_eq!(large.status, StatusCode::PAYLOAD_TOO_LARGE);
        let long = "y".repeat(40_000);
        let headed = bed.send("3", "GET", "/q/x", &[("x-long", &long)], "").await;
        assert_eq!(headed.status, StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
        assert_eq!(bed.arrivals("search"), 0);
    });
}

#[test]
fn a_service_without_servers_is_refused_at_once() {
    run(async {
        let mut bed = Bed::new().await;
        bed.serve("other", &[Behaviour::answer("ok")]).await;
        bed.route(1, vec![single("/q/", RequestKind::Safe, "search")])
            .await;
        let answer = bed.get("1", "/q/x").await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(answer.header("retry-after").is_some());
    });
}

#[test]
fn too_many_requests_are_refused_at_once() {
    run(async {
        let mut bed = Bed::with(|config| config.max_requests = 2).await;
        bed.serve("search", &[Behaviour::Silent]).await;
        bed.route(1, vec![single("/q/", RequestKind::Safe, "search")])
            .await;
        let deadline = [("sablehaven-deadline-ms", "700")];
        let held = |id: &'static str| bed.send(id, "GET", "/q/x", &deadline, "");
        let refused = async {
            tokio::time::sleep(Duration::from_millis(150)).await;
            bed.send("3", "GET", "/q/x", &deadline, "").await
        };
        let (first, second, third) = tokio::join!(held("1"), held("2"), refused);
        assert_eq!(first.status, StatusCode::GATEWAY_TIMEOUT);
        assert_eq!(second.status, StatusCode::GATEWAY_TIMEOUT);
        assert_eq!(third.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(third.header("retry-after").is_some());
    });
}

#[test]
fn the_routes_only_go_forward() {
    run(async {
        let mut bed = Bed::new().await;
        bed.serve("search", &[Behaviour::answer("new")]).await;
        bed.route(5, vec![single("/q/", RequestKind::Safe, "search")])
            .await;
        bed.say_routes(4, vec![single("/old/", RequestKind::Safe, "search")]);
        // A later list shows that the older routes were read before it.
        bed.list();
        bed.settle(5).await;
        assert_eq!(bed.get("1", "/q/x").await.status, StatusCode::OK);
        assert_eq!(bed.get("2", "/old/x").await.status, StatusCode::NOT_FOUND);
        assert_eq!(bed.status().map(|status| status.routes_version), Some(5));
    });
}

#[test]
fn while_nearly_all_requests_fail_some_are_refused_at_once_and_reach_no_server() {
    run(async {
        let mut bed = Bed::new().await;
        bed.serve("search", &[Behaviour::Reset]).await;
        bed.route(1, vec![single("/q/", RequestKind::Safe, "search")])
            .await;
        let mut refused = Vec::new();
        for number in 0..100 {
            let id = number.to_string();
            let answer = bed.get(&id, "/q/x").await;
            if answer.status == StatusCode::SERVICE_UNAVAILABLE {
                assert!(answer.header("retry-after").is_some());
                refused.push(id);
            }
        }
        assert!(refused.len() > 20, "{} of 100 were refused", refused.len());
        assert!(refused.len() < 95, "{} of 100 were refused", refused.len());
        let seen = bed.server("search", 0).seen();
        let has_reached = |id: &&String| {
            let ids = seen.iter().filter_map(|seen| seen.header(NAMES.request_id));
            ids.into_iter().any(|known| known == id.as_str())
        };
        assert_eq!(refused.iter().find(has_reached), None);
    });
}

#[test]
fn a_caller_that_comes_again_is_not_refused_for_the_failures_of_others() {
    run(async {
        let mut bed = Bed::new().await;
        bed.serve("search", &[Behaviour::Reset]).await;
        bed.route(1, vec![single("/q/", RequestKind::Safe, "search")])
            .await;
        let first_try = [("sablehaven-deadline-ms", "3000")];
        let second_try = [("sablehaven-deadline-ms", "2500")];
        let mut refused_first = 0;
        let mut refused_second = 0;
        for number in 0..100 {
            let id = format!("{number}-1");
            let answer = bed.send(&id, "GET", "/q/x", &first_try, "").await;
            refused_first += usize::from(answer.status == StatusCode::SERVICE_UNAVAILABLE);
            let id = format!("{number}-2");
            let answer = bed.send(&id, "GET", "/q/x", &second_try, "").await;
            refused_second += usize::from(answer.status == StatusCode::SERVICE_UNAVAILABLE);
        }
        assert!(refused_first > 20, "{refused_first} of 100 were refused");
        assert_eq!(refused_second, 0);
    });
}
