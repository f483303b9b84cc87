//! Tests of the selection of advertised gateways and of the distribution of listings.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use sablehaven_types::{AllowedRegions, ListedServer, ListingNumber, Placement, ServerListing};
use sablehaven_wire::{ControlToGateway, GatewayLoad, GatewayStatus};

use super::{
    Gateways,
    advertised::{AdvertisedGateways, SubsetSizes},
    order::{GatewayOrder, GatewayReport},
    registry::has_settled,
    sessions::Sessions,
    subset::SubsetSize,
};

fn placement(region: &str, zone: &str) -> Placement {
    Placement {
        region: region.into(),
        zone: zone.into(),
    }
}

fn gateway(port: u16, region: &str, zone: &str, is_ready: bool) -> GatewayStatus {
    GatewayStatus {
        address: ([127, 0, 0, 1], port).into(),
        placement: placement(region, zone),
        is_ready,
        routes_version: 1,
        listing: ListingNumber::default(),
        evacuation_revision: 0,
    }
}

/// A gateway's status, and the time since its last message.
type StatusAndSilence = (GatewayStatus, Duration);

fn fresh(status: GatewayStatus) -> StatusAndSilence {
    (status, Duration::ZERO)
}

fn silent(status: GatewayStatus) -> StatusAndSilence {
    (status, Duration::from_secs(1))
}

fn ports(gateways: &[StatusAndSilence], caller: &Placement) -> Vec<u16> {
    ports_of_subset(gateways, &SubsetSizes::new(), caller)
}

fn ports_of_subset(
    gateways: &[StatusAndSilence],
    sizes: &SubsetSizes,
    caller: &Placement,
) -> Vec<u16> {
    ports_for(gateways, sizes, caller, &AllowedRegions::default())
}

/// Like [`ports_of_subset`], for a host that only the `allowed` regions may serve.
fn ports_for(
    gateways: &[StatusAndSilence],
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
            last_report_at: now - *silent_for,
            last_served_at: None,
        });
    }
    let chosen = AdvertisedGateways::new(&order, sizes, now).nearest(caller, allowed);
    let mut ports: Vec<u16> = chosen.iter().map(std::net::SocketAddr::port).collect();
    ports.sort_unstable();
    ports
}

#[test]
fn the_nearest_scope_with_a_ready_gateway_is_advertised() {
    let gateways = [
        gateway(1, "north", "a", true),
        gateway(2, "north", "a", false),
        gateway(3, "north", "b", true),
        gateway(4, "south", "c", true),
    ]
    .map(fresh);
    assert_eq!(ports(&gateways, &placement("north", "a")), [1]);
    assert_eq!(ports(&gateways, &placement("north", "z")), [1, 3]);
    assert_eq!(ports(&gateways, &placement("west", "y")), [1, 3, 4]);
    assert_eq!(ports(&gateways[1..2], &placement("north", "a")), [0_u16; 0]);
}

#[test]
fn a_caller_without_near_gateways_gets_those_of_the_allowed_regions() {
    let gateways = [
        gateway(1, "north", "a", true),
        gateway(2, "south", "b", true),
        gateway(3, "west", "c", false),
    ]
    .map(fresh);
    let advertised_ports = |caller: &Placement, regions: &[&str]| {
        let allowed = regions.iter().map(|region| (*region).into()).collect();
        ports_for(&gateways, &SubsetSizes::new(), caller, &allowed)
    };
    assert_eq!(advertised_ports(&placement("west", "c"), &["south"]), [2]);
    assert_eq!(advertised_ports(&placement("west", "c"), &[]), [1, 2]);
    // A gateway of the caller's own region may read the request, whichever region serves it.
    assert_eq!(advertised_ports(&placement("north", "a"), &["south"]), [1]);
    // No gateway of an allowed region is ready, so those of all regions are returned: they still send requests only to
    // servers of allowed regions.
    assert_eq!(advertised_ports(&placement("west", "c"), &["west"]), [1, 2]);
}

#[test]
fn a_silent_gateway_is_advertised_only_if_no_other_is_fresh() {
    let gateways = [
        silent(gateway(1, "north", "a", true)),
        fresh(gateway(2, "north", "a", true)),
        silent(gateway(3, "north", "b", true)),
    ];
    assert_eq!(ports(&gateways, &placement("north", "a")), [2]);
    assert_eq!(ports(&gateways, &placement("north", "b")), [2]);
    let all_silent = gateways.map(|(status, _)| silent(status));
    assert_eq!(ports(&all_silent, &placement("north", "a")), [1, 2]);
}

/// Returns the subset sizes for a zone `a` whose traffic keeps `busy` gateways always busy.
fn sizes_for(busy: f64) -> SubsetSizes {
    let mut size = SubsetSize::default();
    size.observe(Instant::now(), busy);
    SubsetSizes::from([("a".into(), size)])
}

fn many(count: u16) -> Vec<StatusAndSilence> {
    let all = 1..=count;
    all.map(|port| fresh(gateway(port, "north", "a", true)))
        .collect()
}

#[test]
fn the_number_of_advertised_addresses_is_bounded() {
    let sizes = sizes_for(90.0);
    let advertised_ports = ports_of_subset(&many(90), &sizes, &placement("north", "a"));
    assert_eq!(advertised_ports.len(), 64);
}

#[test]
fn few_gateways_are_advertised_if_the_traffic_needs_no_more() {
    let caller = placement("north", "a");
    let calm = ports(&many(34), &caller);
    assert_eq!(calm.len(), 4);
    let busy = ports_of_subset(&many(34), &sizes_for(5.0), &caller);
    assert!(busy.len() > 10 && busy.len() < 34, "{busy:?}");
    assert!(calm.iter().all(|port| busy.contains(port)));
    assert_eq!(ports(&many(3), &caller), [1, 2, 3]);
}

#[test]
fn a_lost_advertised_gateway_is_replaced_and_the_others_stay() {
    let caller = placement("north", "a");
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
fn an_added_gateway_replaces_at_most_one_advertised_gateway() {
    let caller = placement("north", "a");
    for count in 4..60 {
        let before = ports(&many(count), &caller);
        let after = ports(&many(count + 1), &caller);
        let stayed = before.iter().filter(|port| after.contains(port));
        assert!(stayed.count() + 1 >= before.len());
    }
}

/// Returns the load of a gateway with this number of attempts.
fn attempts(attempts: u32) -> GatewayLoad {
    GatewayLoad {
        busy_permille: 10,
        attempts,
    }
}

#[test]
fn advertised_and_recently_serving_gateways_are_sharers() {
    let mut sessions = Sessions::default();
    let advertised = ports(&many(30), &placement("north", "a"));
    let other = (1..=30).find(|port| !advertised.contains(port));
    let other = other.expect("one gateway is not advertised");
    for port in 1..=30 {
        let session = u64::from(port);
        let load = attempts(if advertised.contains(&port) { 100 } else { 3 });
        sessions.record_status(session, gateway(port, "north", "a", true));
        sessions.record_load(session, load);
    }
    let now = Instant::now();
    sessions.update_subset_sizes(now);
    let sharers = sessions.sharers(now);
    assert_eq!(sharers.counts[&"a".into()], 4);
    let sharing: BTreeSet<u16> = sharers.addresses.iter().map(SocketAddr::port).collect();
    assert_eq!(sharing, advertised.iter().copied().collect());
    sessions.record_load(u64::from(other), attempts(50));
    sessions.update_subset_sizes(now);
    sessions.record_load(u64::from(other), attempts(0));
    sessions.update_subset_sizes(now + Duration::from_secs(1));
    assert_eq!(sessions.sharers(now).counts[&"a".into()], 5);
    let later = now + Duration::from_secs(11);
    assert_eq!(sessions.sharers(later).counts[&"a".into()], 4);
}

#[test]
fn a_replaced_session_neither_changes_nor_removes_the_report_of_its_gateway() {
    let mut sessions = Sessions::default();
    let ready = |is_ready| gateway(1, "north", "a", is_ready);
    sessions.record_status(1, ready(false));
    sessions.record_status(2, ready(true));
    sessions.record_status(1, ready(false));
    let readiness = |sessions: &Sessions| -> Vec<bool> {
        let reports = sessions.order.reports();
        reports.map(|report| report.status.is_ready).collect()
    };
    assert_eq!(readiness(&sessions), [true]);
    sessions.remove(1);
    assert_eq!(readiness(&sessions).len(), 1);
    sessions.remove(2);
    assert!(readiness(&sessions).is_empty());
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
fn a_list_without_changes_keeps_its_number_and_a_new_term_gets_a_new_one() {
    let gateways = Gateways::new(ServerListing::default());
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
fn a_server_that_becomes_cold_is_a_change_and_one_that_becomes_warm_is_not() {
    let gateways = Gateways::new(ServerListing::default());
    let number = || gateways.listing().borrow().number;
    gateways.apply_read_listing(3, vec![listed(900, false)]);
    let first = number();
    gateways.apply_read_listing(3, vec![listed(0, false)]);
    assert_eq!(number(), first);
    gateways.apply_read_listing(3, vec![listed(2_500, false)]);
    assert!(number() > first);
    let listing = Arc::clone(&gateways.listing().borrow());
    let encoded = gateways.encode_listing(&listing, first).expect("a message");
    let message = rmp_serde::from_slice(&encoded.bytes()).expect("message decodes");
    let ControlToGateway::ListingChange(change) = message else {
        panic!("{message:?}");
    };
    assert_eq!(change.changed, [listed(2_500, false)]);
}

/// Returns the kind of the message that brings a gateway from the listing numbered `held` to the latest one.
fn listing_message(gateways: &Gateways, held: ListingNumber) -> &'static str {
    let listing = Arc::clone(&gateways.listing().borrow());
    let encoded = gateways.encode_listing(&listing, held);
    let bytes = encoded.expect("listing encodes").bytes();
    match rmp_serde::from_slice(&bytes).expect("message decodes") {
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
fn a_gateway_is_sent_a_change_or_the_complete_listing_if_its_listing_is_unknown() {
    let gateways = Gateways::new(ServerListing::default());
    let number = || gateways.listing().borrow().number;
    let none = ListingNumber::default();
    gateways.apply_read_listing(3, vec![listed(0, false)]);
    let first = number();
    assert_eq!(listing_message(&gateways, none), "whole");
    gateways.apply_read_listing(3, vec![listed(0, true)]);
    assert_eq!(listing_message(&gateways, first), "change");
    assert_eq!(listing_message(&gateways, none), "whole");
    let of_another_leader = ListingNumber {
        term: 2,
        reading: 1,
    };
    assert_eq!(listing_message(&gateways, of_another_leader), "whole");
    for _ in 0..4 {
        gateways.apply_read_listing(3, vec![listed(0, false)]);
        gateways.apply_read_listing(3, vec![listed(0, true)]);
    }
    assert_eq!(listing_message(&gateways, first), "whole");
}

#[test]
fn gateways_have_settled_after_a_quiet_period_or_the_maximum_time() {
    let ms = Duration::from_millis;
    assert!(!has_settled(ms(500), Some(ms(400))));
    assert!(!has_settled(ms(700), Some(ms(100))));
    assert!(!has_settled(ms(700), None));
    assert!(has_settled(ms(700), Some(ms(400))));
    assert!(has_settled(ms(3_000), Some(ms(10))));
    assert!(has_settled(ms(3_000), None));
}
