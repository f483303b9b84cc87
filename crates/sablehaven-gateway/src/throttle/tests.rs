//! Tests of what is refused while requests come to nothing.

use std::time::Duration;

use sablehaven_types::ServiceName;

use super::{RequestThrottle, ThrottleClass};
use crate::{servers::KindOfRequest, urgency::Urgency};

const URGENT: KindOfRequest = KindOfRequest(1);
const OTHER: KindOfRequest = KindOfRequest(2);

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Asks every 50 ms for a while; one in `useful_of` that pass is useful. Answers the share refused.
fn refused(
    throttle: &mut RequestThrottle,
    from: u64,
    kind: KindOfRequest,
    service: &str,
    useful_of: u64,
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
            throttle.answered(now, class, request % useful_of == 0);
        } else {
            refused += 1;
        }
    }
    refused as f64 / requests as f64
}

#[test]
fn nothing_is_refused_while_most_are_useful() {
    let mut throttle = RequestThrottle::new(0.7);
    assert_eq!(refused(&mut throttle, 0, URGENT, "s", 1), 0.0);
    assert_eq!(refused(&mut throttle, 10_000, URGENT, "s", 2), 0.0);
}

#[test]
fn much_is_refused_while_few_are_useful_but_never_all() {
    let mut throttle = RequestThrottle::new(0.7);
    let share = refused(&mut throttle, 0, URGENT, "s", 1_000);
    assert!((0.5..0.75).contains(&share), "{share}");
}

#[test]
fn a_few_that_come_to_nothing_are_no_reason() {
    let mut throttle = RequestThrottle::new(0.7);
    let service = ServiceName::from("s");
    let class = ThrottleClass {
        kind: URGENT,
        urgency: Urgency::new(None, 1),
        service: &service,
    };
    for request in 0..3 {
        assert!(throttle.may_pass(ms(request), class, 0.0), "{request}");
        throttle.answered(ms(request), class, false);
    }
}

#[test]
fn what_needs_the_same_servers_and_is_less_urgent_is_refused_as_often() {
    let mut throttle = RequestThrottle::new(0.7);
    refused(&mut throttle, 0, URGENT, "s", 1_000);
    let same = refused(&mut throttle.clone(), 10_000, OTHER, "s", 1);
    let elsewhere = refused(&mut throttle, 10_000, OTHER, "t", 1);
    assert!(same > 0.05, "{same}");
    assert_eq!(elsewhere, 0.0);
}

#[test]
fn when_the_servers_are_well_again_everything_passes_soon() {
    let mut throttle = RequestThrottle::new(0.7);
    refused(&mut throttle, 0, URGENT, "s", 1_000);
    refused(&mut throttle, 10_000, URGENT, "s", 1);
    assert_eq!(refused(&mut throttle, 20_000, URGENT, "s", 1), 0.0);
}

#[test]
fn kinds_of_former_routes_are_forgotten() {
    let mut throttle = RequestThrottle::new(0.7);
    let service = ServiceName::from("s");
    for kind in 0..10_000 {
        let class = ThrottleClass {
            kind: KindOfRequest(kind),
            urgency: Urgency::new(None, 1),
            service: &service,
        };
        throttle.answered(ms(kind as u64 * 1_000), class, true);
    }
    assert!(throttle.counts.len() <= 66, "{}", throttle.counts.len());
}

#[test]
fn of_one_kind_the_requests_of_less_urgent_tenants_are_refused_first() {
    let mut throttle = RequestThrottle::new(0.7);
    let service = ServiceName::from("s");
    let class = |rank| ThrottleClass {
        kind: URGENT,
        urgency: Urgency::new(Some(rank), 1),
        service: &service,
    };
    // Both ask in turn, so that neither's rank may stand for the other's; only the less urgent one's come to nothing.
    for request in 0..200 {
        throttle.answered(ms(request * 50), class(0), true);
        throttle.answered(ms(request * 50), class(3), false);
    }
    let now = ms(10_000);
    assert!(throttle.may_pass(now, class(0), 0.0));
    assert!(!throttle.may_pass(now, class(3), 0.5));
    // When those of the more urgent one come to nothing, the less urgent are refused as often.
    let mut throttle = RequestThrottle::new(0.7);
    for request in 0..200 {
        throttle.answered(ms(request * 50), class(0), false);
        throttle.answered(ms(request * 50), class(3), true);
    }
    assert!(!throttle.may_pass(now, class(0), 0.5));
    assert!(!throttle.may_pass(now, class(3), 0.5));
}
