//! Tests of the times of one attempt.

use std::time::{Duration, Instant};

use super::HedgeTimer;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn a_hedge_that_is_put_off_does_not_shorten_what_the_server_took() {
    let sent = Instant::now();
    let mut timer = HedgeTimer::start(sent);
    for refused in [40, 65, 90] {
        timer.put_off(sent + ms(refused));
    }
    assert_eq!(timer.taken(sent + ms(200), ms(4)), ms(196));
}

#[test]
fn a_hedge_is_looked_at_again_a_little_after_it_was_put_off() {
    let sent = Instant::now();
    let mut timer = HedgeTimer::start(sent);
    assert_eq!(timer.not_before(sent + ms(40)), sent + ms(40));
    timer.put_off(sent + ms(41));
    assert!(timer.not_before(sent + ms(40)) > sent + ms(41));
    assert_eq!(timer.not_before(sent + ms(400)), sent + ms(400));
}
