use super::*;

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn a_first_try_is_told_at_once() {
    let mut wait = TokenWait::new(CallerTry::First, Some(at(5_000)));
    assert_eq!(wait.next_pause(Duration::ZERO), None);
}

#[test]
fn a_second_try_of_a_caller_that_does_not_say_its_time_is_told_at_once() {
    let mut wait = TokenWait::new(CallerTry::Resend, None);
    assert_eq!(wait.next_pause(Duration::ZERO), None);
}

#[test]
fn a_second_try_asks_again_ever_more_seldom_for_part_of_its_time() {
    let mut wait = TokenWait::new(CallerTry::Resend, Some(at(2_000)));
    let mut waited = Duration::ZERO;
    let mut pauses = Vec::new();
    while let Some(pause) = wait.next_pause(waited) {
        waited += pause;
        pauses.push(pause.as_millis());
    }
    assert_eq!(pauses, [50, 100, 200, 200, 200]);
    assert!(waited <= at(800), "{waited:?}");
}

#[test]
fn the_time_that_replicas_took_to_answer_counts() {
    let mut wait = TokenWait::new(CallerTry::Resend, Some(at(2_000)));
    assert_eq!(wait.next_pause(at(750)), Some(at(50)));
    assert_eq!(wait.next_pause(at(750)), None);
}
