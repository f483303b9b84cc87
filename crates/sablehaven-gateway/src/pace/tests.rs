//! Tests of what is learned from the parts that are in.

use std::time::Duration;

use super::Pace;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn the_pace_is_known_once_two_fifths_of_the_parts_are_in() {
    let pace = Pace::new(10);
    for taken in [20, 22, 18] {
        pace.record(ms(taken));
        assert_eq!(pace.late_after(), None);
    }
    pace.record(ms(21));
    assert_eq!(pace.late_after(), Some(ms(21).mul_f64(1.6) + ms(4)));
}

#[test]
fn one_part_says_nothing_about_another() {
    let pace = Pace::new(2);
    pace.record(ms(20));
    assert_eq!(pace.late_after(), None);
}

#[test]
fn a_slow_part_that_came_in_moves_the_pace_little() {
    let pace = Pace::new(5);
    for taken in [10, 10, 10, 200] {
        pace.record(ms(taken));
    }
    assert_eq!(pace.late_after(), Some(ms(20)));
}
