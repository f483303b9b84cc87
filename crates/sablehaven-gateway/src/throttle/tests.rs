//! Tests of adaptive throttling.

use std::time::Duration;

use sablehaven_types::ServiceName;

use super::{RequestThrottle, ThrottleClass};
use crate::{servers::RouteId, urgency::Urgency};

const URGENT: RouteId = RouteId(1);
const OTHER: RouteId = RouteId(2);

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Sends 200 requests, one every 50 ms. One in `requests_per_useful` has a useful response. Returns the share that
/// was refused.
fn refused_share(
    throttle: &mut RequestThrottle,
    from: u64,
    kind: RouteId,
    service: &str,
    requests_per_useful: u64,
) -> f64 {
    let service = ServiceName::from(service);
    let class = ThrottleClass {
        kind,
        urgency: Urgency::new(None, if kind == URGENT { 1 } else { 2 }),
        service: &service,
    };
    let requests = 200;
    let mut refused = 0;
    for request in 0..requests {
        let now = ms(from + request * 50);
        let draw = (request * 37 % 100) as f64 / 100.0;
        if throttle.may_pass(now, class, draw) {
            throttle.record(now, class, request % requests_per_useful == 0);
        } else {
            refused += 1;
        }
    }
    refused as f64 / requests as f64
}

#[test]
fn nothing_is_refused_while_most_responses_are_useful() {
    let mut throttle = RequestThrottle::new(0.7);
    assert_eq!(refused_share(&mut throttle, 0, URGENT, "s", 1), 0.0);
    assert_eq!(refused_share(&mut throttle, 10_000, URGENT, "s", 2), 0.0);
}

#[test]
fn many_but_not_all_requests_are_refused_while_few_responses_are_useful() {
    let mut throttle = RequestThrottle::new(0.7);
    let share = refused_share(&mut throttle, 0, URGENT, "s", 1_000);
    assert!((0.5..0.75).contains(&share), "{share}");
}

#[test]
fn a_few_useless_responses_refuse_nothing() {
    let mut throttle = RequestThrottle::new(0.7);
    let service = ServiceName::from("s");
    let class = ThrottleClass {
        kind: URGENT,
        urgency: Urgency::new(None, 1),
        service: &service,
    };
    for request in 0..3 {
        assert!(throttle.may_pass(ms(request), class, 0.0), "{request}");
        throttle.record(ms(request), class, false);
    }
}

#[test]
fn less_urgent_requests_for_the_same_servers_are_refused_as_often() {
    let mut throttle = RequestThrottle::new(0.7);
    refused_share(&mut throttle, 0, URGENT, "s", 1_000);
    let same = refused_share(&mut throttle.clone(), 10_000, OTHER, "s", 1);
    let elsewhere = refused_share(&mut throttle, 10_000, OTHER, "t", 1);
    assert!(same > 0.05, "{same}");
    assert_eq!(elsewhere, 0.0);
}

#[test]
fn all_requests_pass_soon_after_the_servers_recover() {
    let mut throttle = RequestThrottle::new(0.7);
    refused_share(&mut throttle, 0, URGENT, "s", 1_000);
    refused_share(&mut throttle, 10_000, URGENT, "s", 1);
    assert_eq!(refused_share(&mut throttle, 20_000, URGENT, "s", 1), 0.0);
}

#[test]
fn classes_of_removed_routes_are_dropped() {
    let mut throttle = RequestThrottle::new(0.7);
    let service = ServiceName::from("s");
    for kind in 0..10_000 {
        let class = ThrottleClass {
            kind: RouteId(kind),
            urgency: Urgency::new(None, 1),
            service: &service,
        };
        throttle.record(ms(kind as u64 * 1_000), class, true);
    }
    assert!(throttle.counts.len() <= 66, "{}", throttle.counts.len());
}

#[test]
fn less_urgent_tenants_of_one_kind_are_refused_first() {
    let mut throttle = RequestThrottle::new(0.7);
    let service = ServiceName::from("s");
    let class = |priority| ThrottleClass {
        kind: URGENT,
        urgency: Urgency::new(Some(priority), 1),
        service: &service,
    };
    // Requests of both tenants alternate, so that the priority of one can't stand for the other's. Only those of the
    // less urgent tenant fail or are late.
    for request in 0..200 {
        throttle.record(ms(request * 50), class(0), true);
        throttle.record(ms(request * 50), class(3), false);
    }
    let now = ms(10_000);
    assert!(throttle.may_pass(now, class(0), 0.0));
    assert!(!throttle.may_pass(now, class(3), 0.5));
    // When the requests of the more urgent tenant fail or are late, those of the less urgent one are refused as
    // often.
    let mut throttle = RequestThrottle::new(0.7);
    for request in 0..200 {
        throttle.record(ms(request * 50), class(0), false);
        throttle.record(ms(request * 50), class(3), true);
    }
    assert!(!throttle.may_pass(now, class(0), 0.5));
    assert!(!throttle.may_pass(now, class(3), 0.5));
}
