//! Tests of who sends routes to a gateway.

use std::time::{Duration, Instant};

use sablehaven_types::{Distance, Placement};

use super::{FAR_DELAY, REGION_DELAY, RoutesStep, RoutesTurn};

fn place(region: &str, zone: &str) -> Placement {
    Placement {
        region: region.into(),
        zone: zone.into(),
    }
}

/// The turn of a replica in region `north`, zone `a`.
fn turn(region: &str, zone: &str) -> RoutesTurn {
    RoutesTurn::new(Distance::between(
        &place("north", "a"),
        &place(region, zone),
    ))
}

#[test]
fn a_replica_of_the_gateway_s_zone_sends_at_once() {
    let now = Instant::now();
    let mut turn = turn("north", "a");
    assert_eq!(turn.next(now, true), RoutesStep::Send);
    assert_eq!(turn.next(now, false), RoutesStep::Nothing);
}

#[test]
fn a_far_replica_sends_when_the_gateway_still_lacks_the_routes_after_a_while() {
    let now = Instant::now();
    let mut turn = turn("south", "c");
    let send_at = now + FAR_DELAY;
    assert_eq!(turn.next(now, true), RoutesStep::WaitUntil(send_at));
    let meanwhile = now + FAR_DELAY / 2;
    assert_eq!(turn.next(meanwhile, true), RoutesStep::WaitUntil(send_at));
    assert_eq!(turn.next(send_at, true), RoutesStep::Send);
}

#[test]
fn a_far_replica_sends_nothing_to_a_gateway_that_has_got_the_routes() {
    let now = Instant::now();
    let mut turn = turn("south", "c");
    turn.next(now, true);
    let soon = now + Duration::from_millis(30);
    assert_eq!(turn.next(soon, false), RoutesStep::Nothing);
    // The time counts anew for the next routes.
    let later = now + 2 * FAR_DELAY;
    let step = turn.next(later, true);
    assert_eq!(step, RoutesStep::WaitUntil(later + FAR_DELAY));
}

#[test]
fn a_replica_of_the_region_sends_before_others_do() {
    let now = Instant::now();
    let mut turn = turn("north", "b");
    let send_at = now + REGION_DELAY;
    assert_eq!(turn.next(now, true), RoutesStep::WaitUntil(send_at));
    assert_eq!(turn.next(send_at, true), RoutesStep::Send);
}
