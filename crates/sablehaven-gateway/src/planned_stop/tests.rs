use std::time::Duration;

use super::{PlannedStop, WRITE_RESERVE};
use crate::gateway::Clock;

#[test]
fn without_a_stop_there_is_no_limit() {
    let stop = PlannedStop::new(Clock::new());
    assert!(!stop.has_begun());
    assert_eq!(stop.time_left(), None);
    assert!(!stop.leaves_less_than(|| Duration::MAX));
}

#[test]
fn the_last_answers_are_due_before_the_exit() {
    let clock = Clock::new();
    let stop = PlannedStop::new(clock);
    let time_to_answer = Duration::from_secs(60);
    stop.begin(clock.now() + time_to_answer + WRITE_RESERVE);
    assert!(stop.has_begun());
    assert!(stop.leaves_less_than(|| time_to_answer + WRITE_RESERVE));
    assert!(!stop.leaves_less_than(|| time_to_answer / 2));
}

#[test]
fn a_stop_shorter_than_the_reserve_leaves_no_time() {
    let clock = Clock::new();
    let stop = PlannedStop::new(clock);
    stop.begin(clock.now() + WRITE_RESERVE / 2);
    assert_eq!(stop.time_left(), Some(Duration::ZERO));
    assert!(stop.leaves_less_than(|| Duration::from_millis(1)));
}
