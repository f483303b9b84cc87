//! Servers that leave, callers that leave, and extra attempts within their budget.

use std::time::Duration;

use hyper::StatusCode;
use sablehaven_standins::routed::Behaviour;
use sablehaven_types::RequestKind;
use tokio::time::timeout;

use crate::support::routes::single;
use crate::support::{Bed, run, until};

#[test]
fn a_server_that_is_leaving_gets_nothing_new_and_finishes_what_it_has() {
    run(async {
        let mut bed = Bed::new().await;
        let slow = Behaviour::after(Duration::from_millis(200), "slow");
        bed.serve("search", &[slow, Behaviour::answer("other")])
            .await;
        bed.route(1, vec![single("/q/", RequestKind::NonIdempotent, "search")])
            .await;
        let (first, ()) = tokio::join!(bed.get("1", "/q/x"), async {
            until("the request is there", || bed.arrivals("search") == 1).await;
        });
        assert_eq!(&first.body[..], b"slow");
        bed.drain("search-0");
        bed.settle(1).await;
        for number in 0..5 {
            let answer = bed.get(&format!("later-{number}"), "/q/x").await;
            assert_eq!(&answer.body[..], b"other");
        }
        assert_eq!(bed.server("search", 0).seen().len(), 1);
    });
}

#[test]
fn when_the_caller_leaves_the_servers_are_left() {
    run(async {
        let mut bed = Bed::new().await;
        let slow = Behaviour::after(Duration::from_secs(20), "late");
        bed.serve("search", &[slow.clone(), slow]).await;
        bed.route(1, vec![single("/q/", RequestKind::Safe, "search")])
            .await;
        let asked = timeout(Duration::from_millis(150), bed.get("1", "/q/x")).await;
        assert!(asked.is_err());
        let all_left = || {
            let servers = &bed.servers["search"];
            let arrived: u64 = servers
                .iter()
                .map(|server| server.seen().len() as u64)
                .sum();
            let left: u64 = servers.iter().map(|server| server.abandoned()).sum();
            arrived > 0 && arrived == left
        };
        until("the servers are left", all_left).await;
    });
}

#[test]
fn the_route_s_time_ends_a_request_at_once() {
    run(async {
        let mut bed = Bed::new().await;
        bed.serve("search", &[Behaviour::Silent]).await;
        let mut route = single("/q/", RequestKind::Safe, "search");
        route.timeout_ms = 300;
        bed.route(1, vec![route]).await;
        let answer = bed.get("1", "/q/x").await;
        assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
        assert!(
            answer.taken >= Duration::from_millis(280),
            "{:?}",
            answer.taken
        );
    });
}

#[test]
fn extra_attempts_stay_within_the_budget() {
    run(async {
        let mut bed = Bed::with(|config| {
            config.retries.slack = 10.0;
            // All of them fail, and all are to be sent.
            config.max_throttled = 0.0;
        })
        .await;
        bed.serve("search", &[Behaviour::Reset, Behaviour::Reset])
            .await;
        bed.route(1, vec![single("/q/", RequestKind::Safe, "search")])
            .await;
        for number in 0..60 {
            bed.get(&format!("{number}"), "/q/x").await;
        }
        let extra = bed.arrivals("search") - 60;
        // A fifth of 60 and the slack of 10, of which this gateway has a half.
        assert!(extra <= 12 + 5, "{extra} extra attempts");
        assert!(extra >= 3, "{extra} extra attempts");
    });
}

#[test]
fn a_gateway_that_callers_are_not_told_of_uses_nothing_of_the_shared_slack() {
    run(async {
        let mut bed = Bed::with(|config| config.max_throttled = 0.0).await;
        bed.serve("search", &[Behaviour::Reset, Behaviour::Reset])
            .await;
        bed.take_part_away();
        bed.route(1, vec![single("/q/", RequestKind::Safe, "search")])
            .await;
        for number in 0..60 {
            bed.get(&format!("{number}"), "/q/x").await;
        }
        let extra = bed.arrivals("search") - 60;
        assert!(extra <= 12, "{extra} extra attempts, of a fifth of 60");
    });
}

#[test]
fn connections_are_kept_for_many_requests() {
    run(async {
        let mut bed = Bed::new().await;
        bed.serve("search", &[Behaviour::answer("ok")]).await;
        bed.route(1, vec![single("/q/", RequestKind::Safe, "search")])
            .await;
        for number in 0..30 {
            bed.get(&format!("{number}"), "/q/x").await;
        }
        assert!(bed.server("search", 0).connections() <= 2);
    });
}

#[test]
fn a_near_server_that_fails_quickly_is_not_the_favourite() {
    run(async {
        let mut bed = Bed::new().await;
        bed.serve("search", &[Behaviour::Fail, Behaviour::answer("ok")])
            .await;
        bed.route(1, vec![single("/q/", RequestKind::Safe, "search")])
            .await;
        for number in 0..30 {
            let answer = bed.get(&format!("{number}"), "/q/x").await;
            assert_eq!(&answer.body[..], b"ok");
        }
        let failed = bed.server("search", 0).seen().len();
        assert!(failed < 10, "{failed} of 30 went there");
    });
}

#[test]
fn connections_that_are_too_many_once_more_gateways_have_come_are_closed() {
    run(async {
        let mut bed = Bed::new().await;
        let slow = Behaviour::after(Duration::from_millis(100), "ok");
        bed.serve("search", &[slow]).await;
        bed.route(1, vec![single("/q/", RequestKind::Safe, "search")])
            .await;
        let bed = &bed;
        let ask_six = |round: usize| async move {
            let names: Vec<String> = (0..6).map(|number| format!("{round}-{number}")).collect();
            let asking = names.iter().map(|id| bed.get(id, "/q/x"));
            futures::future::join_all(asking).await
        };
        let server = bed.server("search", 0);
        ask_six(0).await;
        assert!(server.open_connections() > 2);
        // 64 connections among 41 gateways are one for each.
        bed.say_gateways(40);
        for round in 1..20 {
            let answers = ask_six(round).await;
            assert!(answers.iter().all(|answer| &answer.body[..] == b"ok"));
            if server.open_connections() <= 1 {
                return;
            }
        }
        panic!("{} connections are still open", server.open_connections());
    });
}
