//! Tests of the choice of the replica from which state is fetched.

use std::{net::SocketAddr, time::Duration};

use sablehaven_types::{Distance, ListingNumber, Placement};
use sablehaven_wire::{GatewayToControl, StateVersions};

use super::{FETCH_TIMEOUT, REGION_DELAY, REMOTE_DELAY, StateSources};

const NO_VERSIONS: StateVersions = StateVersions {
    routes: 0,
    listing: ListingNumber {
        term: 0,
        reading: 0,
    },
};

fn replica(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

/// The distance between a replica in this region and zone and a gateway in region `north`, zone `a`.
fn distance(region: &str, zone: &str) -> Distance {
    let placement = |region: &str, zone: &str| Placement {
        region: region.into(),
        zone: zone.into(),
    };
    Distance::between(&placement("north", "a"), &placement(region, zone))
}

/// Four connected replicas: replica 1 is in the gateway's zone, 2 in its region, 3 and 4 in other regions.
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
        ..NO_VERSIONS
    }
}

fn listing(term: u64, reading: u64) -> StateVersions {
    StateVersions {
        listing: ListingNumber { term, reading },
        ..NO_VERSIONS
    }
}

/// The replicas that the plan asks for state at this time.
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
fn a_replica_in_the_zone_is_asked_at_once() {
    let mut sources = sources();
    sources.set_versions(replica(1), routes(7));
    let plan = sources.plan(ms(5), routes(6), 0.0);
    let fetch = GatewayToControl::FetchRoutes(6);
    assert!(plan.messages.contains(&(replica(1), fetch)));
    assert_eq!(asked(&mut sources, ms(6), routes(7)), [0_u16; 0]);
}

#[test]
fn a_remote_replica_is_not_asked_if_a_nearer_one_has_the_version_in_time() {
    let mut sources = sources();
    sources.set_versions(replica(3), routes(7));
    let plan = sources.plan(ms(0), routes(6), 0.0);
    assert_eq!(plan.wake_at, Some(REMOTE_DELAY));
    sources.set_versions(replica(1), routes(7));
    assert_eq!(asked(&mut sources, ms(30), routes(6)), [1]);
    assert_eq!(asked(&mut sources, ms(40), routes(7)), [0_u16; 0]);
    // The delay starts again for the next version of the routes.
    sources.set_versions(replica(3), routes(8));
    let second_start = 2 * REMOTE_DELAY;
    let plan = sources.plan(second_start, routes(7), 0.0);
    assert_eq!(plan.wake_at, Some(second_start + REMOTE_DELAY));
}

#[test]
fn a_remote_replica_is_asked_after_the_delay_if_no_nearer_one_has_the_version() {
    let mut sources = sources();
    sources.set_versions(replica(3), routes(7));
    assert_eq!(asked(&mut sources, ms(0), routes(6)), [0_u16; 0]);
    assert_eq!(asked(&mut sources, REMOTE_DELAY / 2, routes(6)), [0_u16; 0]);
    assert_eq!(asked(&mut sources, REMOTE_DELAY, routes(6)), [3]);
}

#[test]
fn a_replica_in_the_region_is_asked_before_remote_ones() {
    let mut sources = sources();
    sources.set_versions(replica(2), routes(7));
    sources.set_versions(replica(3), routes(7));
    assert_eq!(asked(&mut sources, ms(0), routes(6)), [0_u16; 0]);
    assert_eq!(asked(&mut sources, REGION_DELAY, routes(6)), [2]);
}

#[test]
fn a_remote_replica_is_asked_at_once_if_no_nearer_one_is_connected() {
    let mut sources = sources();
    sources.remove(replica(1));
    sources.remove(replica(2));
    sources.set_versions(replica(4), routes(7));
    assert_eq!(asked(&mut sources, ms(0), routes(6)), [4]);
}

#[test]
fn a_replica_that_does_not_reply_is_asked_again_after_all_others() {
    let mut sources = sources();
    for number in 1..=3 {
        sources.set_versions(replica(number), listing(2, 1));
    }
    let mut order = Vec::new();
    let mut now = ms(0);
    for _ in 0..4 {
        order.extend(asked(&mut sources, now, NO_VERSIONS));
        assert_eq!(asked(&mut sources, now + ms(1), NO_VERSIONS), [0_u16; 0]);
        now += FETCH_TIMEOUT;
    }
    assert_eq!(order, [1, 2, 3, 1]);
}

#[test]
fn the_next_replica_is_asked_at_once_when_the_asked_one_disconnects() {
    let mut sources = sources();
    sources.set_versions(replica(1), listing(2, 1));
    sources.set_versions(replica(2), listing(2, 1));
    assert_eq!(asked(&mut sources, ms(0), NO_VERSIONS), [1]);
    sources.remove(replica(1));
    assert_eq!(asked(&mut sources, ms(1), NO_VERSIONS), [2]);
}

/// Replica 1 replies after its timeout, and with an older version than replica 2 has.
#[test]
fn a_version_that_is_still_missing_after_a_reply_is_fetched_at_once() {
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

/// Replicas 3 and 4 have newer routes, while 1 and 2 are cut off from them but not from the gateway.
#[test]
fn replicas_that_are_behind_do_not_delay_a_change() {
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

/// As long as every zone has a replica, neither a change nor a first list is fetched across regions, however
/// many gateways there are.
#[test]
fn a_large_fleet_fetches_nothing_across_regions() {
    for gateway in 0..1_000 {
        let mut sources = sources();
        let now = ms(gateway);
        // The leader is in another region. The replica in the gateway's zone gets the version from it after 12
        // ms.
        sources.set_versions(replica(3), listing(2, 1));
        assert_eq!(asked(&mut sources, now, NO_VERSIONS), [0_u16; 0]);
        sources.set_versions(replica(1), listing(2, 1));
        assert_eq!(asked(&mut sources, now + ms(12), NO_VERSIONS), [1]);
        assert_eq!(asked(&mut sources, now + ms(80), listing(2, 1)), [0_u16; 0]);
    }
}

#[test]
fn the_nearest_connected_replica_is_preferred_and_kept() {
    let mut sources = StateSources::default();
    let preferred = |sources: &mut StateSources, random: f64| {
        let plan = sources.plan(ms(0), NO_VERSIONS, random);
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
    let expected = [(3, prefer(false)), (1, prefer(true))];
    assert_eq!(preferred(&mut sources, 0.0), expected);
    sources.remove(replica(1));
    assert_eq!(preferred(&mut sources, 0.9), [(4, prefer(true))]);
}
