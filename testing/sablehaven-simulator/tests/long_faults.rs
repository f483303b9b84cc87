//! Faults that last: a region cut off for an hour of simulated time.

use sablehaven_simulator::{Plan, Scenario, run_seed};

#[test]
fn a_region_cut_off_for_an_hour_harms_nothing_and_comes_back() {
    let plan = Plan {
        scenario: Some(Scenario::RegionCut),
        variant: None,
    };
    for seed in 1..=3 {
        let report = run_seed(plan, seed, 0);
        let violation = report.violation.map(|violation| violation.to_string());
        assert_eq!(violation, None, "seed {seed}");
        assert!(report.counts.versions > 100);
        assert!(report.counts.done > 100);
    }
}
