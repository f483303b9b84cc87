//! Demand within a quota is not refused: never if it is even, and hardly ever if all of it comes to one replica.

mod support;

use std::time::Duration;

use proptest::{prelude::*, test_runner::Config};
use sablehaven_types::{QuotaTolerance, RequestQuota};
use support::steady::{SteadyDemand, SteadyServed};

const TOLERANCE: QuotaTolerance = QuotaTolerance {
    window_ms: 5_000,
    excess_permille: 100,
    slack: 20,
};
/// Parts are empty at first; each of them has its first token within one window.
const EVEN_WARM_UP: Duration = Duration::from_secs(6);
/// A part lends its last token only after the time in which it refills two tokens.
const SINGLE_REPLICA_WARM_UP: Duration = Duration::from_secs(12);

fn run(
    quota: RequestQuota,
    replicas: usize,
    load: f64,
    at_one_replica: bool,
    seed: u64,
) -> SteadyServed {
    SteadyDemand {
        tolerance: TOLERANCE,
        quota,
        replicas,
        load,
        at_one_replica,
        round_trip: Duration::from_millis(30),
        warm_up: if at_one_replica {
            SINGLE_REPLICA_WARM_UP
        } else {
            EVEN_WARM_UP
        },
        seconds: 30,
        seed,
    }
    .run()
}

proptest! {
    #![proptest_config(Config::with_cases(60))]

    #[test]
    fn even_demand_within_the_quota_is_never_refused(
        per_second in prop_oneof![0.5..5.0f64, 5.0..1_000.0f64],
        replicas in 3..=9usize,
        seed: u64,
    ) {
        let quota = RequestQuota { per_second, burst: 0.0 };
        let served = run(quota, replicas, 0.6, false, seed);
        prop_assert_eq!(served.refused, 0, "of {}", served.requests);
    }

    #[test]
    fn one_replica_serves_nine_tenths_of_a_quota(
        per_second in prop_oneof![0.5..5.0f64, 5.0..1_000.0f64],
        replicas in 6..=9usize,
        seed: u64,
    ) {
        let quota = RequestQuota { per_second, burst: per_second / 2.0 };
        let served = run(quota, replicas, 1.0, true, seed);
        let share = 1.0 - served.refused as f64 / served.requests as f64;
        prop_assert!(share >= 0.9, "{share}");
    }
}
