//! Tests of server listings: complete ones and changes between two listings.

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

/// Every listed server with its service and whether it accepts requests.
fn state(registry: &Registry) -> Vec<(String, String, bool)> {
    let services = registry.services.borrow();
    let mut all = Vec::new();
    for (name, service) in services.iter() {
        for server in service.servers.borrow().iter() {
            all.push((
                name.to_string(),
                server.id.to_string(),
                server.accepts_requests(),
            ));
        }
    }
    all.sort();
    all
}

/// The servers of the next listing: compared with `servers`, some have been added or removed or have started to drain.
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
fn listing_changes_give_the_same_servers_as_complete_listings() {
    let mut rng = StdRng::seed_from_u64(11);
    let mut next_id = 0;
    let (from_listings, from_changes) = (registry(), registry());
    let mut previous = listing(1, Vec::new());
    assert!(from_listings.apply_listing(&previous));
    assert!(from_changes.apply_listing(&previous));
    for reading in 2..200 {
        let servers = next_servers(&previous.servers, &mut rng, &mut next_id);
        let next = listing(reading, servers);
        assert!(from_listings.apply_listing(&next));
        assert!(from_changes.apply_listing_change(&ListingChange::between(&previous, &next)));
        assert_eq!(state(&from_listings), state(&from_changes));
        assert_eq!(from_changes.listing_number(), next.number);
        assert_eq!(from_changes.server_count(), next.servers.len());
        previous = next;
    }
}

#[test]
fn a_change_based_on_another_listing_is_ignored() {
    let registry = registry();
    let first = listing(1, vec![listed(1, 1, false)]);
    let second = listing(2, vec![listed(2, 1, false)]);
    let third = listing(3, vec![listed(3, 1, false)]);
    assert!(registry.apply_listing(&first));
    let before = state(&registry);
    assert!(!registry.apply_listing_change(&ListingChange::between(&second, &third)));
    assert_eq!(state(&registry), before);
    assert_eq!(registry.listing_number(), first.number);
}

fn registry() -> Registry {
    Registry::new(&Config::default())
}

/// The listing with the next number and these servers, and the change from `base` to it.
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
fn another_incarnation_with_the_same_id_is_another_server() {
    let registry = Registry::new(&Config::default());
    let first = listing(1, vec![started(1_000, false)]);
    assert!(registry.apply_listing(&first));
    let service = registry.service(&"s-1".into());
    let first_incarnation = std::rc::Rc::clone(&service.servers.borrow()[0]);
    // The server drains and restarts before a listing without it was read.
    let (second, draining) = change(&first, vec![started(1_000, true)]);
    assert!(registry.apply_listing_change(&draining));
    assert!(!first_incarnation.accepts_requests());
    let (_, restarted) = change(&second, vec![started(2_000, false)]);
    assert!(registry.apply_listing_change(&restarted));
    let servers = service.servers.borrow();
    assert_eq!(servers.len(), 1);
    assert!(servers[0].accepts_requests());
    assert!(
        !first_incarnation.accepts_requests(),
        "the first incarnation must get no new requests"
    );
}

#[test]
fn the_same_id_at_another_address_is_another_server() {
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
fn a_server_that_moves_to_another_service_leaves_its_former_one() {
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
