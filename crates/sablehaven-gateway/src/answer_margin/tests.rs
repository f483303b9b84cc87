use std::time::Duration;

use super::{AnswerMargin, MAXIMUM_SAMPLES, MarginBounds, WINDOW};

const AIM: Duration = Duration::from_millis(100);
const NONE: Duration = Duration::ZERO;
const BOUNDS: MarginBounds = MarginBounds {
    min: ms(21),
    max: ms(200),
};

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Observes one figure every 100 ms.
fn replay(margin: &mut AnswerMargin, from: Duration, overruns: &[u64]) -> Duration {
    let mut now = from;
    for overrun in overruns {
        now += ms(100);
        margin.observe(now, ms(*overrun));
    }
    now
}

#[test]
fn nothing_observed_is_the_least_margin() {
    let margin = AnswerMargin::default();
    assert_eq!(margin.margin(ms(5), BOUNDS, AIM, NONE), ms(21));
}

#[test]
fn late_timers_move_the_margin_within_a_second() {
    let mut margin = AnswerMargin::default();
    let idle = replay(&mut margin, ms(0), &[0; 10]);
    assert_eq!(margin.margin(idle, BOUNDS, AIM, NONE), ms(21));
    let pressed = replay(&mut margin, idle, &[12, 15, 9, 14, 12, 16, 13, 12, 15, 14]);
    let now = margin.margin(pressed, BOUNDS, AIM, NONE);
    assert!(now >= ms(27), "{now:?}");
}

#[test]
fn an_idle_gateway_goes_back_to_the_least() {
    let mut margin = AnswerMargin::default();
    let pressed = replay(&mut margin, ms(0), &[15; 20]);
    assert_eq!(margin.margin(pressed, BOUNDS, AIM, NONE), ms(28));
    let idle = replay(&mut margin, pressed, &[0; 30]);
    assert_eq!(margin.margin(idle, BOUNDS, AIM, NONE), ms(21));
}

#[test]
fn a_gateway_without_queries_forgets() {
    let mut margin = AnswerMargin::default();
    let pressed = replay(&mut margin, ms(0), &[15; 20]);
    assert_eq!(margin.margin(pressed + WINDOW, BOUNDS, AIM, NONE), ms(21));
}

#[test]
fn one_outlier_moves_nothing() {
    for others in [0, 1, 5, 40] {
        let mut margin = AnswerMargin::default();
        let before = replay(&mut margin, ms(0), &vec![0; others]);
        let after = replay(&mut margin, before, &[400]);
        assert_eq!(
            margin.margin(after, BOUNDS, AIM, NONE),
            ms(21),
            "{others} others"
        );
    }
}

#[test]
fn the_margin_takes_a_part_of_the_aim_at_most() {
    let mut margin = AnswerMargin::default();
    let now = replay(&mut margin, ms(0), &[400; 10]);
    assert_eq!(margin.margin(now, BOUNDS, AIM, NONE), ms(50));
    assert_eq!(margin.margin(now, BOUNDS, ms(400), NONE), ms(200));
    assert_eq!(margin.margin(now, BOUNDS, ms(4_000), NONE), ms(200));
    // The configured margin holds whatever the aim.
    assert_eq!(margin.margin(now, BOUNDS, ms(10), NONE), ms(21));
}

#[test]
fn equal_bounds_are_a_constant() {
    let mut margin = AnswerMargin::default();
    let now = replay(&mut margin, ms(0), &[30; 10]);
    let bounds = MarginBounds {
        min: ms(21),
        max: ms(21),
    };
    assert!(!bounds.is_adaptive());
    assert_eq!(margin.margin(now, bounds, AIM, NONE), ms(21));
}

#[test]
fn memory_is_bounded() {
    let mut margin = AnswerMargin::default();
    replay(&mut margin, ms(0), &vec![3; 10 * MAXIMUM_SAMPLES]);
    assert_eq!(margin.samples.len(), MAXIMUM_SAMPLES);
}

#[test]
fn what_passed_before_the_arrival_comes_on_top_within_the_bounds() {
    let mut margin = AnswerMargin::default();
    assert_eq!(margin.margin(ms(0), BOUNDS, AIM, ms(24)), ms(38));
    let now = replay(&mut margin, ms(0), &[4; 10]);
    assert_eq!(margin.margin(now, BOUNDS, AIM, ms(24)), ms(41));
    assert_eq!(margin.margin(now, BOUNDS, AIM, ms(90)), ms(50));
    let constant = MarginBounds {
        min: ms(21),
        max: ms(21),
    };
    assert_eq!(margin.margin(now, constant, AIM, ms(24)), ms(21));
}

#[test]
fn what_the_room_of_the_least_margin_covers_costs_no_coverage() {
    let mut margin = AnswerMargin::default();
    let now = replay(&mut margin, ms(0), &[1; 10]);
    assert_eq!(margin.margin(now, BOUNDS, AIM, ms(7)), ms(21));
    assert_eq!(margin.margin(now, BOUNDS, AIM, ms(8)), ms(22));
}
