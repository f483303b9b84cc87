//! Tests of the directory's decision and of readings of the list.

use std::time::Duration;

use sablehaven_types::{ListedServer, ListingNumber, Placement};
use sablehaven_wire::GatewayStatus;

use super::{
    Gateways,
    entry::{HeardGateway, choose},
    registry::has_settled,
};

fn place(region: &str, zone: &str) -> Placement {
    Placement {
        region: region.into(),
        zone: zone.into(),
    }
}

fn gateway(port: u16, region: &str, zone: &str, is_ready: bool) -> HeardGateway {
    let status = GatewayStatus {
        address: ([127, 0, 0, 1], port).into(),
        placement: place(region, zone),
        is_ready,
        routes_version: 1,
        listing: ListingNumber::default(),
    };
    HeardGateway {
        status,
        silent_for: Duration::ZERO,
    }
}

fn silent(gateway: HeardGateway) -> HeardGateway {
    HeardGateway {
        silent_for: Duration::from_secs(1),
        ..gateway
    }
}

fn ports(gateways: &[HeardGateway], caller: &Placement) -> Vec<u16> {
    choose(gateways, caller)
        .iter()
        .map(std::net::SocketAddr::port)
        .collect()
}

#[test]
fn the_nearest_place_with_a_ready_gateway_is_told() {
    let gateways = [
        gateway(1, "north", "a", true),
        gateway(2, "north", "a", false),
        gateway(3, "north", "b", true),
        gateway(4, "south", "c", true),
    ];
    assert_eq!(ports(&gateways, &place("north", "a")), [1]);
    assert_eq!(ports(&gateways, &place("north", "z")), [1, 3]);
    assert_eq!(ports(&gateways, &place("west", "y")), [1, 3, 4]);
    assert_eq!(ports(&gateways[1..2], &place("north", "a")), [0_u16; 0]);
}

#[test]
fn a_silent_gateway_is_told_only_where_no_other_is_heard() {
    let gateways = [
        silent(gateway(1, "north", "a", true)),
        gateway(2, "north", "a", true),
        silent(gateway(3, "north", "b", true)),
    ];
    assert_eq!(ports(&gateways, &place("north", "a")), [2]);
    assert_eq!(ports(&gateways, &place("north", "b")), [2]);
    let all_silent = gateways.map(silent);
    assert_eq!(ports(&all_silent, &place("north", "a")), [1, 2]);
}

#[test]
fn no_more_addresses_are_told_than_callers_take() {
    let gateways: Vec<_> = (1..=90)
        .map(|port| gateway(port, "north", "a", true))
        .collect();
    assert_eq!(ports(&gateways, &place("north", "a")).len(), 64);
}

fn listed(warmup_left_ms: u64, is_draining: bool) -> ListedServer {
    ListedServer {
        id: "i-1".into(),
        service: "search".into(),
        address: ([127, 0, 0, 1], 80).into(),
        zone: "a".into(),
        slots: 1,
        is_draining,
        warmup_left_ms,
    }
}

#[test]
fn a_reading_without_news_keeps_its_number_and_a_new_term_starts_over() {
    let gateways = Gateways::new();
    let number = || gateways.listing().borrow().number;
    gateways.take_reading(3, vec![listed(900, false)]);
    let first = number();
    gateways.take_reading(3, vec![listed(100, false)]);
    assert_eq!(number(), first);
    gateways.take_reading(3, vec![listed(0, true)]);
    let second = number();
    assert!(second > first);
    gateways.take_reading(4, vec![listed(0, true)]);
    assert!(number() > second);
}

#[test]
fn the_picture_of_the_gateways_is_whole_when_no_new_one_has_come_for_a_while() {
    let ms = Duration::from_millis;
    assert!(!has_settled(ms(500), Some(ms(400))));
    assert!(!has_settled(ms(700), Some(ms(100))));
    assert!(!has_settled(ms(700), None));
    assert!(has_settled(ms(700), Some(ms(400))));
    assert!(has_settled(ms(3_000), Some(ms(10))));
    assert!(has_settled(ms(3_000), None));
}
