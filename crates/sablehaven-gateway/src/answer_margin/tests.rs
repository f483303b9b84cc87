//! Tests of the answer margin.

use std::time::Duration;

use super::{AnswerMargin, MAX_SAMPLES, MarginBounds, WINDOW};

const LATENCY_TARGET: Duration = Duration::from_millis(100);
const NO_TIME_SPENT: Duration = Duration::ZERO;
const BOUNDS: MarginBounds = MarginBounds {
    min: ms(21),
    max: ms(200),
};

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Observes the overruns at intervals of 100 ms. Returns the time of the last one.
fn observe_all(margin: &mut AnswerMargin, from: Duration, overruns: &[u64]) -> Duration {
    let mut now = from;
    for overrun in overruns {
        now += ms(100);
        margin.observe(now, ms(*overrun));
    }
    now
}

#[test]
fn without_observations_the_margin_is_the_minimum() {
    let margin = AnswerMargin::default();
    assert_eq!(
        margin.margin(ms(5), BOUNDS, LATENCY_TARGET, NO_TIME_SPENT),
        ms(21)
    );
}

#[test]
fn late_timers_raise_the_margin_within_a_second() {
    let mut margin = AnswerMargin::default();
    let idle = observe_all(&mut margin, ms(0), &[0; 10]);
    assert_eq!(
        margin.margin(idle, BOUNDS, LATENCY_TARGET, NO_TIME_SPENT),
        ms(21)
    );
    let loaded = observe_all(&mut margin, idle, &[12, 15, 9, 14, 12, 16, 13, 12, 15, 14]);
    let now = margin.margin(loaded, BOUNDS, LATENCY_TARGET, NO_TIME_SPENT);
    assert!(now >= ms(27), "{now:?}");
}

#[test]
fn an_idle_gateway_returns_to_the_minimum() {
    let mut margin = AnswerMargin::default();
    let loaded = observe_all(&mut margin, ms(0), &[15; 20]);
    assert_eq!(
        margin.margin(loaded, BOUNDS, LATENCY_TARGET, NO_TIME_SPENT),
        ms(28)
    );
    let idle = observe_all(&mut margin, loaded, &[0; 30]);
    assert_eq!(
        margin.margin(idle, BOUNDS, LATENCY_TARGET, NO_TIME_SPENT),
        ms(21)
    );
}

#[test]
fn observations_expire_without_queries() {
    let mut margin = AnswerMargin::default();
    let loaded = observe_all(&mut margin, ms(0), &[15; 20]);
    assert_eq!(
        margin.margin(loaded + WINDOW, BOUNDS, LATENCY_TARGET, NO_TIME_SPENT),
        ms(21)
    );
}

#[test]
fn one_outlier_does_not_change_the_margin() {
    for others in [0, 1, 5, 40] {
        let mut margin = AnswerMargin::default();
        let before = observe_all(&mut margin, ms(0), &vec![0; others]);
        let after = observe_all(&mut margin, before, &[400]);
        assert_eq!(
            margin.margin(after, BOUNDS, LATENCY_TARGET, NO_TIME_SPENT),
            ms(21),
            "{others} others"
        );
    }
}

#[test]
fn the_margin_is_limited_to_a_fraction_of_the_latency_target() {
    let mut margin = AnswerMargin::default();
    let now = observe_all(&mut margin, ms(0), &[400; 10]);
    assert_eq!(
        margin.margin(now, BOUNDS, LATENCY_TARGET, NO_TIME_SPENT),
        ms(50)
    );
    assert_eq!(margin.margin(now, BOUNDS, ms(400), NO_TIME_SPENT), ms(200));
    assert_eq!(
        margin.margin(now, BOUNDS, ms(4_000), NO_TIME_SPENT),
        ms(200)
    );
    // The configured minimum applies to any latency target.
    assert_eq!(margin.margin(now, BOUNDS, ms(10), NO_TIME_SPENT), ms(21));
}

#[test]
fn equal_bounds_give_a_constant_margin() {
    let mut margin = AnswerMargin::default();
    let now = observe_all(&mut margin, ms(0), &[30; 10]);
    let bounds = MarginBounds {
        min: ms(21),
        max: ms(21),
    };
    assert!(!bounds.is_adaptive());
    assert_eq!(
        margin.margin(now, bounds, LATENCY_TARGET, NO_TIME_SPENT),
        ms(21)
    );
}

#[test]
fn memory_is_bounded() {
    let mut margin = AnswerMargin::default();
    observe_all(&mut margin, ms(0), &vec![3; 10 * MAX_SAMPLES]);
    assert_eq!(margin.samples.len(), MAX_SAMPLES);
}

#[test]
fn time_spent_before_arrival_is_added_within_the_bounds() {
    let mut margin = AnswerMargin::default();
    assert_eq!(margin.margin(ms(0), BOUNDS, LATENCY_TARGET, ms(24)), ms(38));
    let now = observe_all(&mut margin, ms(0), &[4; 10]);
    assert_eq!(margin.margin(now, BOUNDS, LATENCY_TARGET, ms(24)), ms(41));
    assert_eq!(margin.margin(now, BOUNDS, LATENCY_TARGET, ms(90)), ms(50));
    let constant = MarginBounds {
        min: ms(21),
        max: ms(21),
    };
    assert_eq!(margin.margin(now, constant, LATENCY_TARGET, ms(24)), ms(21));
}

#[test]
fn delays_within_the_allowance_do_not_raise_the_margin() {
    let mut margin = AnswerMargin::default();
    let now = observe_all(&mut margin, ms(0), &[1; 10]);
    assert_eq!(margin.margin(now, BOUNDS, LATENCY_TARGET, ms(7)), ms(21));
    assert_eq!(margin.margin(now, BOUNDS, LATENCY_TARGET, ms(8)), ms(22));
}
