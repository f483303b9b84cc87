//! Tests of where state is fetched from.

use std::{net::SocketAddr, time::Duration};

use sablehaven_types::{Distance, ListingNumber, Placement};
use sablehaven_wire::{GatewayToControl, StateVersions};

use super::{FETCH_TIMEOUT, REGION_DELAY, REMOTE_DELAY, StateSources};

const NOTHING: StateVersions = StateVersions {
    routes: 0,
    listing: ListingNumber {
        term: 0,
        reading: 0,
    },
};

fn replica(number: u16) -> SocketAddr {
    ([127, 0, 0, 1], number).into()
}

/// How far a replica of a place is from a gateway in region `north`, zone `a`.
fn distance(region: &str, zone: &str) -> Distance {
    let place = |region: &str, zone: &str| Placement {
        region: region.into(),
        zone: zone.into(),
    };
    Distance::between(&place("north", "a"), &place(region, zone))
}

/// Replica 1 is in the gateway's zone, 2 in its region, 3 and 4 in other regions.
fn sources() -> StateSources {
    let mut sources = StateSources::default();
    sources.add(replica(1), distance("north", "a"));
    sources.add(replica(2), distance("north", "b"));
    sources.add(replica(3), distance("south", "c"));
    sources.add(replica(4), distance("west", "d"));
    sources
}

fn routes(version: u64) -> StateVersions {
    StateVersions {
        routes: version,
        ..NOTHING
    }
}

fn listing(term: u64, reading: u64) -> StateVersions {
    StateVersions {
        listing: ListingNumber { term, reading },
        ..NOTHING
    }
}

/// The replicas that are asked for something now.
fn asked(sources: &mut StateSources, now: Duration, held: StateVersions) -> Vec<u16> {
    let plan = sources.plan(now, held, 0.0);
    let fetches = plan.messages.iter().filter(|(_, message)| {
        matches!(
            message,
            GatewayToControl::FetchRoutes(_) | GatewayToControl::FetchListing(_)
        )
    });
    fetches.map(|(replica, _)| replica.port()).collect()
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_replica_of_the_gateway_s_zone_is_asked_at_once() {
    let mut sources = sources();
    sources.set_versions(replica(1), routes(7));
    let plan = sources.plan(ms(5), routes(6), 0.0);
    let fetch = GatewayToControl::FetchRoutes(6);
    assert!(plan.messages.contains(&(replica(1), fetch)));
    assert_eq!(asked(&mut sources, ms(6), routes(7)), [0_u16; 0]);
}

#[test]
fn far_replicas_are_asked_for_nothing_that_a_near_one_has_a_moment_later() {
    let mut sources = sources();
    sources.set_versions(replica(3), routes(7));
    let plan = sources.plan(ms(0), routes(6), 0.0);
    assert_eq!(plan.wake_at, Some(REMOTE_DELAY));
    sources.set_versions(replica(1), routes(7));
    assert_eq!(asked(&mut sources, ms(30), routes(6)), [1]);
    assert_eq!(asked(&mut sources, ms(40), routes(7)), [0_u16; 0]);
    // The time counts anew for the next routes.
    sources.set_versions(replica(3), routes(8));
    let later = 2 * REMOTE_DELAY;
    let plan = sources.plan(later, routes(7), 0.0);
    assert_eq!(plan.wake_at, Some(later + REMOTE_DELAY));
}

#[test]
fn a_far_replica_is_asked_when_no_nearer_one_has_it_after_a_while() {
    let mut sources = sources();
    sources.set_versions(replica(3), routes(7));
    assert_eq!(asked(&mut sources, ms(0), routes(6)), [0_u16; 0]);
    assert_eq!(asked(&mut sources, REMOTE_DELAY / 2, routes(6)), [0_u16; 0]);
    assert_eq!(asked(&mut sources, REMOTE_DELAY, routes(6)), [3]);
}

#[test]
fn a_replica_of_the_region_is_asked_before_others_are() {
    let mut sources = sources();
    sources.set_versions(replica(2), routes(7));
    sources.set_versions(replica(3), routes(7));
    assert_eq!(asked(&mut sources, ms(0), routes(6)), [0_u16; 0]);
    assert_eq!(asked(&mut sources, REGION_DELAY, routes(6)), [2]);
}

#[test]
fn nobody_is_waited_for_where_no_nearer_replica_is_connected() {
    let mut sources = sources();
    sources.remove(replica(1));
    sources.remove(replica(2));
    sources.set_versions(replica(4), routes(7));
    assert_eq!(asked(&mut sources, ms(0), routes(6)), [4]);
}

#[test]
fn one_that_does_not_answer_is_passed_over_and_asked_again_when_all_were() {
    let mut sources = sources();
    for number in 1..=3 {
        sources.set_versions(replica(number), listing(2, 1));
    }
    let mut order = Vec::new();
    let mut now = ms(0);
    for _ in 0..4 {
        order.extend(asked(&mut sources, now, NOTHING));
        assert_eq!(asked(&mut sources, now + ms(1), NOTHING), [0_u16; 0]);
        now += FETCH_TIMEOUT;
    }
    assert_eq!(order, [1, 2, 3, 1]);
}

#[test]
fn the_next_is_asked_at_once_when_the_one_that_was_asked_is_lost() {
    let mut sources = sources();
    sources.set_versions(replica(1), listing(2, 1));
    sources.set_versions(replica(2), listing(2, 1));
    assert_eq!(asked(&mut sources, ms(0), NOTHING), [1]);
    sources.remove(replica(1));
    assert_eq!(asked(&mut sources, ms(1), NOTHING), [2]);
}

/// Replica 1 answered after it had been given up, with less than replica 2 has.
#[test]
fn what_is_still_missing_after_an_answer_is_fetched_anew_at_once() {
    let mut sources = sources();
    sources.set_versions(replica(1), listing(2, 2));
    sources.set_versions(replica(2), listing(2, 3));
    assert_eq!(asked(&mut sources, ms(0), listing(2, 1)), [1]);
    assert_eq!(asked(&mut sources, FETCH_TIMEOUT, listing(2, 1)), [2]);
    sources.set_versions(replica(1), listing(2, 3));
    let plan = sources.plan(FETCH_TIMEOUT + ms(5), listing(2, 2), 0.0);
    let base = listing(2, 2).listing;
    let fetch = (replica(1), GatewayToControl::FetchListing(base));
    assert!(plan.messages.contains(&fetch), "{plan:?}");
}

/// Replicas 3 and 4 have gone on while 1 and 2 are cut off from them, but not from the gateway.
#[test]
fn replicas_that_are_left_behind_do_not_hold_a_change_up() {
    let mut sources = sources();
    sources.set_versions(replica(1), routes(7));
    sources.set_versions(replica(2), routes(7));
    sources.set_versions(replica(3), routes(9));
    sources.set_versions(replica(4), routes(9));
    assert_eq!(asked(&mut sources, ms(0), routes(7)), [0_u16; 0]);
    assert_eq!(asked(&mut sources, REMOTE_DELAY, routes(7)), [3]);
    assert_eq!(
        asked(&mut sources, REMOTE_DELAY + FETCH_TIMEOUT, routes(7)),
        [4]
    );
}

/// The sum over all gateways of a fleet: a change and a first list cross regions for none of them while every zone has
/// a replica, however many gateways there are.
#[test]
fn a_large_fleet_fetches_nothing_across_regions() {
    for gateway in 0..1_000 {
        let mut sources = sources();
        let now = ms(gateway);
        // The leader is far; the replica of the zone has it from there after 12 ms.
        sources.set_versions(replica(3), listing(2, 1));
        assert_eq!(asked(&mut sources, now, NOTHING), [0_u16; 0]);
        sources.set_versions(replica(1), listing(2, 1));
        assert_eq!(asked(&mut sources, now + ms(12), NOTHING), [1]);
        assert_eq!(asked(&mut sources, now + ms(80), listing(2, 1)), [0_u16; 0]);
    }
}

#[test]
fn the_nearest_connected_replica_is_preferred_and_kept() {
    let mut sources = StateSources::default();
    let preferred = |sources: &mut StateSources, random: f64| {
        let plan = sources.plan(ms(0), NOTHING, random);
        let each = plan.messages.into_iter();
        each.map(|(replica, message)| (replica.port(), message))
            .collect::<Vec<_>>()
    };
    let prefer = GatewayToControl::Prefer;
    sources.add(replica(3), distance("south", "c"));
    assert_eq!(preferred(&mut sources, 0.0), [(3, prefer(true))]);
    sources.add(replica(4), distance("west", "d"));
    assert_eq!(preferred(&mut sources, 0.9), []);
    sources.add(replica(1), distance("north", "a"));
    let moved = [(3, prefer(false)), (1, prefer(true))];
    assert_eq!(preferred(&mut sources, 0.0), moved);
    sources.remove(replica(1));
    assert_eq!(preferred(&mut sources, 0.9), [(4, prefer(true))]);
}
