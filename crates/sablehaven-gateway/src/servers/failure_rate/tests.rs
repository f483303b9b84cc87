//! Tests of the failure rate.

use std::time::Duration;

use super::FailureRate;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn the_rate_approximates_two_failures_in_five() {
    let mut rate = FailureRate::default();
    let mut sum = 0.0;
    for request in 0..100 {
        let failure = if request % 5 < 2 { 1.0 } else { 0.0 };
        rate.record(ms(request), failure);
        if request >= 50 {
            sum += rate.at(ms(request));
        }
    }
    // Averaged over whole cycles, because the rate follows the latest outcomes.
    let mean = sum / 50.0;
    assert!((0.35..0.45).contains(&mean), "{mean}");
}

#[test]
fn the_rate_decays_within_seconds() {
    let mut rate = FailureRate::default();
    rate.record(ms(0), 1.0);
    let initial = rate.at(ms(0));
    assert!(initial > 0.15);
    assert!(rate.at(ms(12_000)) < initial / 7.0);
    assert!(rate.at(ms(20_000)) < 0.05);
}

#[test]
fn two_failures_in_a_row_outweigh_the_cost_of_another_region() {
    let mut rate = FailureRate::default();
    rate.record(ms(0), 1.0);
    rate.record(ms(200), 1.0);
    // At a cost of 250 ms per failure, this exceeds the round trip to another region, including the connect time.
    assert!(rate.at(ms(200)) > 0.6);
}
