//! Tests of the directory's decision and of readings of the list.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use sablehaven_types::{AllowedRegions, ListedServer, ListingNumber, Placement};
use sablehaven_wire::{ControlToGateway, GatewayLoad, GatewayStatus};

use super::{
    Gateways,
    advertised::{AdvertisedGateways, SubsetSizes},
    order::{GatewayOrder, GatewayReport},
    registry::has_settled,
    sessions::Sessions,
    subset::SubsetSize,
};

fn place(region: &str, zone: &str) -> Placement {
    Placement {
        region: region.into(),
        zone: zone.into(),
    }
}

fn gateway(port: u16, region: &str, zone: &str, is_ready: bool) -> GatewayStatus {
    GatewayStatus {
        address: ([127, 0, 0, 1], port).into(),
        placement: place(region, zone),
        is_ready,
        routes_version: 1,
        listing: ListingNumber::default(),
        evacuation_revision: 0,
    }
}

/// A gateway's status, and how long it has been silent.
type Heard = (GatewayStatus, Duration);

fn fresh(status: GatewayStatus) -> Heard {
    (status, Duration::ZERO)
}

fn silent(status: GatewayStatus) -> Heard {
    (status, Duration::from_secs(1))
}

fn ports(gateways: &[Heard], caller: &Placement) -> Vec<u16> {
    ports_of_subset(gateways, &SubsetSizes::new(), caller)
}

fn ports_of_subset(gateways: &[Heard], sizes: &SubsetSizes, caller: &Placement) -> Vec<u16> {
    ports_for(gateways, sizes, caller, &AllowedRegions::default())
}

/// As [`ports_of_subset`], for a host whose routes are bound to regions.
fn ports_for(
    gateways: &[Heard],
    sizes: &SubsetSizes,
    caller: &Placement,
    allowed: &AllowedRegions,
) -> Vec<u16> {
    let now = Instant::now();
    let mut order = GatewayOrder::default();
    for (status, silent_for) in gateways {
        order.insert(GatewayReport {
            session: 1,
            status: status.clone(),
            load: GatewayLoad::default(),
            heard_at: now - *silent_for,
            served_at: None,
        });
    }
    let chosen = AdvertisedGateways::new(&order, sizes, now).near(caller, allowed);
    let mut ports: Vec<u16> = chosen.iter().map(std::net::SocketAddr::port).collect();
    ports.sort_unstable();
    ports
}

#[test]
fn the_nearest_place_with_a_ready_gateway_is_told() {
    let gateways = [
        gateway(1, "north", "a", true),
        gateway(2, "north", "a", false),
        gateway(3, "north", "b", true),
        gateway(4, "south", "c", true),
    ]
    .map(fresh);
    assert_eq!(ports(&gateways, &place("north", "a")), [1]);
    assert_eq!(ports(&gateways, &place("north", "z")), [1, 3]);
    assert_eq!(ports(&gateways, &place("west", "y")), [1, 3, 4]);
    assert_eq!(ports(&gateways[1..2], &place("north", "a")), [0_u16; 0]);
}

#[test]
fn a_caller_without_near_gateways_is_told_those_of_the_allowed_regions() {
    let gateways = [
        gateway(1, "north", "a", true),
        gateway(2, "south", "b", true),
        gateway(3, "west", "c", false),
    ]
    .map(fresh);
    let told = |caller: &Placement, regions: &[&str]| {
        let allowed = regions.iter().map(|region| (*region).into()).collect();
        ports_for(&gateways, &SubsetSizes::new(), caller, &allowed)
    };
    assert_eq!(told(&place("west", "c"), &["south"]), [2]);
    assert_eq!(told(&place("west", "c"), &[]), [1, 2]);
    // A gateway of the caller's own region may read the request, wherever it is served.
    assert_eq!(told(&place("north", "a"), &["south"]), [1]);
    // Better far away than nowhere: servers elsewhere are not asked all the same.
    assert_eq!(told(&place("west", "c"), &["west"]), [1, 2]);
}

#[test]
fn a_silent_gateway_is_told_only_where_no_other_is_heard() {
    let gateways = [
        silent(gateway(1, "north", "a", true)),
        fresh(gateway(2, "north", "a", true)),
        silent(gateway(3, "north", "b", true)),
    ];
    assert_eq!(ports(&gateways, &place("north", "a")), [2]);
    assert_eq!(ports(&gateways, &place("north", "b")), [2]);
    let all_silent = gateways.map(|(status, _)| silent(status));
    assert_eq!(ports(&all_silent, &place("north", "a")), [1, 2]);
}

/// Sizes where zone `a` has the traffic of `busy` gateways that are always at work.
fn sizes_for(busy: f64) -> SubsetSizes {
    let mut size = SubsetSize::default();
    size.observe(Instant::now(), busy);
    SubsetSizes::from([("a".into(), size)])
}

fn many(count: u16) -> Vec<Heard> {
    let all = 1..=count;
    all.map(|port| fresh(gateway(port, "north", "a", true)))
        .collect()
}

#[test]
fn no_more_addresses_are_told_than_callers_take() {
    let sizes = sizes_for(90.0);
    let told = ports_of_subset(&many(90), &sizes, &place("north", "a"));
    assert_eq!(told.len(), 64);
}

#[test]
fn callers_are_told_of_few_gateways_where_the_traffic_needs_no_more() {
    let caller = place("north", "a");
    let calm = ports(&many(34), &caller);
    assert_eq!(calm.len(), 4);
    let busy = ports_of_subset(&many(34), &sizes_for(5.0), &caller);
    assert!(busy.len() > 10 && busy.len() < 34, "{busy:?}");
    assert!(calm.iter().all(|port| busy.contains(port)));
    assert_eq!(ports(&many(3), &caller), [1, 2, 3]);
}

#[test]
fn a_named_gateway_that_is_lost_is_replaced_and_the_others_stay() {
    let caller = place("north", "a");
    let mut gateways = many(34);
    let before = ports(&gateways, &caller);
    for lost in before.clone() {
        let index = usize::from(lost) - 1;
        let kept = gateways[index].clone();
        gateways[index].0.is_ready = false;
        let stopping = ports(&gateways, &caller);
        gateways[index] = silent(kept.0.clone());
        assert_eq!(ports(&gateways, &caller), stopping);
        gateways[index] = kept;
        let stayed = before.iter().filter(|port| stopping.contains(port));
        assert_eq!(stayed.count(), before.len() - 1);
        assert_eq!(stopping.len(), before.len());
        assert!(!stopping.contains(&lost));
    }
}

#[test]
fn one_gateway_more_moves_one_named_gateway_at_most() {
    let caller = place("north", "a");
    for count in 4..60 {
        let before = ports(&many(count), &caller);
        let after = ports(&many(count + 1), &caller);
        let stayed = before.iter().filter(|port| after.contains(port));
        assert!(stayed.count() + 1 >= before.len());
    }
}

/// The load of a gateway that has begun so many attempts.
fn attempts(attempts: u32) -> GatewayLoad {
    GatewayLoad {
        busy_permille: 10,
        attempts,
    }
}

#[test]
fn those_that_are_named_or_have_served_lately_share_what_servers_bear() {
    let mut sessions = Sessions::default();
    let named = ports(&many(30), &place("north", "a"));
    let other = (1..=30).find(|port| !named.contains(port));
    let other = other.expect("one is not named");
    for port in 1..=30 {
        let session = u64::from(port);
        let load = attempts(if named.contains(&port) { 100 } else { 3 });
        sessions.take(session, gateway(port, "north", "a", true));
        sessions.take_load(session, load);
    }
    let now = Instant::now();
    sessions.resize(now);
    let sharers = sessions.sharers(now);
    assert_eq!(sharers.counts[&"a".into()], 4);
    let sharing: BTreeSet<u16> = sharers.addresses.iter().map(SocketAddr::port).collect();
    assert_eq!(sharing, named.iter().copied().collect());
    sessions.take_load(u64::from(other), attempts(50));
    sessions.resize(now);
    sessions.take_load(u64::from(other), attempts(0));
    sessions.resize(now + Duration::from_secs(1));
    assert_eq!(sessions.sharers(now).counts[&"a".into()], 5);
    let later = now + Duration::from_secs(11);
    assert_eq!(sessions.sharers(later).counts[&"a".into()], 4);
}

#[test]
fn a_replaced_session_says_nothing_any_more_and_takes_nothing_with_it() {
    let mut sessions = Sessions::default();
    let ready = |is_ready| gateway(1, "north", "a", is_ready);
    sessions.take(1, ready(false));
    sessions.take(2, ready(true));
    sessions.take(1, ready(false));
    let heard = |sessions: &Sessions| -> Vec<bool> {
        let reports = sessions.order.reports();
        reports.map(|report| report.status.is_ready).collect()
    };
    assert_eq!(heard(&sessions), [true]);
    sessions.remove(1);
    assert_eq!(heard(&sessions).len(), 1);
    sessions.remove(2);
    assert!(heard(&sessions).is_empty());
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
        started_at_ms: None,
    }
}

#[test]
fn a_reading_without_news_keeps_its_number_and_a_new_term_starts_over() {
    let gateways = Gateways::new();
    let number = || gateways.listing().borrow().number;
    gateways.apply_read_listing(3, vec![listed(900, false)]);
    let first = number();
    gateways.apply_read_listing(3, vec![listed(100, false)]);
    assert_eq!(number(), first);
    gateways.apply_read_listing(3, vec![listed(0, true)]);
    let second = number();
    assert!(second > first);
    gateways.apply_read_listing(4, vec![listed(0, true)]);
    assert!(number() > second);
}

#[test]
fn a_server_that_turns_cold_again_is_news_and_one_that_has_become_warm_is_none() {
    let gateways = Gateways::new();
    let number = || gateways.listing().borrow().number;
    gateways.apply_read_listing(3, vec![listed(900, false)]);
    let first = number();
    gateways.apply_read_listing(3, vec![listed(0, false)]);
    assert_eq!(number(), first);
    gateways.apply_read_listing(3, vec![listed(2_500, false)]);
    assert!(number() > first);
    let listing = Arc::clone(&gateways.listing().borrow());
    let encoded = gateways.encode_listing(&listing, first).expect("a message");
    let message = rmp_serde::from_slice(&encoded.bytes()).expect("it can be decoded");
    let ControlToGateway::ListingChange(change) = message else {
        panic!("{message:?}");
    };
    assert_eq!(change.changed, [listed(2_500, false)]);
}

/// The name of the message that brings a gateway from the reading `held` to the latest.
fn listing_message(gateways: &Gateways, held: ListingNumber) -> &'static str {
    let listing = Arc::clone(&gateways.listing().borrow());
    let encoded = gateways.encode_listing(&listing, held);
    let bytes = encoded.expect("it can be encoded").bytes();
    match rmp_serde::from_slice(&bytes).expect("it can be decoded") {
        ControlToGateway::Listing(whole) => {
            assert_eq!(whole.number, listing.number);
            "whole"
        }
        ControlToGateway::ListingChange(change) => {
            assert_eq!((change.base, change.number), (held, listing.number));
            "change"
        }
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_gateway_is_sent_what_has_changed_or_all_where_its_reading_is_not_known() {
    let gateways = Gateways::new();
    let number = || gateways.listing().borrow().number;
    let none = ListingNumber::default();
    gateways.apply_read_listing(3, vec![listed(0, false)]);
    let first = number();
    assert_eq!(listing_message(&gateways, none), "whole");
    gateways.apply_read_listing(3, vec![listed(0, true)]);
    assert_eq!(listing_message(&gateways, first), "change");
    assert_eq!(listing_message(&gateways, none), "whole");
    let of_another = ListingNumber {
        term: 2,
        reading: 1,
    };
    assert_eq!(listing_message(&gateways, of_another), "whole");
    for _ in 0..4 {
        gateways.apply_read_listing(3, vec![listed(0, false)]);
        gateways.apply_read_listing(3, vec![listed(0, true)]);
    }
    assert_eq!(listing_message(&gateways, first), "whole");
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
