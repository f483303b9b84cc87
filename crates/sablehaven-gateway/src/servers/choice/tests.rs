//! A table of situations, each with the server that is to be chosen.

use std::time::Duration;

use sablehaven_types::Distance;

use super::{Candidate, choose};

const USUAL: Duration = Duration::from_millis(28);

fn near() -> Candidate {
    Candidate {
        distance: Distance::Zone,
        round_trip: Duration::from_micros(200),
        slowness: 1.0,
        failure_rate: 0.0,
        outstanding: 0,
        lanes: 5,
        stands_still: false,
        is_resting: false,
        is_cold: false,
    }
}

fn far() -> Candidate {
    Candidate {
        distance: Distance::Remote,
        round_trip: Duration::from_millis(24),
        ..near()
    }
}

fn is_near_chosen(near: Candidate, far: Candidate) -> bool {
    choose([(true, near), (false, far)], USUAL, 0.5).expect("a server")
}

#[test]
fn the_near_server_is_left_only_for_a_reason() {
    assert!(is_near_chosen(near(), far()));
    let busy = Candidate {
        outstanding: 4,
        ..near()
    };
    assert!(is_near_chosen(busy, far()));
    let cold = Candidate {
        is_cold: true,
        ..near()
    };
    assert!(is_near_chosen(cold, far()));
    let slow = Candidate {
        slowness: 4.0,
        ..near()
    };
    assert!(!is_near_chosen(slow, far()));
    let still = Candidate {
        stands_still: true,
        ..near()
    };
    assert!(!is_near_chosen(still, far()));
    let resting = Candidate {
        is_resting: true,
        ..near()
    };
    assert!(!is_near_chosen(resting, far()));
}

#[test]
fn few_connections_count_as_a_queue() {
    let queued = Candidate {
        lanes: 2,
        outstanding: 6,
        ..far()
    };
    let slow = Candidate {
        slowness: 3.0,
        ..near()
    };
    assert!(is_near_chosen(slow, queued));
    assert!(!is_near_chosen(
        slow,
        Candidate {
            outstanding: 0,
            ..queued
        }
    ));
}

#[test]
fn a_resting_server_is_better_than_none() {
    let resting = Candidate {
        is_resting: true,
        ..near()
    };
    assert_eq!(choose([((), resting)], USUAL, 0.0), Some(()));
    assert_eq!(choose::<()>([], USUAL, 0.0), None);
}

#[test]
fn equal_servers_share_the_work() {
    let drawn = |draw| choose([(1, near()), (2, near())], USUAL, draw);
    assert_eq!(drawn(0.0), Some(1));
    assert_eq!(drawn(0.99), Some(2));
}

#[test]
fn a_near_server_that_fails_often_is_left() {
    let failing = |failure_rate: f64| Candidate {
        failure_rate,
        ..near()
    };
    assert!(is_near_chosen(failing(0.05), far()));
    assert!(!is_near_chosen(failing(0.4), far()));
}
