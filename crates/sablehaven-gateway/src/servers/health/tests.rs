//! Tests of what is concluded from answers, silence and failures.

use std::time::Duration;

use super::{Ending, ServerHealth, Taken};

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn took(milliseconds: u64) -> Taken {
    Taken {
        taken: ms(milliseconds),
        usual: ms(20),
        pace: None,
    }
}

fn answer(health: &mut ServerHealth, at: u64, taken: u64) {
    let attempt = health.sent(ms(at), ms(20));
    health.ended(ms(at + taken), attempt, Ending::Answered, &took(taken));
}

#[test]
fn a_server_that_owes_answers_and_gives_none_stands_still() {
    let mut health = ServerHealth::default();
    let first = health.sent(ms(0), ms(20));
    assert!(!health.stands_still(ms(39)));
    assert!(health.stands_still(ms(40)));
    health.ended(ms(300), first, Ending::Answered, &took(300));
    assert!(!health.stands_still(ms(300)));
}

#[test]
fn one_long_request_does_not_make_a_server_that_answers_others_stand_still() {
    let mut health = ServerHealth::default();
    health.sent(ms(0), ms(20));
    for at in (0..200).step_by(25) {
        answer(&mut health, at, 20);
        assert!(!health.stands_still(ms(at + 45)));
    }
}

#[test]
fn slowness_is_learned_in_a_few_answers_and_forgotten_in_seconds() {
    let mut health = ServerHealth::default();
    for step in 0..8 {
        answer(&mut health, step * 200, 160);
    }
    assert!(health.slowness(ms(1_600)) > 5.0);
    assert!(health.slowness(ms(9_000)) < 1.5);
}

#[test]
fn failures_in_a_row_send_a_server_to_rest_for_longer_each_time() {
    let mut health = ServerHealth::default();
    let mut fail = |at: u64| {
        let attempt = health.sent(ms(at), ms(20));
        health.ended(ms(at), attempt, Ending::Failed, &took(0));
        health.clone()
    };
    assert!(!fail(0).is_resting(ms(1)));
    assert!(fail(10).is_resting(ms(300)));
    assert!(!fail(1_000).is_resting(ms(1_700)));
    assert!(fail(2_000).is_resting(ms(3_100)));
    answer(&mut health, 3_200, 20);
    assert!(!health.is_resting(ms(3_221)));
}

#[test]
fn a_cancelled_attempt_says_nothing_against_the_server() {
    let mut health = ServerHealth::default();
    for at in 0..10 {
        let attempt = health.sent(ms(at), ms(20));
        health.ended(ms(at), attempt, Ending::Cancelled, &took(0));
    }
    assert!(!health.is_resting(ms(10)));
    assert_eq!(health.outstanding(), 0);
}

#[test]
fn a_suspected_server_stands_still_until_it_answers_or_owes_nothing() {
    let mut health = ServerHealth::default();
    let first = health.sent(ms(0), ms(20));
    health.mark_suspected();
    assert!(health.stands_still(ms(1)));
    health.ended(ms(5), first, Ending::Cancelled, &took(0));
    assert!(!health.stands_still(ms(6)));
    health.sent(ms(10), ms(20));
    assert!(health.stands_still(ms(11)));
    answer(&mut health, 12, 5);
    assert!(!health.stands_still(ms(18)));
}

#[test]
fn the_other_parts_of_a_query_tell_sooner_that_a_server_is_slow() {
    let mut health = ServerHealth::default();
    let paced = |taken| Taken {
        pace: Some(ms(20)),
        ..took(taken)
    };
    for at in [0, 200] {
        let attempt = health.sent(ms(at), ms(20));
        health.ended(ms(at + 160), attempt, Ending::Answered, &paced(160));
    }
    assert!(health.slowness(ms(360)) > 5.5);
}

#[test]
fn a_queue_at_all_servers_shows_although_no_part_is_slower_than_the_others() {
    let mut health = ServerHealth::default();
    let queued = Taken {
        pace: Some(ms(80)),
        ..took(80)
    };
    for at in 0..8 {
        let attempt = health.sent(ms(at * 50), ms(20));
        health.ended(ms(at * 50 + 80), attempt, Ending::Answered, &queued);
    }
    assert!(health.slowness(ms(430)) > 3.0);
}

#[test]
fn each_answer_counts_against_what_is_usual_for_its_kind() {
    let mut health = ServerHealth::default();
    for at in 0..8 {
        answer(&mut health, at * 100, 20);
        let long = Taken {
            usual: ms(200),
            ..took(200)
        };
        let attempt = health.sent(ms(at * 100), ms(200));
        health.ended(ms(at * 100 + 50), attempt, Ending::Answered, &long);
    }
    assert!((health.slowness(ms(800)) - 1.0).abs() < 0.1);
}

/// An answer that took longer than the other parts of its query.
fn slow_answer(health: &mut ServerHealth, at: u64, taken: u64) {
    let attempt = health.sent(ms(at), ms(20));
    health.ended(ms(at + taken), attempt, Ending::Answered, &slow_took(taken));
}

fn slow_took(taken: u64) -> Taken {
    Taken {
        pace: Some(ms(20)),
        ..took(taken)
    }
}

#[test]
fn a_server_that_is_slow_at_each_try_is_tried_less_and_less_often() {
    let mut health = ServerHealth::default();
    slow_answer(&mut health, 0, 160);
    let once = health.slowness(ms(3_160));
    slow_answer(&mut health, 3_160, 160);
    slow_answer(&mut health, 6_320, 160);
    let again = health.slowness(ms(6_480 + 3_000));
    assert!(once < 2.0, "{once}");
    assert!(again > 3.5, "{again}");
}

#[test]
fn a_server_that_stood_still_for_a_moment_was_slow_once() {
    let mut health = ServerHealth::default();
    let attempts: Vec<u64> = (0..4)
        .map(|step| health.sent(ms(step * 70), ms(20)))
        .collect();
    for (step, attempt) in attempts.into_iter().enumerate() {
        let taken = 300 - 70 * step as u64;
        health.ended(ms(300), attempt, Ending::Answered, &slow_took(taken));
    }
    let soon = health.slowness(ms(300));
    let later = health.slowness(ms(1_800));
    assert!(
        (later - 1.0) < 0.51 * (soon - 1.0),
        "{soon} then {later}: forgotten as fast as after one slow answer"
    );
}

#[test]
fn a_server_that_has_recovered_is_forgiven_at_once() {
    let mut health = ServerHealth::default();
    for step in 0..4 {
        slow_answer(&mut health, step * 1_000, 160);
    }
    answer(&mut health, 5_000, 20);
    let soon = health.slowness(ms(5_020));
    let later = health.slowness(ms(6_520));
    assert!((later - 1.0) < 0.51 * (soon - 1.0), "{soon} then {later}");
}

#[test]
fn an_attempt_that_is_cancelled_late_shows_that_the_server_is_slow() {
    let mut health = ServerHealth::default();
    let attempt = health.sent(ms(0), ms(20));
    health.ended(ms(200), attempt, Ending::Cancelled, &slow_took(200));
    assert!(health.slowness(ms(200)) > 4.0);
}

#[test]
fn an_attempt_that_is_cancelled_early_shows_nothing() {
    let mut health = ServerHealth::default();
    let attempt = health.sent(ms(0), ms(20));
    health.ended(ms(25), attempt, Ending::Cancelled, &slow_took(25));
    assert!(health.slowness(ms(25)) < 1.01);
}
