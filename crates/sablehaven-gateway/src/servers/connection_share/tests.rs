//! Tests of how a server's connections are shared.

use std::time::Duration;

use super::{ConnectionShare, SharerCount, connection_share};

#[test]
fn many_connections_are_shared_by_nearness() {
    let sharers = SharerCount { near: 4, far: 8 };
    assert_eq!(connection_share(41, 8, sharers, true).limit, 6);
    assert_eq!(connection_share(41, 8, sharers, false).limit, 2);
    let sharers = SharerCount { near: 3, far: 9 };
    let far = connection_share(41, 8, sharers, false);
    assert_eq!(far.limit, 2);
    assert!(far.kept < 1.0);
}

#[test]
fn no_more_than_the_server_works_on_at_once() {
    let sharers = SharerCount { near: 4, far: 8 };
    assert_eq!(connection_share(110, 3, sharers, true).limit, 3);
    assert_eq!(connection_share(110, 0, sharers, true).limit, 1);
}

#[test]
fn near_gateways_have_two_where_the_server_takes_enough() {
    let sharers = SharerCount { near: 23, far: 49 };
    assert_eq!(connection_share(65, 4, sharers, true).limit, 2);
    assert_eq!(connection_share(65, 4, sharers, false).limit, 1);
}

#[test]
fn what_is_open_on_average_stays_within_the_limit() {
    for whole in [0, 1, 12, 30, 41, 65, 74, 110, 460] {
        for near in [1, 2, 5, 12, 30] {
            for far in [0, 4, 10, 60, 160] {
                let sharers = SharerCount { near, far };
                let open = |is_near: bool| {
                    let share = connection_share(whole, 4, sharers, is_near);
                    assert!(share.limit >= 1);
                    assert!((0.0..=1.0).contains(&share.kept));
                    share.limit as f64 * share.kept
                };
                let open = f64::from(near) * open(true) + f64::from(far) * open(false);
                assert!(
                    open <= f64::from(whole) + 1e-6,
                    "{whole} connections, {sharers:?}: {open}"
                );
            }
        }
    }
}

#[test]
fn connections_beyond_the_first_are_kept_for_less() {
    let usual = Duration::from_secs(8);
    let share = ConnectionShare {
        limit: 4,
        kept: 0.5,
    };
    assert_eq!(share.rest(usual, 0), Duration::from_secs(4));
    assert_eq!(share.rest(usual, 1), Duration::from_secs(1));
    assert!(share.rest(usual, 3) < Duration::from_millis(300));
}
