//! Tests of readings of the list: whole ones, and what changes between two.

use rand::{RngExt, SeedableRng, rngs::StdRng};
use sablehaven_types::{ListedServer, ListingChange, ListingNumber, ServerListing};

use super::Registry;
use crate::Config;

fn number(reading: u64) -> ListingNumber {
    ListingNumber { term: 1, reading }
}

fn listed(id: u32, service: u32, is_draining: bool) -> ListedServer {
    ListedServer {
        id: format!("i-{id}").as_str().into(),
        service: format!("s-{service}").as_str().into(),
        address: ([127, 0, 0, 1], 1_000 + id as u16).into(),
        zone: "a".into(),
        slots: 3,
        is_draining,
        warmup_left_ms: 0,
    }
}

fn listing(reading: u64, servers: Vec<ListedServer>) -> ServerListing {
    ServerListing {
        number: number(reading),
        servers,
    }
}

/// Every listed server, with its service and whether it takes work.
fn state(registry: &Registry) -> Vec<(String, String, bool)> {
    let services = registry.services.borrow();
    let mut all = Vec::new();
    for (name, service) in services.iter() {
        for server in service.servers.borrow().iter() {
            all.push((name.to_string(), server.id.to_string(), server.takes_work()));
        }
    }
    all.sort();
    all
}

/// A reading in which some servers have come, gone or begun to leave since the one before.
fn next_servers(
    servers: &[ListedServer],
    rng: &mut StdRng,
    next_id: &mut u32,
) -> Vec<ListedServer> {
    let mut next: Vec<ListedServer> = servers.to_vec();
    next.retain(|_| rng.random_range(0..8) > 0);
    for server in &mut next {
        server.is_draining |= rng.random_range(0..6) == 0;
    }
    for _ in 0..rng.random_range(0..4) {
        *next_id += 1;
        next.push(listed(*next_id, *next_id % 5, false));
    }
    next
}

#[test]
fn changes_lead_to_the_same_servers_as_whole_readings() {
    let mut rng = StdRng::seed_from_u64(11);
    let mut next_id = 0;
    let (whole, changed) = (registry(), registry());
    let mut held = listing(1, Vec::new());
    assert!(whole.take_listing(&held));
    assert!(changed.take_listing(&held));
    for reading in 2..200 {
        let servers = next_servers(&held.servers, &mut rng, &mut next_id);
        let next = listing(reading, servers);
        assert!(whole.take_listing(&next));
        assert!(changed.take_listing_change(&ListingChange::between(&held, &next)));
        assert_eq!(state(&whole), state(&changed));
        assert_eq!(changed.number(), next.number);
        assert_eq!(changed.server_count(), next.servers.len());
        held = next;
    }
}

#[test]
fn a_change_of_another_reading_changes_nothing() {
    let registry = registry();
    let first = listing(1, vec![listed(1, 1, false)]);
    let second = listing(2, vec![listed(2, 1, false)]);
    let third = listing(3, vec![listed(3, 1, false)]);
    assert!(registry.take_listing(&first));
    let before = state(&registry);
    assert!(!registry.take_listing_change(&ListingChange::between(&second, &third)));
    assert_eq!(state(&registry), before);
    assert_eq!(registry.number(), first.number);
}

fn registry() -> Registry {
    Registry::new(&Config::default())
}
