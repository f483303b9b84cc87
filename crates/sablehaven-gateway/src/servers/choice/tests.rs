//! A table of situations, each with the server that is to be chosen.

use std::time::Duration;

use sablehaven_types::Distance;

use super::{Candidate, Choice};

const USUAL: Duration = Duration::from_millis(28);

/// The choice among candidates that are looked at in this order.
fn choose<Key>(
    candidates: impl IntoIterator<Item = (Key, Candidate)>,
    usual: Duration,
    draw: f64,
) -> Option<Key> {
    let mut choice = Choice::new(usual);
    for (key, candidate) in candidates {
        if !choice.is_too_far(candidate.distance, candidate.round_trip) {
            choice.look_at(key, &candidate);
        }
    }
    choice.draw(draw)
}

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

#[test]
fn far_servers_are_looked_at_only_where_they_could_be_chosen() {
    let is_looked_at = |near: Candidate| {
        let mut choice = Choice::new(USUAL);
        choice.look_at("near", &near);
        !choice.is_too_far(far().distance, far().round_trip)
    };
    assert!(!is_looked_at(near()));
    let slow = |slowness| Candidate { slowness, ..near() };
    assert!(!is_looked_at(slow(1.3)));
    assert!(is_looked_at(slow(1.6)));
    let still = Candidate {
        stands_still: true,
        ..near()
    };
    assert!(is_looked_at(still));
}

/// Over many kinds of near and far servers: leaving servers out never changes which ones may be chosen.
#[test]
fn what_is_left_out_could_not_have_been_chosen() {
    let slownesses = [0.01, 0.1, 0.4, 1.0, 1.5, 3.0, 9.0];
    let trips = [0, 1, 5, 24, 60].map(Duration::from_millis);
    for usual in [1, 9, 28, 220].map(Duration::from_millis) {
        for (near_slowness, far_slowness) in slownesses
            .into_iter()
            .flat_map(|near| slownesses.map(|far| (near, far)))
        {
            for round_trip in trips {
                let near = Candidate {
                    slowness: near_slowness,
                    ..near()
                };
                let far = Candidate {
                    slowness: far_slowness,
                    round_trip,
                    ..far()
                };
                for draw in [0.0, 0.99] {
                    let mut all = Choice::new(usual);
                    all.look_at("near", &near);
                    all.look_at("far", &far);
                    let chosen = choose([("near", near), ("far", far)], usual, draw);
                    assert_eq!(chosen, all.draw(draw), "{near:?} {far:?}");
                }
            }
        }
    }
}
