//! Scenarios with a single router: which back ends receive work and which do not.

mod support;

use std::collections::BTreeMap;

use sablehaven_routing::{AttemptOutcome, ExtraAttemptKind};
use sablehaven_types::{BackendId, BackendState, MissingReason, ObservationKind, RoutingSettings};
use support::{SHARD, Service, attempt_result, backend, millis, replied, replied_with_load};

fn three_in_agent_zone() -> Vec<sablehaven_types::BackendRecord> {
    ["one", "two", "three"]
        .map(|name| backend(name, "a", "a1"))
        .to_vec()
}

fn attempt_counts(service: &mut Service, attempts: u64, start_ms: u64) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for attempt in 0..attempts {
        let chosen = service.attempt(millis(start_ms + attempt), |_| replied());
        *counts
            .entry(chosen.expect("a replica is live"))
            .or_default() += 1;
    }
    counts
}

#[test]
fn near_replicas_get_the_work_while_they_have_capacity() {
    let mut backends = three_in_agent_zone();
    backends.push(backend("far", "b", "b1"));
    let mut service = Service::new(backends, RoutingSettings::default());
    let counts = attempt_counts(&mut service, 600, 0);
    assert_eq!(counts.get("far"), None);
    assert!(counts.values().all(|&count| count > 100), "{counts:?}");
}

#[test]
fn a_back_end_gets_nothing_after_its_first_draining_reply() {
    let mut service = Service::new(three_in_agent_zone(), RoutingSettings::default());
    let one = BackendId::from("one");
    let draining = attempt_result(AttemptOutcome::Draining, millis(1));
    service.router.finished(millis(1), &one, draining);
    assert!(!attempt_counts(&mut service, 500, 2).contains_key("one"));

    let observations = service.router.take_observations();
    assert_eq!(observations.len(), 1);
    assert_eq!(observations[0].kind, ObservationKind::Draining);
    assert_eq!(observations[0].backend, one);

    service.backends[0].incarnation = 2;
    service.publish(millis(1_000));
    assert!(attempt_counts(&mut service, 500, 60_000).contains_key("one"));
}

#[test]
fn a_leaving_back_end_gets_nothing_and_the_last_one_leaves_the_shard_without_replica() {
    let mut service = Service::new(three_in_agent_zone(), RoutingSettings::default());
    service.backends[0].state = BackendState::Leaving;
    service.publish(millis(1));
    assert!(!attempt_counts(&mut service, 500, 2).contains_key("one"));
    for record in &mut service.backends {
        record.state = BackendState::Leaving;
    }
    service.publish(millis(1_000));
    assert_eq!(service.router.choose(millis(1_001), SHARD, &[]), None);
    let reason = service.router.no_choice_reason(millis(1_001), SHARD, &[]);
    assert_eq!(reason, MissingReason::NoReplica);
}

#[test]
fn a_failing_back_end_is_ejected_reported_probed_and_reinstated() {
    let mut service = Service::new(three_in_agent_zone(), RoutingSettings::default());
    let one_fails = |name: &str| match name {
        "one" => attempt_result(AttemptOutcome::Failed, millis(1)),
        _ => replied(),
    };
    for now_ms in 0..200 {
        service.attempt(millis(now_ms), one_fails);
    }
    let observations = service.router.take_observations();
    assert_eq!(observations.len(), 1);
    assert_eq!(observations[0].kind, ObservationKind::Unreachable);

    let mut sent_to_one = 0;
    for now_ms in 200..3_000 {
        let chosen = service.attempt(millis(now_ms), one_fails);
        sent_to_one += u32::from(chosen.as_deref() == Some("one"));
    }
    assert!(
        (1..=3).contains(&sent_to_one),
        "expected only probes: {sent_to_one}"
    );

    let counts = attempt_counts(&mut service, 30_000, 3_000);
    assert!(counts["one"] > 5_000, "{counts:?}");
    let observations = service.router.take_observations();
    assert_eq!(observations[0].kind, ObservationKind::Reachable);
}

#[test]
fn ejection_keeps_half_of_the_replicas() {
    let mut service = Service::new(three_in_agent_zone(), RoutingSettings::default());
    for now_ms in 0..500 {
        service.attempt(millis(now_ms), |_| {
            attempt_result(AttemptOutcome::Failed, millis(1))
        });
    }
    assert_eq!(service.router.state().ejected, 1);
}

#[test]
fn own_requests_in_flight_count_immediately() {
    let mut service = Service::new(three_in_agent_zone(), RoutingSettings::default());
    let one = BackendId::from("one");
    for _ in 0..8 {
        service.router.sent(millis(0), &one);
    }
    let counts = attempt_counts(&mut service, 300, 0);
    assert!(!counts.contains_key("one"), "{counts:?}");
}

#[test]
fn a_fresh_load_report_diverts_work_and_an_old_one_does_not() {
    for (age_ms, expected) in [(0, 0..=20), (3_000, 80..=120)] {
        let mut service = Service::new(three_in_agent_zone(), RoutingSettings::default());
        let one = BackendId::from("one");
        let mut sent_to_one = 0;
        for now_ms in 0..300 {
            service.router.sent(millis(now_ms), &one);
            let report = replied_with_load(12, millis(age_ms));
            service.router.finished(millis(now_ms), &one, report);
            let chosen = service.attempt(millis(now_ms), |name| match name {
                "one" => replied_with_load(12, millis(age_ms)),
                _ => replied_with_load(1, millis(age_ms)),
            });
            sent_to_one += u32::from(chosen.as_deref() == Some("one"));
        }
        assert!(
            expected.contains(&sent_to_one),
            "{age_ms} ms: {sent_to_one}"
        );
    }
}

#[test]
fn a_new_back_end_starts_slowly() {
    let mut service = Service::new(three_in_agent_zone(), RoutingSettings::default());
    service.backends.push(backend("new", "a", "a1"));
    service.publish(millis(1_000));
    let count_at_start = attempt_counts(&mut service, 1_000, 1_000)["new"];
    let count_after_slow_start = attempt_counts(&mut service, 1_000, 20_000)["new"];
    assert!(count_at_start < 120, "{count_at_start}");
    assert!(count_after_slow_start > 200, "{count_after_slow_start}");
}

#[test]
fn a_back_end_that_sheds_all_it_gets_is_only_probed() {
    let mut service = Service::new(three_in_agent_zone(), RoutingSettings::default());
    let one_sheds = |name: &str| match name {
        "one" => attempt_result(AttemptOutcome::Shed, millis(1)),
        _ => replied(),
    };
    let mut sent_to_one = 0;
    for now_ms in 0..20_000 {
        let chosen = service.attempt(millis(now_ms), one_sheds);
        sent_to_one += u32::from(chosen.as_deref() == Some("one"));
    }
    assert!(sent_to_one < 20, "{sent_to_one}");
    assert!(service.router.state().admission_limit.is_none());
}

#[test]
fn no_hedge_without_an_alternative_or_before_latencies_are_known() {
    let mut service = Service::new(three_in_agent_zone(), RoutingSettings::default());
    let one = BackendId::from("one");
    assert_eq!(service.router.hedge_after(millis(0), SHARD, &one), None);
    attempt_counts(&mut service, 500, 0);
    let delay = service.router.hedge_after(millis(500), SHARD, &one);
    assert!(delay.is_some_and(|delay| (millis(4)..=millis(6)).contains(&delay)));
    service.backends.truncate(1);
    service.publish(millis(1_000));
    assert_eq!(service.router.hedge_after(millis(1_000), SHARD, &one), None);
}

#[test]
fn the_first_shed_attempt_reduces_the_budget_and_one_in_twenty_stops_hedges() {
    let mut service = Service::new(three_in_agent_zone(), RoutingSettings::default());
    attempt_counts(&mut service, 1_000, 0);
    assert!(
        service
            .router
            .take_extra(millis(1_000), ExtraAttemptKind::Hedge)
    );
    let one = BackendId::from("one");
    let shed = attempt_result(AttemptOutcome::Shed, millis(1));
    service.router.finished(millis(1_000), &one, shed);
    assert!(service.router.state().budget_factor < 0.99);

    for now_ms in 1_000..2_000 {
        service.attempt(millis(now_ms), |_| replied());
        if now_ms % 20 == 0 {
            service.router.finished(millis(now_ms), &one, shed);
        }
    }
    assert!(
        !service
            .router
            .take_extra(millis(2_000), ExtraAttemptKind::Hedge)
    );
    assert!(
        service
            .router
            .take_extra(millis(2_000), ExtraAttemptKind::Retry)
    );

    attempt_counts(&mut service, 500, 2_000);
    assert!(
        !service
            .router
            .take_extra(millis(2_500), ExtraAttemptKind::Hedge)
    );
    attempt_counts(&mut service, 10_000, 2_500);
    assert!(
        service
            .router
            .take_extra(millis(12_500), ExtraAttemptKind::Hedge)
    );
}

#[test]
fn the_same_seed_gives_the_same_decisions() {
    let choices = |_| {
        let mut service = Service::new(three_in_agent_zone(), RoutingSettings::default());
        (0..200)
            .map(|now_ms| service.attempt(millis(now_ms), |_| replied()))
            .collect::<Vec<_>>()
    };
    assert_eq!(choices(0), choices(1));
}
