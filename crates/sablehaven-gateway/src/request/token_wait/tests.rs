//! Tests of the backoff while no control replica can decide on a quota.

use super::*;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn a_first_try_does_not_wait() {
    let mut wait = TokenWait::new(CallerTry::First, Some(ms(5_000)));
    assert_eq!(wait.next_delay(Duration::ZERO), None);
}

#[test]
fn a_resend_without_a_time_limit_does_not_wait() {
    let mut wait = TokenWait::new(CallerTry::Resend, None);
    assert_eq!(wait.next_delay(Duration::ZERO), None);
}

#[test]
fn a_resend_backs_off_exponentially_within_its_share_of_time() {
    let mut wait = TokenWait::new(CallerTry::Resend, Some(ms(2_000)));
    let mut waited = Duration::ZERO;
    let mut delays_ms = Vec::new();
    while let Some(delay) = wait.next_delay(waited) {
        waited += delay;
        delays_ms.push(delay.as_millis());
    }
    assert_eq!(delays_ms, [50, 100, 200, 200, 200]);
    assert!(waited <= ms(800), "{waited:?}");
}

#[test]
fn the_response_time_of_replicas_counts_as_waiting() {
    let mut wait = TokenWait::new(CallerTry::Resend, Some(ms(2_000)));
    assert_eq!(wait.next_delay(ms(750)), Some(ms(50)));
    assert_eq!(wait.next_delay(ms(750)), None);
}
