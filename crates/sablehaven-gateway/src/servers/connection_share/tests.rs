//! Tests of how a server's connections are shared.

use std::time::Duration;

use super::{ConnectionShare, GatewayCounts, connection_share};

#[test]
fn near_gateways_get_a_larger_share() {
    let gateways = GatewayCounts { near: 4, far: 8 };
    assert_eq!(connection_share(41, 8, gateways, true).limit, 6);
    assert_eq!(connection_share(41, 8, gateways, false).limit, 2);
    let gateways = GatewayCounts { near: 3, far: 9 };
    let far = connection_share(41, 8, gateways, false);
    assert_eq!(far.limit, 2);
    assert!(far.idle_fraction < 1.0);
}

#[test]
fn the_share_is_limited_by_the_slots_of_the_server() {
    let gateways = GatewayCounts { near: 4, far: 8 };
    assert_eq!(connection_share(110, 3, gateways, true).limit, 3);
    assert_eq!(connection_share(110, 0, gateways, true).limit, 1);
}

#[test]
fn near_gateways_get_two_connections_if_the_server_accepts_enough() {
    let gateways = GatewayCounts { near: 23, far: 49 };
    assert_eq!(connection_share(65, 4, gateways, true).limit, 2);
    assert_eq!(connection_share(65, 4, gateways, false).limit, 1);
}

#[test]
fn the_average_number_of_open_connections_stays_within_the_limit() {
    for total in [0, 1, 12, 30, 41, 65, 74, 110, 460] {
        for near in [1, 2, 5, 12, 30] {
            for far in [0, 4, 10, 60, 160] {
                let gateways = GatewayCounts { near, far };
                let open = |is_near: bool| {
                    let share = connection_share(total, 4, gateways, is_near);
                    assert!(share.limit >= 1);
                    assert!((0.0..=1.0).contains(&share.idle_fraction));
                    share.limit as f64 * share.idle_fraction
                };
                let open = f64::from(near) * open(true) + f64::from(far) * open(false);
                assert!(
                    open <= f64::from(total) + 1e-6,
                    "{total} connections, {gateways:?}: {open}"
                );
            }
        }
    }
}

#[test]
fn further_idle_connections_expire_sooner() {
    let base = Duration::from_secs(8);
    let share = ConnectionShare {
        limit: 4,
        idle_fraction: 0.5,
    };
    assert_eq!(share.idle_timeout(base, 0), Duration::from_secs(4));
    assert_eq!(share.idle_timeout(base, 1), Duration::from_secs(1));
    assert!(share.idle_timeout(base, 3) < Duration::from_millis(300));
}
