//! Tests of which server is chosen in which situation.

use std::time::Duration;

use sablehaven_types::Distance;

use super::{Candidate, Choice};

const TYPICAL: Duration = Duration::from_millis(28);

/// Chooses among the candidates, considered in this order.
fn choose<K>(
    candidates: impl IntoIterator<Item = (K, Candidate)>,
    typical: Duration,
    draw: f64,
) -> Option<K> {
    let mut choice = Choice::new(typical);
    for (key, candidate) in candidates {
        if !choice.is_too_far(candidate.distance, candidate.round_trip) {
            choice.consider(key, &candidate);
        }
    }
    choice.pick(draw)
}

fn near() -> Candidate {
    Candidate {
        distance: Distance::Zone,
        round_trip: Duration::from_micros(200),
        service_time_ratio: 1.0,
        failure_rate: 0.0,
        outstanding: 0,
        concurrency: 5,
        is_stalled: false,
        is_in_backoff: false,
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
    choose([(true, near), (false, far)], TYPICAL, 0.5).expect("a server")
}

#[test]
fn the_near_server_is_chosen_unless_it_is_slow_stalled_or_in_backoff() {
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
        service_time_ratio: 4.0,
        ..near()
    };
    assert!(!is_near_chosen(slow, far()));
    let stalled = Candidate {
        is_stalled: true,
        ..near()
    };
    assert!(!is_near_chosen(stalled, far()));
    let in_backoff = Candidate {
        is_in_backoff: true,
        ..near()
    };
    assert!(!is_near_chosen(in_backoff, far()));
}

#[test]
fn a_low_connection_limit_raises_the_queueing_cost() {
    let queued = Candidate {
        concurrency: 2,
        outstanding: 6,
        ..far()
    };
    let slow = Candidate {
        service_time_ratio: 3.0,
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
fn a_server_in_backoff_is_chosen_if_there_is_no_other() {
    let in_backoff = Candidate {
        is_in_backoff: true,
        ..near()
    };
    assert_eq!(choose([((), in_backoff)], TYPICAL, 0.0), Some(()));
    assert_eq!(choose::<()>([], TYPICAL, 0.0), None);
}

#[test]
fn requests_are_spread_over_equal_servers() {
    let pick = |draw| choose([(1, near()), (2, near())], TYPICAL, draw);
    assert_eq!(pick(0.0), Some(1));
    assert_eq!(pick(0.99), Some(2));
}

#[test]
fn a_near_server_that_fails_often_is_avoided() {
    let failing = |failure_rate: f64| Candidate {
        failure_rate,
        ..near()
    };
    assert!(is_near_chosen(failing(0.05), far()));
    assert!(!is_near_chosen(failing(0.4), far()));
}

#[test]
fn far_servers_are_considered_only_if_they_could_be_chosen() {
    let is_considered = |near: Candidate| {
        let mut choice = Choice::new(TYPICAL);
        choice.consider("near", &near);
        !choice.is_too_far(far().distance, far().round_trip)
    };
    assert!(!is_considered(near()));
    let slow = |service_time_ratio| Candidate {
        service_time_ratio,
        ..near()
    };
    assert!(!is_considered(slow(1.3)));
    assert!(is_considered(slow(1.6)));
    let stalled = Candidate {
        is_stalled: true,
        ..near()
    };
    assert!(is_considered(stalled));
}

/// For many combinations of near and far servers, skipping the servers that are too far never changes the choice.
#[test]
fn skipped_servers_could_not_have_been_chosen() {
    let service_time_ratios = [0.01, 0.1, 0.4, 1.0, 1.5, 3.0, 9.0];
    let round_trips = [0, 1, 5, 24, 60].map(Duration::from_millis);
    for typical in [1, 9, 28, 220].map(Duration::from_millis) {
        for (near_service_time_ratio, far_service_time_ratio) in service_time_ratios
            .into_iter()
            .flat_map(|near| service_time_ratios.map(|far| (near, far)))
        {
            for round_trip in round_trips {
                let near = Candidate {
                    service_time_ratio: near_service_time_ratio,
                    ..near()
                };
                let far = Candidate {
                    service_time_ratio: far_service_time_ratio,
                    round_trip,
                    ..far()
                };
                for draw in [0.0, 0.99] {
                    let mut all = Choice::new(typical);
                    all.consider("near", &near);
                    all.consider("far", &far);
                    let chosen = choose([("near", near), ("far", far)], typical, draw);
                    assert_eq!(chosen, all.pick(draw), "{near:?} {far:?}");
                }
            }
        }
    }
}
