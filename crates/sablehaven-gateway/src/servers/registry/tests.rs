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
        started_at_ms: None,
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
    assert!(whole.apply_listing(&held));
    assert!(changed.apply_listing(&held));
    for reading in 2..200 {
        let servers = next_servers(&held.servers, &mut rng, &mut next_id);
        let next = listing(reading, servers);
        assert!(whole.apply_listing(&next));
        assert!(changed.apply_listing_change(&ListingChange::between(&held, &next)));
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
    assert!(registry.apply_listing(&first));
    let before = state(&registry);
    assert!(!registry.apply_listing_change(&ListingChange::between(&second, &third)));
    assert_eq!(state(&registry), before);
    assert_eq!(registry.number(), first.number);
}

fn registry() -> Registry {
    Registry::new(&Config::default())
}

/// The change that leads from one reading to the next, whose number is one more.
fn change(base: &ServerListing, servers: Vec<ListedServer>) -> (ServerListing, ListingChange) {
    let next = listing(base.number.reading + 1, servers);
    let change = ListingChange::between(base, &next);
    (next, change)
}

fn started(at: u64, is_draining: bool) -> ListedServer {
    ListedServer {
        started_at_ms: Some(at),
        ..listed(1, 1, is_draining)
    }
}

#[test]
fn another_start_under_the_same_id_is_another_server() {
    let registry = Registry::new(&Config::default());
    let first = listing(1, vec![started(1_000, false)]);
    assert!(registry.apply_listing(&first));
    let service = registry.service(&"s-1".into());
    let former = std::rc::Rc::clone(&service.servers.borrow()[0]);
    // It leaves, and starts again before the list was read without it.
    let (second, leaving) = change(&first, vec![started(1_000, true)]);
    assert!(registry.apply_listing_change(&leaving));
    assert!(!former.takes_work());
    let (_, again) = change(&second, vec![started(2_000, false)]);
    assert!(registry.apply_listing_change(&again));
    let servers = service.servers.borrow();
    assert_eq!(servers.len(), 1);
    assert!(servers[0].takes_work());
    assert!(!former.takes_work(), "nothing new for the former start");
}

#[test]
fn a_start_under_the_same_id_at_another_address_is_another_server() {
    let registry = Registry::new(&Config::default());
    registry.apply_listing(&listing(1, vec![listed(1, 1, false)]));
    let mut moved = listed(1, 1, false);
    moved.address = ([127, 0, 0, 1], 9_000).into();
    registry.apply_listing(&listing(2, vec![moved.clone()]));
    let service = registry.service(&"s-1".into());
    let servers = service.servers.borrow();
    let addresses: Vec<_> = servers.iter().map(|server| server.address).collect();
    assert_eq!(addresses, [moved.address]);
}

#[test]
fn a_server_that_another_service_has_now_is_left() {
    let registry = Registry::new(&Config::default());
    let first = listing(1, vec![listed(1, 1, false)]);
    registry.apply_listing(&first);
    let (_, moved) = change(&first, vec![listed(1, 2, false)]);
    assert!(registry.apply_listing_change(&moved));
    assert_eq!(
        state(&registry),
        [("s-2".to_owned(), "i-1".to_owned(), true)]
    );
}
