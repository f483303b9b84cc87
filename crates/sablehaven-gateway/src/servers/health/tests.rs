//! Tests of the conclusions from replies, missing replies and failures.

use std::time::Duration;

use super::{AttemptOutcome, AttemptTiming, ServerHealth};

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn timing(milliseconds: u64) -> AttemptTiming {
    AttemptTiming {
        service_time: ms(milliseconds),
        typical: ms(20),
        query_median: None,
    }
}

fn reply(health: &mut ServerHealth, at: u64, service_time_ms: u64) {
    let attempt = health.record_sent(ms(at), ms(20));
    health.record_end(
        ms(at + service_time_ms),
        attempt,
        AttemptOutcome::Succeeded,
        &timing(service_time_ms),
    );
}

#[test]
fn a_server_that_owes_replies_and_sends_none_is_stalled() {
    let mut health = ServerHealth::default();
    let first = health.record_sent(ms(0), ms(20));
    assert!(!health.is_stalled(ms(39)));
    assert!(health.is_stalled(ms(40)));
    health.record_end(ms(300), first, AttemptOutcome::Succeeded, &timing(300));
    assert!(!health.is_stalled(ms(300)));
}

#[test]
fn a_server_that_replies_to_other_requests_is_not_stalled_by_one_long_request() {
    let mut health = ServerHealth::default();
    health.record_sent(ms(0), ms(20));
    for at in (0..200).step_by(25) {
        reply(&mut health, at, 20);
        assert!(!health.is_stalled(ms(at + 45)));
    }
}

#[test]
fn the_service_time_ratio_rises_within_a_few_replies_and_decays_within_seconds() {
    let mut health = ServerHealth::default();
    for step in 0..8 {
        reply(&mut health, step * 200, 160);
    }
    assert!(health.service_time_ratio(ms(1_600)) > 5.0);
    assert!(health.service_time_ratio(ms(9_000)) < 1.5);
}

#[test]
fn consecutive_failures_double_the_backoff() {
    let mut health = ServerHealth::default();
    let mut fail = |at: u64| {
        let attempt = health.record_sent(ms(at), ms(20));
        health.record_end(ms(at), attempt, AttemptOutcome::TransportFailed, &timing(0));
        health.clone()
    };
    assert!(!fail(0).is_in_backoff(ms(1)));
    assert!(fail(10).is_in_backoff(ms(300)));
    assert!(!fail(1_000).is_in_backoff(ms(1_700)));
    assert!(fail(2_000).is_in_backoff(ms(3_100)));
    reply(&mut health, 3_200, 20);
    assert!(!health.is_in_backoff(ms(3_221)));
}

#[test]
fn cancelled_attempts_do_not_cause_a_backoff() {
    let mut health = ServerHealth::default();
    for at in 0..10 {
        let attempt = health.record_sent(ms(at), ms(20));
        health.record_end(ms(at), attempt, AttemptOutcome::Cancelled, &timing(0));
    }
    assert!(!health.is_in_backoff(ms(10)));
    assert_eq!(health.outstanding(), 0);
}

#[test]
fn a_suspected_server_is_stalled_until_it_replies_or_owes_no_reply() {
    let mut health = ServerHealth::default();
    let first = health.record_sent(ms(0), ms(20));
    health.mark_suspected();
    assert!(health.is_stalled(ms(1)));
    health.record_end(ms(5), first, AttemptOutcome::Cancelled, &timing(0));
    assert!(!health.is_stalled(ms(6)));
    health.record_sent(ms(10), ms(20));
    assert!(health.is_stalled(ms(11)));
    reply(&mut health, 12, 5);
    assert!(!health.is_stalled(ms(18)));
}

#[test]
fn outliers_of_a_query_raise_the_service_time_ratio_faster() {
    let mut health = ServerHealth::default();
    let with_median = |service_time_ms| AttemptTiming {
        query_median: Some(ms(20)),
        ..timing(service_time_ms)
    };
    for at in [0, 200] {
        let attempt = health.record_sent(ms(at), ms(20));
        health.record_end(
            ms(at + 160),
            attempt,
            AttemptOutcome::Succeeded,
            &with_median(160),
        );
    }
    assert!(health.service_time_ratio(ms(360)) > 5.5);
}

#[test]
fn queueing_at_all_servers_raises_the_service_time_ratio() {
    let mut health = ServerHealth::default();
    let queued = AttemptTiming {
        query_median: Some(ms(80)),
        ..timing(80)
    };
    for at in 0..8 {
        let attempt = health.record_sent(ms(at * 50), ms(20));
        health.record_end(
            ms(at * 50 + 80),
            attempt,
            AttemptOutcome::Succeeded,
            &queued,
        );
    }
    assert!(health.service_time_ratio(ms(430)) > 3.0);
}

#[test]
fn each_reply_is_compared_with_the_typical_time_of_its_route() {
    let mut health = ServerHealth::default();
    for at in 0..8 {
        reply(&mut health, at * 100, 20);
        let long = AttemptTiming {
            typical: ms(200),
            ..timing(200)
        };
        let attempt = health.record_sent(ms(at * 100), ms(200));
        health.record_end(ms(at * 100 + 50), attempt, AttemptOutcome::Succeeded, &long);
    }
    assert!((health.service_time_ratio(ms(800)) - 1.0).abs() < 0.1);
}

/// A reply that took longer than the other parts of its query.
fn slow_reply(health: &mut ServerHealth, at: u64, service_time_ms: u64) {
    let attempt = health.record_sent(ms(at), ms(20));
    health.record_end(
        ms(at + service_time_ms),
        attempt,
        AttemptOutcome::Succeeded,
        &slow_timing(service_time_ms),
    );
}

fn slow_timing(service_time_ms: u64) -> AttemptTiming {
    AttemptTiming {
        query_median: Some(ms(20)),
        ..timing(service_time_ms)
    }
}

#[test]
fn the_service_time_ratio_of_a_repeatedly_slow_server_decays_more_slowly() {
    let mut health = ServerHealth::default();
    slow_reply(&mut health, 0, 160);
    let after_one = health.service_time_ratio(ms(3_160));
    slow_reply(&mut health, 3_160, 160);
    slow_reply(&mut health, 6_320, 160);
    let after_three = health.service_time_ratio(ms(6_480 + 3_000));
    assert!(after_one < 2.0, "{after_one}");
    assert!(after_three > 3.5, "{after_three}");
}

#[test]
fn a_momentary_stall_counts_as_one_slow_attempt() {
    let mut health = ServerHealth::default();
    let attempts: Vec<u64> = (0..4)
        .map(|step| health.record_sent(ms(step * 70), ms(20)))
        .collect();
    for (step, attempt) in attempts.into_iter().enumerate() {
        let service_time_ms = 300 - 70 * step as u64;
        health.record_end(
            ms(300),
            attempt,
            AttemptOutcome::Succeeded,
            &slow_timing(service_time_ms),
        );
    }
    let soon = health.service_time_ratio(ms(300));
    let later = health.service_time_ratio(ms(1_800));
    assert!(
        (later - 1.0) < 0.51 * (soon - 1.0),
        "{soon} then {later}: must decay as fast as after one slow reply"
    );
}

#[test]
fn a_fast_reply_resets_the_half_life() {
    let mut health = ServerHealth::default();
    for step in 0..4 {
        slow_reply(&mut health, step * 1_000, 160);
    }
    reply(&mut health, 5_000, 20);
    let soon = health.service_time_ratio(ms(5_020));
    let later = health.service_time_ratio(ms(6_520));
    assert!((later - 1.0) < 0.51 * (soon - 1.0), "{soon} then {later}");
}

#[test]
fn a_late_cancellation_raises_the_service_time_ratio() {
    let mut health = ServerHealth::default();
    let attempt = health.record_sent(ms(0), ms(20));
    health.record_end(
        ms(200),
        attempt,
        AttemptOutcome::Cancelled,
        &slow_timing(200),
    );
    assert!(health.service_time_ratio(ms(200)) > 4.0);
}

#[test]
fn an_early_cancellation_does_not_change_the_service_time_ratio() {
    let mut health = ServerHealth::default();
    let attempt = health.record_sent(ms(0), ms(20));
    health.record_end(ms(25), attempt, AttemptOutcome::Cancelled, &slow_timing(25));
    assert!(health.service_time_ratio(ms(25)) < 1.01);
}
