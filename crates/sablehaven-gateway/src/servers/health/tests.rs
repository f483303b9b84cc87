//! Tests of what is concluded from answers, silence and failures.

use std::time::Duration;

use super::{Ending, ServerHealth};

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn answer(health: &mut ServerHealth, at: u64, taken: u64) {
    let attempt = health.sent(ms(at), ms(20));
    health.ended(ms(at + taken), attempt, Ending::Answered, ms(taken), ms(20));
}

#[test]
fn a_server_that_owes_answers_and_gives_none_stands_still() {
    let mut health = ServerHealth::new(ms(0));
    let first = health.sent(ms(0), ms(20));
    assert!(!health.stands_still(ms(39)));
    assert!(health.stands_still(ms(40)));
    health.ended(ms(300), first, Ending::Answered, ms(300), ms(20));
    assert!(!health.stands_still(ms(300)));
}

#[test]
fn one_long_request_does_not_make_a_server_that_answers_others_stand_still() {
    let mut health = ServerHealth::new(ms(0));
    health.sent(ms(0), ms(20));
    for at in (0..200).step_by(25) {
        answer(&mut health, at, 20);
        assert!(!health.stands_still(ms(at + 45)));
    }
}

#[test]
fn slowness_is_learned_in_a_few_answers_and_forgotten_in_seconds() {
    let mut health = ServerHealth::new(ms(0));
    for step in 0..8 {
        answer(&mut health, step * 200, 160);
    }
    assert!(health.slowness(ms(1_600)) > 5.0);
    assert!(health.slowness(ms(9_000)) < 1.5);
}

#[test]
fn failures_in_a_row_send_a_server_to_rest_for_longer_each_time() {
    let mut health = ServerHealth::new(ms(0));
    let mut fail = |at: u64| {
        let attempt = health.sent(ms(at), ms(20));
        health.ended(ms(at), attempt, Ending::Failed, ms(0), ms(20));
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
    let mut health = ServerHealth::new(ms(0));
    for at in 0..10 {
        let attempt = health.sent(ms(at), ms(20));
        health.ended(ms(at), attempt, Ending::Cancelled, ms(0), ms(20));
    }
    assert!(!health.is_resting(ms(10)));
    assert_eq!(health.outstanding(), 0);
}

#[test]
fn a_suspected_server_stands_still_until_it_answers_or_owes_nothing() {
    let mut health = ServerHealth::new(ms(0));
    let first = health.sent(ms(0), ms(20));
    health.suspect();
    assert!(health.stands_still(ms(1)));
    health.ended(ms(5), first, Ending::Cancelled, ms(0), ms(20));
    assert!(!health.stands_still(ms(6)));
    health.sent(ms(10), ms(20));
    assert!(health.stands_still(ms(11)));
    answer(&mut health, 12, 5);
    assert!(!health.stands_still(ms(18)));
}
