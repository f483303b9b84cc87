//! Tests of who sends routes to a gateway.

use std::time::{Duration, Instant};

use super::{FAR_DELAY, RoutesStep, RoutesTurn};

#[test]
fn a_near_replica_sends_at_once() {
    let now = Instant::now();
    let mut turn = RoutesTurn::new(true);
    assert_eq!(turn.next(now, true), RoutesStep::Send);
    assert_eq!(turn.next(now, false), RoutesStep::Nothing);
}

#[test]
fn a_far_replica_sends_when_the_gateway_still_lacks_the_routes_after_a_while() {
    let now = Instant::now();
    let mut turn = RoutesTurn::new(false);
    let send_at = now + FAR_DELAY;
    assert_eq!(turn.next(now, true), RoutesStep::WaitUntil(send_at));
    let meanwhile = now + FAR_DELAY / 2;
    assert_eq!(turn.next(meanwhile, true), RoutesStep::WaitUntil(send_at));
    assert_eq!(turn.next(send_at, true), RoutesStep::Send);
}

#[test]
fn a_far_replica_sends_nothing_to_a_gateway_that_has_got_the_routes() {
    let now = Instant::now();
    let mut turn = RoutesTurn::new(false);
    turn.next(now, true);
    let soon = now + Duration::from_millis(30);
    assert_eq!(turn.next(soon, false), RoutesStep::Nothing);
    // The time counts anew for the next routes.
    let later = now + 2 * FAR_DELAY;
    let step = turn.next(later, true);
    assert_eq!(step, RoutesStep::WaitUntil(later + FAR_DELAY));
}
