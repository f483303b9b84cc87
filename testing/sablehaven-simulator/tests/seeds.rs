//! The fixed set of seeds that every change must pass, split so that they run in parallel.

use sablehaven_simulator::{Plan, run_seed};

fn check(seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let report = run_seed(Plan::default(), seed, 0);
        let violation = report.violation.map(|violation| violation.to_string());
        assert_eq!(violation, None, "seed {seed} ({:?})", report.scenario);
    }
}

macro_rules! fixed_seeds {
    ($($name:ident: $seeds:expr;)+) => {$(
        #[test]
        fn $name() {
            check($seeds);
        }
    )+};
}

fixed_seeds! {
    seeds_1_to_30: 1..31;
    seeds_31_to_60: 31..61;
    seeds_61_to_90: 61..91;
    seeds_91_to_120: 91..121;
    seeds_121_to_150: 121..151;
    seeds_151_to_180: 151..181;
    seeds_181_to_210: 181..211;
    seeds_211_to_240: 211..241;
    seeds_241_to_270: 241..271;
    seeds_271_to_300: 271..301;
    seeds_301_to_330: 301..331;
    seeds_331_to_360: 331..361;
}
