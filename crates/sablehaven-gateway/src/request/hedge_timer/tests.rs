//! Tests of the timing of one attempt.

use std::time::{Duration, Instant};

use super::HedgeTimer;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn postponing_a_hedge_does_not_change_the_service_time() {
    let sent = Instant::now();
    let mut timer = HedgeTimer::start(sent);
    for refused in [40, 65, 90] {
        timer.postpone(sent + ms(refused));
    }
    assert_eq!(timer.service_time(sent + ms(200), ms(4)), ms(196));
}

#[test]
fn a_postponed_hedge_is_retried_after_a_short_delay() {
    let sent = Instant::now();
    let mut timer = HedgeTimer::start(sent);
    assert_eq!(timer.earliest_hedge(sent + ms(40)), sent + ms(40));
    timer.postpone(sent + ms(41));
    assert!(timer.earliest_hedge(sent + ms(40)) > sent + ms(41));
    assert_eq!(timer.earliest_hedge(sent + ms(400)), sent + ms(400));
}
